#include "routing/follower_polls.hpp"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

namespace planktray::routing {
namespace {

using common::ZoneName;
using std::chrono::milliseconds;

common::TimePoint at(std::int64_t value) { return common::from_microseconds(value * 1000); }

const std::vector<std::string> kFollowers = {"a1", "a2", "b1", "b2", "c1"};

struct Fixture {
  FollowerPolls polls{ZoneName("a")};
  common::RandomEngine random{1};

  Fixture() {
    for (const std::string& follower : kFollowers) {
      polls.on_zone(follower, ZoneName(follower.substr(0, 1)));
    }
    polls.set_interval(at(0), milliseconds(500));
  }
  std::vector<std::string> poll(std::int64_t time) {
    return polls.begin_poll(at(time), kFollowers, random);
  }
};

TEST_CASE("a router that was not told to poll never does") {
  FollowerPolls polls{ZoneName("a")};
  CHECK(polls.next_due() == common::TimePoint::max());
  polls.set_interval(at(0), milliseconds(500));
  CHECK(polls.next_due() == at(500));
  polls.set_interval(at(100), milliseconds(500));
  CHECK(polls.next_due() == at(500));
  polls.set_interval(at(200), milliseconds(0));
  CHECK(polls.next_due() == common::TimePoint::max());
}

TEST_CASE("the follower that answers is polled again, one of the own zone rather than another") {
  Fixture fixture;
  const auto first = fixture.poll(500);
  REQUIRE(first.size() == 2);
  CHECK(first[0].starts_with("a"));
  CHECK_FALSE(first[1].starts_with("a"));
  CHECK(fixture.polls.next_due() == at(1000));
  fixture.polls.on_answered(first[1]);
  fixture.polls.on_answered(first[0]);
  fixture.polls.on_answered(first[1]);
  CHECK(fixture.poll(1000) == std::vector<std::string>{first[0]});
}

/// Guards against routers that keep polling a follower that is gone: their tables grow too old.
TEST_CASE("after a poll without an answer others are polled, in all zones") {
  Fixture fixture;
  std::set<std::string> polled;
  for (std::int64_t time = 500; time < 50'000; time += 500) {
    for (const std::string& follower : fixture.poll(time)) {
      polled.insert(follower);
    }
  }
  CHECK(polled.size() == kFollowers.size());
}

TEST_CASE("a router finds the followers of its zone although those of others answer") {
  FollowerPolls polls{ZoneName("a")};
  common::RandomEngine random{1};
  polls.set_interval(at(0), milliseconds(500));
  std::vector<std::string> polled;
  for (std::int64_t time = 500; time < 5000; time += 500) {
    polled = polls.begin_poll(at(time), kFollowers, random);
    for (const std::string& follower : polled) {
      polls.on_zone(follower, ZoneName(follower.substr(0, 1)));
      polls.on_answered(follower);
    }
  }
  REQUIRE(polled.size() == 1);
  CHECK(polled.front().starts_with("a"));
}

TEST_CASE("a follower that leads now is not polled any more") {
  Fixture fixture;
  fixture.polls.on_answered("a1");
  const auto polled = fixture.polls.begin_poll(at(500), {"a2", "b1"}, fixture.random);
  CHECK(polled == std::vector<std::string>{"a2", "b1"});
}

TEST_CASE("where no follower is known nobody is polled") {
  Fixture fixture;
  CHECK(fixture.polls.begin_poll(at(500), {}, fixture.random).empty());
  CHECK(fixture.polls.next_due() == at(1000));
}

}  // namespace
}  // namespace planktray::routing
