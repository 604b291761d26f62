/// Callers that repeat at once and often, among others that wait as they were told.

#include "routing/caller_shares.hpp"

#include <doctest/doctest.h>

#include <string>

namespace planktray::routing {
namespace {

using std::chrono::milliseconds;

common::TimePoint at(std::int64_t value) {
  return common::from_microseconds((10'000 + value) * 1000);
}

/// Callers 0 to 9, each 2 requests a second; caller 0 asks `times` as often from second 2 to 4.
/// @return the seconds in which caller 0 was found to take too much.
std::string greedy_seconds(CallerShares& shares, int times) {
  std::string found;
  for (std::int64_t time = 0; time < 8000; time += 500) {
    for (int caller = 0; caller < 10; ++caller) {
      const bool asks_often = caller == 0 && time >= 2000 && time < 4000;
      bool is_greedy = false;
      for (int i = 0; i < (asks_often ? times : 1); ++i) {
        is_greedy = shares.note(at(time + caller), std::to_string(caller));
      }
      if (is_greedy && caller == 0) {
        found += std::to_string(time / 1000);
      }
      CHECK((caller == 0 || !is_greedy));
    }
  }
  return found;
}

TEST_CASE("a caller that asks many times as often as the others is found, and forgiven") {
  CallerShares shares;
  const std::string found = greedy_seconds(shares, 12);
  CAPTURE(found);
  CHECK(found.substr(0, 4) == "2233");
  CHECK(found.find('6') == std::string::npos);
  CHECK(found.find('7') == std::string::npos);
}

TEST_CASE("twice the others' share is no offence, nor is being alone") {
  CallerShares shares;
  CHECK(greedy_seconds(shares, 2).empty());
  CallerShares alone;
  for (int i = 0; i < 100; ++i) {
    CHECK_FALSE(alone.note(at(i), "a"));
  }
}

TEST_CASE("what is kept of callers is bounded, and the busy ones are kept") {
  CallerShares shares({.maximum_callers = 16});
  for (int i = 0; i < 1000; ++i) {
    shares.note(at(i), std::to_string(i));
    shares.note(at(i), "busy");
    CHECK(shares.size() <= 16);
  }
  CHECK(shares.note(at(1000), "busy"));
}

}  // namespace
}  // namespace planktray::routing
