#pragma once
/// Statistics of one router about each target: its requests in flight there, their duration, the
/// target's last load report and recent failures.

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "routing/failure_block.hpp"

namespace planktray::routing {

using common::BackendId;
using common::Duration;
using common::TimePoint;

/// Load of a target as stated in one of its answers.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// Current work time of the target in percent of its usual work time; std::nullopt if not stated.
  /// Changes many times per second.
  std::optional<std::uint32_t> work_time_percent = std::nullopt;
};

struct TargetBookOptions {
  /// Assumed work time of a service without any samples.
  Duration initial_time = std::chrono::milliseconds(100);
  /// Weight of a new sample in exponentially smoothed times.
  double sample_weight = 0.15;
  /// Half-life of a target's smoothed work time, while it gets no answers, against the typical work
  /// time of all targets.
  Duration work_time_half_life = std::chrono::milliseconds(2500);
  /// Half-life of a load report against the typical load of all targets. Work takes some hundreds
  /// of milliseconds, and its speed changes several times per second.
  Duration report_half_life = std::chrono::milliseconds(400);
  /// Without any report for `typical_load_hold`, the typical load decays with the half-life
  /// `typical_load_half_life`. A router that sends nothing because all targets seem full would
  /// otherwise never learn that they are not.
  Duration typical_load_hold = std::chrono::milliseconds(3000);
  Duration typical_load_half_life = std::chrono::milliseconds(1000);
  /// A target is avoided for this long after a failure. Doubles with each further failure, up to
  /// `maximum_block`.
  Duration minimum_block = std::chrono::milliseconds(100);
  Duration maximum_block = std::chrono::milliseconds(1600);
  /// Factor by which work takes longer at a cold target.
  double cold_factor = 2.0;
};

/// Work times and queue lengths since the last call of take_samples().
struct WorkSamples {
  double sum_us = 0;          ///< sum of work times
  std::uint32_t count = 0;    ///< number of work times
  std::uint32_t reports = 0;  ///< number of load reports
  std::uint32_t waiting = 0;  ///< sum of `waiting` over the load reports

  bool empty() const { return count == 0 && reports == 0; }
};

/// Statistics of one target.
struct TargetView {
  std::uint32_t slots = 1;
  std::multiset<TimePoint> outstanding;  ///< send times of the requests in flight
  double work_time_us = 0;               ///< smoothed work time at the usual pace; 0: no samples
  double others = 0;                     ///< requests of other routers, by the last load report
  /// The smoothed value of `others`. The work times by which owners of keys are compared exclude
  /// the queueing delay caused by this value. Excluding the last report instead would make an
  /// overloaded owner look fast and assign it more keys.
  double usual_others = 0;
  double pace = 1;        ///< current / usual work time, by the last load report
  TimePoint reported_at;  ///< time of the last load report
  TimePoint learned_at;   ///< time of the last change of work_time_us
  bool is_cold = false;
  FailureBlock block;
  WorkSamples samples;
};

class TargetBook {
 public:
  explicit TargetBook(TargetBookOptions options) : options_(options) {}

  /// Adds or updates a target of the table.
  void add(BackendId id, std::uint32_t slots, bool is_cold);
  /// Drops targets without requests in flight for which `keep(id)` is false.
  template <typename Keep>
  void drop_unless(const Keep& keep) {
    std::erase_if(targets_, [&](const auto& item) {
      return item.second.outstanding.empty() && !keep(item.first);
    });
  }

  void on_sent(TimePoint now, BackendId id);
  /// The request sent at `sent` was answered, with a load report if `report` has a value.
  void on_answered(TimePoint now, BackendId id, TimePoint sent,
                   const std::optional<LoadReport>& report);
  /// The target has refused a request and stated its load.
  void on_refused(BackendId id, const LoadReport& report);
  /// The request sent at `sent` was abandoned before its answer. The elapsed time is a lower bound
  /// of its duration.
  void on_given_up(TimePoint now, BackendId id, TimePoint sent);
  /// The request has ended without a sample of the target's work time.
  void on_ended(BackendId id, TimePoint sent);
  /// The target has failed and is avoided for a while.
  void block(TimePoint now, BackendId id);

  bool is_blocked(TimePoint now, BackendId id) const;
  std::size_t outstanding(BackendId id) const;
  /// Expected latency of a request sent now.
  Duration expected_latency(TimePoint now, BackendId id) const;
  const TargetView* find(BackendId id) const;
  /// Typical work time of all targets.
  Duration typical_time() const {
    return typical_us_ > 0 ? Duration(static_cast<Duration::rep>(typical_us_))
                           : options_.initial_time;
  }
  /// Calls `take(id, samples)` for each target with samples since the last call, and clears them.
  template <typename Take>
  void take_samples(const Take& take) {
    for (auto& [id, target] : targets_) {
      if (!target.samples.empty()) {
        take(id, std::exchange(target.samples, {}));
      }
    }
  }

 private:
  /// Load estimate of a target.
  struct LoadEstimate {
    double others = 0;
    double pace = 1;
  };
  /// Estimates the current load from the last report and the typical load.
  LoadEstimate estimate_load(TimePoint now, const TargetView& target) const;
  void take_report(TimePoint now, TargetView& target, const LoadReport& report);
  double work_time_us(TimePoint now, const TargetView& target) const;
  /// Adds a sample of the work time at the target's usual pace.
  void add_work_time(TimePoint now, TargetView& target, double work_us);

  TargetBookOptions options_;
  std::unordered_map<BackendId, TargetView> targets_;
  double typical_us_ = 0;      ///< smoothed work time of all targets
  LoadEstimate typical_load_;  ///< smoothed over all load reports
  TimePoint typical_load_at_;  ///< time of the last load report
};

}  // namespace planktray::routing
