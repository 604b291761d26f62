/// Admission of requests for the keys of owners whose queues are too long.

#include "routing/crowded_owners.hpp"

#include <doctest/doctest.h>

namespace planktray::routing {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;

const BackendId kCrowded{1};
const BackendId kOther{2};

TimePoint at(int ms) { return TimePoint(std::chrono::seconds(100)) + milliseconds(ms); }

TEST_CASE("the share in the leader's list of the requests for a crowded owner's keys is sent") {
  common::RandomEngine random(1);
  CrowdedOwners owners{CrowdedOwnersOptions()};
  owners.on_leader_list(at(0), {{kCrowded, 250}});
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    sent += owners.admits(at(i), kCrowded, random) ? 1 : 0;
    CHECK(owners.admits(at(i), kOther, random));
  }
  CHECK(sent == doctest::Approx(25).epsilon(0.05));
}

TEST_CASE("a list of crowded owners ends with its lease and with the next list") {
  common::RandomEngine random(1);
  CrowdedOwners owners{CrowdedOwnersOptions()};
  owners.on_leader_list(at(0), {{kCrowded, 0}});
  CHECK_FALSE(owners.admits(at(2400), kCrowded, random));
  CHECK(owners.admits(at(2600), kCrowded, random));
  CHECK_FALSE(owners.has_current_list(at(2600)));
  owners.on_leader_list(at(3000), {{kCrowded, 0}});
  owners.on_leader_list(at(3100), {});
  CHECK(owners.admits(at(3200), kCrowded, random));
}

}  // namespace
}  // namespace planktray::routing
