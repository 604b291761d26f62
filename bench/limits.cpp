#include "limits.hpp"

#include <algorithm>
#include <deque>

#include "routing/limited_targets.hpp"

namespace planktray::bench {
namespace {

using common::TimePoint;
using routing::LimitedTargets;

const common::BackendId kTarget{1};
constexpr common::Duration kWindow = std::chrono::seconds(4);
constexpr double kSlack = 1.5;
constexpr double kExtra = 5;
constexpr std::int64_t kUpdateInterval = 250;  ///< ms between two updates of the leader

TimePoint at(std::int64_t milliseconds) {
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(milliseconds));
}

class Simulation {
 public:
  explicit Simulation(LimitRun& run) : run_(run), random_(run.routers) {
    for (std::uint32_t i = 0; i < run.routers; ++i) {
      routers_.emplace_back(routing::LimitedTargetsOptions());
      routers_.back().on_answer(at(0), kTarget, {true, run.limit});
    }
  }

  void simulate(std::uint32_t seconds) {
    const std::int64_t end = static_cast<std::int64_t>(seconds) * 1000;
    for (std::int64_t time = 0; time < end; ++time) {
      if (run_.admission && time % kUpdateInterval == 0) {
        update_routers(at(time));
      }
      if (common::chance(random_, run_.demand / 1000)) {
        send_request(at(time));
      }
    }
    run_.used = static_cast<double>(sent_) / seconds;
    run_.refused =
        requests_ == 0 ? 0 : 1.0 - static_cast<double>(sent_) / static_cast<double>(requests_);
    run_.most_allowed = kSlack * run_.limit * 4 + kExtra;
  }

 private:
  void update_routers(TimePoint now) {
    const routing::LimitedTargetsOptions options;
    const double planned = std::max(options.share * run_.limit, options.min_rate);
    for (LimitedTargets& router : routers_) {
      router.on_leader_list(
          now, now, {{kTarget, run_.limit, true, std::min(1.0, planned / run_.demand)}}, true);
    }
  }
  void send_request(TimePoint now) {
    LimitedTargets& router = routers_[common::uniform(random_, 0, routers_.size() - 1)];
    ++requests_;
    const auto admitted = router.admits(now, kTarget, random_);
    if (!admitted.value_or(router.has_share(now, kTarget, run_.routers, random_))) {
      return;
    }
    router.on_sent(now, kTarget, run_.routers);
    ++sent_;
    window_.push_back(now);
    while (window_.front() <= now - kWindow) {
      window_.pop_front();
    }
    run_.most = std::max(run_.most, static_cast<std::uint32_t>(window_.size()));
  }

  LimitRun& run_;
  common::RandomEngine random_;
  std::vector<LimitedTargets> routers_;
  std::deque<TimePoint> window_;
  std::uint64_t requests_ = 0;
  std::uint64_t sent_ = 0;
};

}  // namespace

std::vector<LimitRun> measure_limits(std::uint32_t seconds) {
  std::vector<LimitRun> runs;
  for (const std::uint32_t routers : {4U, 12U, 78U, 281U}) {
    for (const double limit : {1.0, 4.8, 20.0}) {
      for (const double demand : {0.4 * limit, 4.0 * limit}) {  // after and before keys moved away
        for (const bool admission : {false, true}) {
          LimitRun run{routers, limit, demand, admission};
          Simulation(run).simulate(seconds);
          runs.push_back(run);
        }
      }
    }
  }
  return runs;
}

}  // namespace planktray::bench
