/// planktray-router: takes callers' requests and forwards them to the back end that owns the key.

#include "router/router_process.hpp"
#include "transport/logging.hpp"
#include "transport/settings.hpp"

namespace {

using planktray::router::RouterSettings;
using planktray::transport::add_milliseconds;

void add_settings(CLI::App& app, RouterSettings& settings) {
  auto& options = settings.options;
  app.add_option("--cell", options.cell.value, "Name of the cell")->default_val("cell-1");
  app.add_option("--name", options.name.value, "Name of this router, unique in the cell")
      ->required();
  app.add_option("--zone", options.zone.value, "Zone of this router")->required();
  app.add_option("--address", options.address, "IP:port for callers; also /metrics")
      ->required()
      ->check(planktray::transport::check_endpoint);
  app.add_option("--controller", settings.controllers, "Peer address of a controller; repeatable")
      ->required()
      ->check(planktray::transport::check_endpoint);
  app.add_option("--maximum-body", settings.maximum_body, "Longest request body, in bytes")
      ->default_val(settings.maximum_body)
      ->check(CLI::Range(std::size_t{1024}, std::size_t{1} << 30U));
  app.add_option("--connections-per-backend", settings.connections_per_backend,
                 "Connections open to one back end at once")
      ->default_val(settings.connections_per_backend)
      ->check(CLI::Range(1, 10'000));
  app.add_option("--minimum-subset", options.minimum_subset,
                 "Targets of a service that this router uses at least")
      ->default_val(options.minimum_subset)
      ->check(CLI::Range(1, 10'000));
  add_milliseconds(app, "--hello-interval-ms", options.hello_interval, 10, 10'000,
                   "How often the table is confirmed");
  add_milliseconds(app, "--table-lease-ms", options.table_lease, 100, 600'000,
                   "How long to serve without confirmation; the same in every process");
  add_milliseconds(app, "--warm-up-ms", options.warm_up, 1, 600'000,
                   "Time in which a new target reaches its full share");
  add_milliseconds(app, "--drain-timeout-ms", settings.drain_timeout, 0, 3'600'000,
                   "Longest wait for requests in flight at a stop");
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "planktray-router: takes callers' requests and forwards each to the back end that owns its\n"
      "key, or to a target of a service without keys.\n\n"
      "Example:\n"
      "  planktray-router --name router-hala-a --zone hala-a --address 127.0.0.1:8001 \\\n"
      "    --controller 127.0.0.1:7101 --controller 127.0.0.1:7102");
  RouterSettings settings;
  bool check_only = false;
  add_settings(app, settings);
  planktray::transport::add_settings_file(app, check_only);
  const int exit_code = planktray::transport::parse_settings(app, argc, argv, check_only);
  if (exit_code >= 0) {
    return exit_code;
  }
  planktray::transport::start_logging("router", settings.options.name.value);
  planktray::router::RouterProcess process(std::move(settings));
  if (auto started = process.start(); !started) {
    planktray::transport::log_error("start_failed", started.error());
    return planktray::transport::kExitFailure;
  }
  return process.run();
}
