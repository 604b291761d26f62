#include "controller/promises.hpp"

#include <algorithm>

namespace planktray::controller {
namespace {

/// Lower bound of the hello interval: more frequent hellos would load the leader for little
/// benefit.
constexpr Duration kShortestHelloInterval = std::chrono::milliseconds(250);
/// Time in which a change is transmitted, committed and installed if no queue is full: some round
/// trips of a few milliseconds, a disk sync and a sweep.
constexpr Duration kDelivery = std::chrono::milliseconds(100);

std::string text(Duration time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) +
         " ms";
}

}  // namespace

Duration longest_hello_interval(Duration promised, Duration shortest_election,
                                const routing::LeaderSearchOptions& search) {
  // A new leader acknowledges nothing before its election, which follows the last message of the
  // previous leader.
  const Duration left = promised + shortest_election - search.longest() - kDelivery;
  return std::max(left, kShortestHelloInterval);
}

std::vector<Promise> check_promises(const PromisedTimes& promised, const ControllerOptions& options,
                                    std::size_t routers) {
  const DistributorOptions& tables = options.distributor;
  const Duration hellos = paced_interval(routers, tables.hellos_per_second);
  const Duration hello_interval = std::min(hellos, tables.longest_hello_interval);
  const Duration updates = paced_interval(routers, tables.updates_per_second);
  const Duration search = options.leader_search.longest();
  const Duration sent = updates + kDelivery;
  const Duration lost = tables.confirmation_timeout + hello_interval + kDelivery;
  const Duration new_leader =
      hello_interval + search + kDelivery - options.raft.minimum_election_timeout;
  const Duration change = std::max({sent, lost, new_leader});
  const std::string reason = "updates every " + text(updates) + ", hellos every " +
                             text(hello_interval) + ", a lost update is resent after " +
                             text(lost) + ", a new leader is found " + text(new_leader) +
                             " after its first possible acknowledgement";
  const auto& grant = options.ranges.grant;
  const Duration hold = std::max(grant.longest_hold_time, grant.reported_hold_time);
  return {{"configuration in force", promised.in_force, change, reason},
          {"leaving back ends left alone", promised.leaving, change, reason},
          {"longest hold of a grant", promised.longest_hold, hold,
           "the longest hold time of the settings"}};
}

}  // namespace planktray::controller
