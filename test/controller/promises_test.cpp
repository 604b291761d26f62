#include "controller/promises.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace planktray::controller {
namespace {

using std::chrono::milliseconds;

ControllerOptions options_for(const PromisedTimes& promised) {
  ControllerOptions options;
  options.raft.minimum_election_timeout = milliseconds(300);
  options.distributor.longest_hello_interval = longest_hello_interval(
      promised.shortest_change(), options.raft.minimum_election_timeout, options.leader_search);
  return options;
}

bool all_hold(const std::vector<Promise>& promises) {
  return std::all_of(promises.begin(), promises.end(),
                     [](const Promise& promise) { return promise.holds(); });
}

TEST_CASE("settings keep the promised time of a change with up to a thousand routers") {
  for (const auto promise : {milliseconds(2000), milliseconds(2500)}) {
    const PromisedTimes promised{promise, promise, milliseconds(10'000)};
    const ControllerOptions options = options_for(promised);
    for (const std::size_t routers : {0, 11, 74, 281, 1000}) {
      CHECK(all_hold(check_promises(promised, options, routers)));
    }
  }
}

TEST_CASE("a fleet too large for the settings is reported, with the reason") {
  const PromisedTimes promised{milliseconds(2000), milliseconds(2500), milliseconds(10'000)};
  const auto promises = check_promises(promised, options_for(promised), 10'000);
  CHECK_FALSE(promises[0].holds());
  CHECK(promises[0].worst_case > promises[0].promised);
  CHECK_FALSE(promises[0].reason.empty());
}

TEST_CASE("a hello interval that grows with the fleet breaks a fixed promise") {
  const PromisedTimes promised{milliseconds(2500), milliseconds(2500), milliseconds(10'000)};
  ControllerOptions options = options_for(promised);
  options.distributor.longest_hello_interval = milliseconds(60'000);
  CHECK(all_hold(check_promises(promised, options, 74)));
  CHECK_FALSE(all_hold(check_promises(promised, options, 281)));
}

TEST_CASE("a hold time above the limit of back ends is reported") {
  const PromisedTimes promised{milliseconds(2000), milliseconds(2000), milliseconds(4000)};
  const auto promises = check_promises(promised, options_for(promised), 0);
  CHECK_FALSE(promises[2].holds());
}

TEST_CASE("without promised times, no promise is broken") {
  CHECK(all_hold(check_promises(PromisedTimes(), ControllerOptions(), 100'000)));
}

}  // namespace
}  // namespace planktray::controller
