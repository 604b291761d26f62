#include "controller/promises.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace planktray::controller {
namespace {

using std::chrono::milliseconds;

ControllerOptions deployed(const PromisedTimes& promised) {
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

TEST_CASE("settings keep what is promised for a change, from a few routers to a thousand") {
  for (const auto promise : {milliseconds(2000), milliseconds(2500)}) {
    const PromisedTimes promised{promise, promise, milliseconds(10'000)};
    const ControllerOptions options = deployed(promised);
    for (const std::size_t routers : {0, 11, 74, 281, 1000}) {
      CHECK(all_hold(check_promises(promised, options, routers)));
    }
  }
}

TEST_CASE("a fleet too large for the settings is told, with what it is made of") {
  const PromisedTimes promised{milliseconds(2000), milliseconds(2500), milliseconds(10'000)};
  const auto promises = check_promises(promised, deployed(promised), 10'000);
  CHECK_FALSE(promises[0].holds());
  CHECK(promises[0].worst_case > promises[0].promised);
  CHECK_FALSE(promises[0].reason.empty());
}

TEST_CASE("hellos that grow apart with the fleet break a promise that does not grow") {
  const PromisedTimes promised{milliseconds(2500), milliseconds(2500), milliseconds(10'000)};
  ControllerOptions options = deployed(promised);
  options.distributor.longest_hello_interval = milliseconds(60'000);
  CHECK(all_hold(check_promises(promised, options, 74)));
  CHECK_FALSE(all_hold(check_promises(promised, options, 281)));
}

TEST_CASE("a hold above what back ends take is told") {
  const PromisedTimes promised{milliseconds(2000), milliseconds(2000), milliseconds(4000)};
  const auto promises = check_promises(promised, deployed(promised), 0);
  CHECK_FALSE(promises[2].holds());
}

TEST_CASE("where nothing is promised, nothing is at risk") {
  CHECK(all_hold(check_promises(PromisedTimes(), ControllerOptions(), 100'000)));
}

}  // namespace
}  // namespace planktray::controller
