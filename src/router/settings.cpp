#include "router/settings.hpp"

#include "transport/machine_settings.hpp"
#include "transport/settings.hpp"

namespace planktray::router {

using transport::add_milliseconds;

void add_common_settings(CLI::App& app, RouterSettings& settings) {
  auto& options = settings.options;
  app.add_option("--cell", options.cell.value, "Name of the cell")->default_val("cell-1");
  app.add_option("--name", options.name.value, "Name of this router, unique in the cell")
      ->required();
  app.add_option("--zone", options.zone.value, "Zone of this router")->required();
  transport::add_machine_limits(app, settings.machine);
  app.add_option("--maximum-body", settings.maximum_body,
                 "Longest request body where no configuration states one, and longest\n"
                 "response body, in bytes")
      ->default_val(settings.maximum_body)
      ->check(CLI::Range(std::size_t{1024}, std::size_t{1} << 30U));
  app.add_option("--connections-per-backend", settings.connections_per_backend,
                 "Connections open to one back end at once")
      ->default_val(settings.connections_per_backend)
      ->check(CLI::Range(1, 10'000));
  app.add_option("--minimum-subset", options.minimum_subset,
                 "Minimum targets of a service that this router uses")
      ->default_val(options.minimum_subset)
      ->check(CLI::Range(1, 10'000));
  add_milliseconds(app, "--hello-interval-ms", options.hello_interval, 10, 10'000,
                   "How often the table is confirmed");
  add_milliseconds(app, "--load-interval-ms", options.load_interval, 50, 60'000,
                   "How often the load of shards and keys is reported");
  app.add_option("--other-zone-cost", options.other_zone_cost,
                 "A target in another zone counts as slower by this fraction")
      ->default_val(options.other_zone_cost)
      ->check(CLI::Range(0.0, 10.0));
  add_milliseconds(app, "--table-lease-ms", options.table_lease, 100, 600'000,
                   "How long to serve without confirmation; the same in every process");
  add_milliseconds(
      app, "--oldest-table-ms", options.freshness.max_age, 0, 600'000,
      "Maximum table age for requests on routes while controllers answer; 0: unlimited");
  add_milliseconds(app, "--connect-timeout-ms", settings.connect_timeout, 1, 60'000,
                   "Connect timeout to a back end; another back end is tried after it");
  add_milliseconds(app, "--settle-time-ms", settings.settle_time, 0, 1'000,
                   "Time that a connection is up before non-repeatable requests are written");
  add_milliseconds(app, "--unacknowledged-timeout-ms", settings.unacknowledged_timeout, 0, 600'000,
                   "Ends a back end's connection whose sent bytes are not acknowledged; 0: never");
  add_milliseconds(app, "--warm-up-ms", options.warm_up, 1, 600'000,
                   "Time in which a new target ramps up to its full share");
  add_milliseconds(app, "--drain-timeout-ms", settings.drain_timeout, 0, 3'600'000,
                   "Longest wait for requests in flight at a stop");
}

void add_deployment_settings(CLI::App& app, RouterSettings& settings) {
  app.add_option("--address", settings.options.address, "IP:port for callers; also /metrics")
      ->required()
      ->check(transport::check_endpoint);
  app.add_option("--controller", settings.controllers, "Peer address of a controller; repeatable")
      ->required()
      ->check(transport::check_endpoint);
}

}  // namespace planktray::router
