#pragma once
/// What one router knows of each target from its own experience: what is outstanding there, how
/// long requests take, what its last load report said, and whether it failed lately.

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace planktray::routing {

using common::BackendId;
using common::Duration;
using common::TimePoint;

/// What a target says of itself in an answer.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// How long work takes there at this moment, in percent of its usual time; nothing where the
  /// target does not say. It changes many times a second.
  std::optional<std::uint32_t> work_time_percent = std::nullopt;
};

struct TargetBookOptions {
  /// Assumed work time of a service of which nothing is known.
  Duration initial_time = std::chrono::milliseconds(100);
  /// Weight of a new observation in smoothed times.
  double weight = 0.15;
  /// After this time without an answer, what was learnt of a target counts half.
  Duration forget_half = std::chrono::milliseconds(2500);
  /// After this time a load report counts half against what is usual at the book's targets. Work
  /// takes some hundreds of milliseconds, and how fast it goes changes several times a second.
  Duration report_half = std::chrono::milliseconds(400);
  /// Without any report for `typical_hold`, what is usual at the book's targets counts half after
  /// each `typical_half` more: a router that sends nothing since all seem full would never hear
  /// that they are not.
  Duration typical_hold = std::chrono::milliseconds(3000);
  Duration typical_half = std::chrono::milliseconds(1000);
  /// A target is avoided this long after a failure; doubles with each more, up to the maximum.
  Duration minimum_block = std::chrono::milliseconds(100);
  Duration maximum_block = std::chrono::milliseconds(1600);
  /// How much slower a target is while it is cold.
  double cold_factor = 2.0;
};

/// Work times and queues since the last report.
struct WorkSamples {
  double sum_us = 0;
  std::uint32_t count = 0;
  std::uint32_t reports = 0;  ///< that told the queue
  std::uint32_t waiting = 0;  ///< sum over these

  bool empty() const { return count == 0 && reports == 0; }
};

struct TargetView {
  std::uint32_t slots = 1;
  std::multiset<TimePoint> outstanding;  ///< when each was sent
  double time_us = 0;                    ///< smoothed time of work at its usual pace, 0: none seen
  double others = 0;                     ///< requests of other routers there, by its last report
  /// The same, smoothed. Owners of keys are compared by work times that are freed of this, not of
  /// the last report: that would make an owner which is behind look fast, and bring it more keys.
  double usual_others = 0;
  double pace = 1;        ///< work time there / its usual one, by its last report
  TimePoint reported_at;  ///< when that came
  TimePoint learnt_at;    ///< when time_us last changed
  bool is_cold = false;
  TimePoint blocked_until;
  Duration block{0};
  WorkSamples samples;
};

class TargetBook {
 public:
  explicit TargetBook(TargetBookOptions options) : options_(options) {}

  /// Notes a target of the table.
  void add(BackendId id, std::uint32_t slots, bool is_cold);
  /// Drops targets that the table lacks, once nothing is outstanding there.
  template <typename Keep>
  void drop_unless(const Keep& keep) {
    std::erase_if(targets_, [&](const auto& item) {
      return item.second.outstanding.empty() && !keep(item.first);
    });
  }

  void on_sent(TimePoint now, BackendId id);
  /// The request sent at `sent` was answered; `report` where the answer carried one.
  void on_answered(TimePoint now, BackendId id, TimePoint sent,
                   const std::optional<LoadReport>& report);
  /// A refusal of the target told its load.
  void on_refused(BackendId id, const LoadReport& report);
  /// Nobody waits any longer for the answer to the request sent at `sent`: it takes longer than
  /// that.
  void on_given_up(TimePoint now, BackendId id, TimePoint sent);
  /// The request has ended without an answer that tells the target's speed.
  void on_ended(BackendId id, TimePoint sent);
  /// The target failed: it is avoided for a while.
  void block(TimePoint now, BackendId id);

  bool is_blocked(TimePoint now, BackendId id) const;
  std::size_t outstanding(BackendId id) const;
  /// Expected time until an answer to a request sent now.
  Duration expected_latency(TimePoint now, BackendId id) const;
  const TargetView* find(BackendId id) const;
  /// How long work usually takes at the book's targets.
  Duration typical_time() const {
    return typical_us_ > 0 ? Duration(static_cast<Duration::rep>(typical_us_))
                           : options_.initial_time;
  }
  /// Hands out the work times since the last call, by `take(id, samples)`.
  template <typename Take>
  void take_samples(const Take& take) {
    for (auto& [id, target] : targets_) {
      if (!target.samples.empty()) {
        take(id, std::exchange(target.samples, {}));
      }
    }
  }

 private:
  /// What the last report of a target says of this moment.
  struct Belief {
    double others = 0;
    double pace = 1;
  };
  Belief belief(TimePoint now, const TargetView& target) const;
  void take_report(TimePoint now, TargetView& target, const LoadReport& report);
  double service_time_us(TimePoint now, const TargetView& target) const;
  /// Work took so long there, at the target's usual pace.
  void learn(TimePoint now, TargetView& target, double work_us);

  TargetBookOptions options_;
  std::unordered_map<BackendId, TargetView> targets_;
  double typical_us_ = 0;  ///< smoothed time over all targets of the book
  Belief typical_;         ///< smoothed over all reports
  TimePoint typical_at_;   ///< of the last of them
};

}  // namespace planktray::routing
