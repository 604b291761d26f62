/// planktray-controller: one replica of a cell.

#include "controller/controller_process.hpp"
#include "transport/logging.hpp"
#include "transport/settings.hpp"

namespace {

using planktray::controller::ControllerSettings;
using planktray::transport::add_milliseconds;

void add_settings(CLI::App& app, ControllerSettings& settings) {
  auto& options = settings.options;
  app.add_option("--cell", options.cell.value, "Name of the cell")->default_val("cell-1");
  app.add_option("--name", options.name, "Name of this replica's place, such as controller-1")
      ->required();
  app.add_option("--data", settings.data_folder, "Data folder, used by this process alone")
      ->required();
  app.add_option("--peer-address", options.peer_address, "IP:port for controllers and routers")
      ->required()
      ->check(planktray::transport::check_endpoint);
  app.add_option("--operator-address", options.operator_address, "IP:port for operators (HTTP)")
      ->required()
      ->check(planktray::transport::check_endpoint);
  app.add_option("--peer", settings.peers, "Peer address of another controller; repeatable")
      ->check(planktray::transport::check_endpoint);
  app.add_option("--platform-url", settings.platform_url, "URL of the platform's machine list");
  add_milliseconds(app, "--platform-interval-ms", settings.platform_interval, 50, 60'000,
                   "How often the machine list is read");
  add_milliseconds(app, "--heartbeat-ms", options.raft.heartbeat, 5, 10'000, "Leader heartbeat");
  add_milliseconds(app, "--election-min-ms", options.raft.minimum_election_timeout, 20, 60'000,
                   "Shortest election timeout");
  add_milliseconds(app, "--election-max-ms", options.raft.maximum_election_timeout, 20, 60'000,
                   "Longest election timeout");
  add_milliseconds(app, "--leader-lease-margin-ms", options.raft.lease_margin, 0, 10'000,
                   "A leader lease ends this much before voters may vote");
  add_milliseconds(app, "--lease-renewal-ms", options.lease.renewal_interval, 10, 60'000,
                   "How often a back end's lease is renewed");
  add_milliseconds(app, "--lease-ttl-ms", options.lease.time_to_live, 50, 600'000,
                   "Length of a back end's lease");
  add_milliseconds(app, "--lease-margin-ms", options.lease.margin, 1, 60'000,
                   "Wait beyond a lease's end, for clock drift");
  add_milliseconds(app, "--lease-timeout-ms", settings.lease_timeout, 10, 60'000,
                   "A lease request without an answer is given up after this time");
  add_milliseconds(app, "--release-wait-ms", options.lease.release_wait, 10, 600'000,
                   "How long an owner may finish running work before it releases a shard");
  add_milliseconds(app, "--table-lease-ms", options.distributor.table_lease, 100, 600'000,
                   "How long a router serves without confirmation; the same in every process");
  add_milliseconds(app, "--balance-interval-ms", options.balance_interval, 100, 600'000,
                   "How often balancing may act");
  app.add_option("--snapshot-entries", options.snapshot_entries,
                 "A snapshot is taken after this many entries")
      ->default_val(options.snapshot_entries)
      ->check(CLI::Range(16, 1'000'000));
}

/// Checks what depends on several settings. @return a message, or nothing.
std::string check_together(const ControllerSettings& settings) {
  const auto& raft = settings.options.raft;
  const auto& lease = settings.options.lease;
  if (raft.maximum_election_timeout <= raft.minimum_election_timeout) {
    return "election-max-ms must be above election-min-ms";
  }
  if (raft.heartbeat * 3 > raft.minimum_election_timeout) {
    return "heartbeat-ms must be at most a third of election-min-ms";
  }
  if (raft.lease_margin >= raft.minimum_election_timeout) {
    return "leader-lease-margin-ms must be below election-min-ms";
  }
  if (lease.renewal_interval * 3 > lease.time_to_live) {
    return "lease-renewal-ms must be at most a third of lease-ttl-ms";
  }
  return "";
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "planktray-controller: one replica of a cell. It keeps the replicated log, grants leases\n"
      "to back ends and hands routing tables to routers.\n\n"
      "Example:\n"
      "  planktray-controller --name controller-1 --data /var/lib/planktray \\\n"
      "    --peer-address 127.0.0.1:7101 --operator-address 127.0.0.1:7201 \\\n"
      "    --peer 127.0.0.1:7102 --peer 127.0.0.1:7103 \\\n"
      "    --platform-url http://127.0.0.1:7001/machines");
  ControllerSettings settings;
  bool check_only = false;
  add_settings(app, settings);
  planktray::transport::add_settings_file(app, check_only);
  const bool& check_flag = check_only;
  app.callback([&] {
    const std::string problem = check_together(settings);
    if (!problem.empty()) {
      throw CLI::ValidationError(problem);
    }
  });
  const int exit_code = planktray::transport::parse_settings(app, argc, argv, check_flag);
  if (exit_code >= 0) {
    return exit_code;
  }
  planktray::transport::start_logging("controller", settings.options.name);
  planktray::controller::ControllerProcess process(std::move(settings));
  if (auto started = process.start(); !started) {
    planktray::transport::log_error("start_failed", started.error());
    return planktray::transport::kExitFailure;
  }
  return process.run();
}
