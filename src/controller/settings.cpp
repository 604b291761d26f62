#include "controller/settings.hpp"

#include "transport/machine_settings.hpp"
#include "transport/settings.hpp"

namespace planktray::controller {

using transport::add_milliseconds;

void add_common_settings(CLI::App& app, ControllerSettings& settings) {
  auto& options = settings.options;
  app.add_option("--cell", options.cell.value, "Name of the cell")->default_val("cell-1");
  app.add_option("--name", options.name, "Name of this replica's node, such as controller-1")
      ->required();
  app.add_option("--data", settings.data_folder, "Data folder, used by this process alone")
      ->required();
  transport::add_machine_limits(app, settings.machine);
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
                   "A lease request without an answer fails after this time");
  add_milliseconds(app, "--release-wait-ms", options.lease.release_wait, 10, 600'000,
                   "How long an owner may finish running work before it releases a shard");
  add_milliseconds(app, "--table-lease-ms", options.distributor.table_lease, 100, 600'000,
                   "How long a router serves without confirmation; the same in every process");
  add_milliseconds(app, "--balance-interval-ms", options.balance_interval, 100, 600'000,
                   "How often balancing may act");
  auto& ranges = options.ranges;
  add_milliseconds(app, "--load-half-life-ms", ranges.load_half_life, 50, 600'000,
                   "Half-life of the measured load of a key");
  app.add_option("--balance-limit", ranges.planner.max_imbalance,
                 "Multiple of its fair share that a target may carry before keys move away")
      ->default_val(ranges.planner.max_imbalance)
      ->check(CLI::Range(1.0, 100.0));
  app.add_option("--balance-noise-factor", ranges.planner.noise_factor,
                 "Standard deviations of a target's measured load that are always tolerated")
      ->default_val(ranges.planner.noise_factor)
      ->check(CLI::Range(0.0, 100.0));
  app.add_option("--balance-smallest-gain", ranges.planner.smallest_gain,
                 "Minimum load that a move shifts, as a fraction of a target's fair share")
      ->default_val(ranges.planner.smallest_gain)
      ->check(CLI::Range(0.001, 10.0));
  app.add_option("--speed-sample-weight", ranges.speed_sample_weight,
                 "Weight of one measured request in the smoothed speed of a target")
      ->default_val(ranges.speed_sample_weight)
      ->check(CLI::Range(0.0001, 1.0));
  app.add_option("--snapshot-entries", options.snapshot_entries,
                 "A snapshot is taken after this many entries")
      ->default_val(options.snapshot_entries)
      ->check(CLI::Range(16, 1'000'000));
}

void add_deployment_settings(CLI::App& app, ControllerSettings& settings) {
  auto& options = settings.options;
  app.add_option("--peer-address", options.peer_address, "IP:port for controllers and routers")
      ->required()
      ->check(transport::check_endpoint);
  app.add_option("--operator-address", options.operator_address, "IP:port for operators (HTTP)")
      ->required()
      ->check(transport::check_endpoint);
  app.add_option("--peer", settings.peers, "Peer address of another controller; repeatable")
      ->check(transport::check_endpoint);
  app.add_option("--platform-url", settings.platform_url, "URL of the platform's machine list");
  add_milliseconds(app, "--platform-interval-ms", settings.platform_interval, 50, 60'000,
                   "How often the machine list is read");
}

std::string validate_settings(const ControllerSettings& settings) {
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

}  // namespace planktray::controller
