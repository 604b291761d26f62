/// Rate limits of targets, enforced by many routers with and without an admission from the leader.

#include "routing/limited_targets.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <vector>

#include "routing/fleet_size.hpp"

namespace planktray::routing {
namespace {

using common::Duration;
using common::TimePoint;
using std::chrono::milliseconds;

const BackendId kTarget{7};

TimePoint at(std::int64_t milliseconds_since_start) {
  return common::from_microseconds((1'000'000 + milliseconds_since_start) * 1000);
}

AnswerLimit limit_of(double per_second) { return {true, per_second}; }
constexpr AnswerLimit kNoLimit{true, std::nullopt};

/// Routers that know the limit of one target, and a demand for this target.
class Routers {
 public:
  Routers(std::size_t count, std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < count; ++i) {
      routers_.emplace_back(LimitedTargetsOptions());
    }
  }
  void state_limit(std::int64_t time, double limit) {
    for (LimitedTargets& router : routers_) {
      router.on_answer(at(time), kTarget, limit_of(limit));
    }
  }
  /// Sends all routers the admission that the leader computes for this demand.
  void admit(std::int64_t time, double limit, double demand) {
    const double planned = std::max(0.5 * limit, 0.1);
    const TargetLimit listed{kTarget, limit, true, std::min(1.0, planned / demand)};
    for (LimitedTargets& router : routers_) {
      router.on_leader_list(at(time), at(time), {listed}, true);
    }
  }
  /// Makes `demand` requests per second until `end` and counts those sent per window of 4 s.
  void run(std::int64_t begin, std::int64_t end, double demand) {
    for (std::int64_t time = begin; time < end; ++time) {
      for (double left = demand / 1000; left > 0; left -= 1) {
        if (common::chance(random_, std::min(left, 1.0))) {
          ask(at(time));
        }
      }
    }
  }
  std::size_t most() const { return most_; }
  std::size_t sent() const { return sent_; }

 private:
  void ask(TimePoint now) {
    LimitedTargets& router = routers_[common::uniform(random_, 0, routers_.size() - 1)];
    const auto count = static_cast<std::uint32_t>(routers_.size());
    const auto admitted = router.admits(now, kTarget, random_);
    if (!admitted.value_or(router.has_share(now, kTarget, count, random_))) {
      return;
    }
    router.on_sent(now, kTarget, count);
    ++sent_;
    window_.push_back(now);
    while (window_.front() <= now - milliseconds(4000)) {
      window_.pop_front();
    }
    most_ = std::max(most_, window_.size());
  }

  common::RandomEngine random_;
  std::vector<LimitedTargets> routers_;
  std::deque<TimePoint> window_;
  std::size_t most_ = 0;
  std::size_t sent_ = 0;
};

std::size_t allowed(double limit) { return static_cast<std::size_t>(1.5 * limit * 4 + 5); }

TEST_CASE(
    "all routers together keep within a limit, with and without an admission from the leader") {
  constexpr std::int64_t kLength = 120'000;
  for (const std::size_t count :
       {std::size_t(4), std::size_t(12), std::size_t(78), std::size_t(281)}) {
    for (const double limit : {0.0, 0.5, 1.0, 4.8, 40.0}) {
      for (const bool has_admission : {false, true}) {
        CAPTURE(count);
        CAPTURE(limit);
        CAPTURE(has_admission);
        const double demand = 4 * limit + 20;
        Routers routers(count, 1);
        routers.state_limit(0, limit);
        for (std::int64_t time = 0; time < kLength; time += 250) {
          if (has_admission) {
            routers.admit(time, limit, demand);
          }
          routers.run(time, time + 250, demand);
        }
        CHECK(routers.most() <= allowed(limit));
        const double used = static_cast<double>(routers.sent()) / (kLength / 1000.0);
        CHECK(used <= 0.6 * limit + 0.2);
        if (has_admission && limit > 0) {
          CHECK(used >= 0.4 * limit);  // the available rate is used
        }
      }
    }
  }
}

TEST_CASE("the mutant without the safeguard ignores the limit") {
  LimitedTargetsOptions options;
  options.is_enabled = false;
  LimitedTargets router(options);
  common::RandomEngine random(1);
  router.on_answer(at(0), kTarget, limit_of(1));
  CHECK(router.admits(at(1), kTarget, random) == true);
  CHECK(router.has_share(at(1), kTarget, 1, random));
}

TEST_CASE("routers accumulate no unused slots during a long time without demand") {
  for (const std::size_t count : {std::size_t(12), std::size_t(281)}) {
    Routers routers(count, 3);
    routers.state_limit(0, 1.0);
    routers.run(0, 2000, 50);
    routers.run(600'000, 610'000, 500);
    CHECK(routers.most() <= allowed(1.0));
  }
}

TEST_CASE("when the admission expires, equal shares apply at once, without a burst") {
  Routers routers(281, 5);
  routers.state_limit(0, 2.0);
  routers.admit(1000, 2.0, 100);
  routers.run(1000, 20'000, 100);
  CHECK(routers.most() <= allowed(2.0));
}

TEST_CASE("no request is refused while the leader admits all") {
  Routers routers(78, 5);
  routers.state_limit(0, 4.8);
  routers.admit(1, 4.8, 1.0);
  routers.run(1, 2000, 1.0);
  CHECK(routers.sent() >= 1);
  common::RandomEngine random(1);
  LimitedTargets one{LimitedTargetsOptions()};
  one.on_answer(at(0), kTarget, limit_of(4.8));
  one.on_leader_list(at(1), at(1), {{kTarget, 4.8, true, 1.0}}, true);
  for (int i = 0; i < 5; ++i) {
    CHECK(one.admits(at(2), kTarget, random) == true);
  }
}

TEST_CASE("a lowered limit applies at once") {
  Routers routers(281, 9);
  routers.state_limit(0, 400.0);
  routers.run(0, 3000, 300);
  Routers fallen = routers;
  fallen.state_limit(3000, 1.0);
  fallen.run(7000, 12'000, 300);
  std::size_t before = fallen.sent();
  fallen.run(12'000, 16'000, 300);
  CHECK(fallen.sent() - before <= allowed(1.0));
}

TEST_CASE("an answer without a limit ends the limit, and the leader informs other routers") {
  common::RandomEngine random(1);
  LimitedTargets router{LimitedTargetsOptions()};
  CHECK_FALSE(router.on_answer(at(0), kTarget, kNoLimit));
  CHECK(router.on_answer(at(1), kTarget, limit_of(1)));
  CHECK_FALSE(router.on_answer(at(2), kTarget, limit_of(1)));
  CHECK_FALSE(router.on_answer(at(3), kTarget, AnswerLimit{}));  // unreadable: states nothing
  CHECK(router.is_limited(kTarget));
  CHECK(router.on_answer(at(4), kTarget, kNoLimit));
  CHECK_FALSE(router.is_limited(kTarget));
  const auto reports = router.reports(at(5), 8);
  REQUIRE(reports.size() == 1);
  CHECK_FALSE(reports[0].is_limited);
  CHECK(reports[0].age_us == 1000);

  LimitedTargets other{LimitedTargetsOptions()};
  other.on_answer(at(1), kTarget, limit_of(1));
  other.on_leader_list(at(2), at(0), {}, true);  // not reported to the leader yet
  CHECK(other.is_limited(kTarget));
  (void)other.reports(at(3), 8);
  other.on_leader_list(at(4), at(3), {}, false);  // incomplete list
  CHECK(other.is_limited(kTarget));
  other.on_leader_list(at(5), at(3), {}, true);
  CHECK_FALSE(other.is_limited(kTarget));
}

TEST_CASE("a limit that did not fit into a report is not ended by a list without it") {
  LimitedTargets router{LimitedTargetsOptions()};
  router.on_answer(at(0), BackendId(1), limit_of(1));
  router.on_answer(at(0), BackendId(2), limit_of(1));
  CHECK(router.reports(at(1), 1).size() == 1);
  router.on_leader_list(at(2), at(1), {}, true);
  CHECK(router.is_limited(BackendId(1)));
  CHECK(router.is_limited(BackendId(2)));
}

TEST_CASE("routers keep within a limit that they know only from the leader") {
  common::RandomEngine random(1);
  LimitedTargets router{LimitedTargetsOptions()};
  router.on_leader_list(at(0), at(0), {{kTarget, 1, true, 0.0}}, true);
  CHECK(router.is_limited(kTarget));
  CHECK(router.admits(at(1), kTarget, random) == false);
  CHECK(router.reports(at(2), 8).empty());  // no answer has stated the limit to this router
}

TEST_CASE("shares are computed from the largest recent number of routers") {
  FleetSize size(milliseconds(6000));
  CHECK(size.largest() == 1);
  size.on_count(at(0), 281);
  size.on_count(at(100), 1);  // a new leader has received the hello of one router
  CHECK(size.largest() == 281);
  size.on_count(at(400), 90);
  size.on_count(at(5900), 280);
  CHECK(size.largest() == 281);
  size.on_count(at(6100), 280);
  CHECK(size.largest() == 280);
  size.on_count(at(6200), 300);
  CHECK(size.largest() == 300);
}

}  // namespace
}  // namespace planktray::routing
