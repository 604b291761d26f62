#pragma once
/// What one router knows of each target from its own experience: what is outstanding there, how
/// long requests take, what its last load report said, and whether it failed lately.

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "routing/room_report.hpp"
#include "routing/room_view.hpp"

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
  /// The same for what a report says of the queue.
  Duration queue_half = std::chrono::milliseconds(400);
  /// A target is avoided this long after a failure; doubles with each more, up to the maximum.
  Duration minimum_block = std::chrono::milliseconds(100);
  Duration maximum_block = std::chrono::milliseconds(1600);
  /// How much slower a target is while it is cold.
  double cold_factor = 2.0;
};

/// Work times since the last report.
struct WorkSamples {
  double sum_us = 0;
  std::uint32_t count = 0;
};

struct TargetView {
  std::uint32_t slots = 1;
  std::multiset<TimePoint> outstanding;  ///< when each was sent
  double time_us = 0;                    ///< smoothed time of work at its usual pace, 0: none seen
  double others = 0;                     ///< requests of other routers there, at `load_at`
  /// The same, smoothed. Owners of keys are compared by work times that are freed of this, not of
  /// the last report: that would make an owner which is behind look fast, and bring it more keys.
  double usual_others = 0;
  double pace = 1;        ///< work time there / its usual one, by its last report
  TimePoint reported_at;  ///< when that came
  /// Its load at `load_at`, by its last answer here or to another router.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  TimePoint load_at;
  TimePoint learnt_at;  ///< when time_us last changed
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
  /// The request has ended without an answer that tells the target's speed.
  void on_ended(BackendId id, TimePoint sent);
  /// The target failed: it is avoided for a while.
  void block(TimePoint now, BackendId id);

  bool is_blocked(TimePoint now, BackendId id) const;
  /// Takes what another router heard of a target, unless what is known is younger.
  /// @return true where it was taken.
  bool take_room(TimePoint now, const RoomReport& report);
  /// The target has turned a request away for want of room.
  void on_turned_away(TimePoint now, BackendId id, const std::optional<LoadReport>& report);
  /// What its own answers told this router after `since`, the youngest first.
  std::vector<RoomReport> rooms_since(TimePoint now, TimePoint since, std::size_t most) const;
  /// What is expected of a target at this moment; nothing where nothing was heard of it within
  /// kRoomLifetime.
  std::optional<Room> room(TimePoint now, BackendId id) const;

  std::size_t outstanding(BackendId id) const;
  /// Expected time until an answer to a request sent now.
  Duration projected(TimePoint now, BackendId id) const;
  const TargetView* find(BackendId id) const;
  /// Hands out the work times since the last call, by `take(id, samples)`.
  template <typename Take>
  void take_samples(const Take& take) {
    for (auto& [id, target] : targets_) {
      if (target.samples.count > 0) {
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
  void note_load(TimePoint heard, TargetView& target, std::uint32_t running, std::uint32_t waiting);
  double service_time_us(TimePoint now, const TargetView& target) const;

  TargetBookOptions options_;
  std::unordered_map<BackendId, TargetView> targets_;
  double typical_us_ = 0;  ///< smoothed time over all targets of the book
  Belief typical_;         ///< smoothed over all reports
  /// Requests that waited at a target which turned one away; nothing until one did. The targets of
  /// a service have queues of one length.
  std::optional<std::uint32_t> queue_limit_;
  std::uint32_t longest_queue_ = 0;  ///< requests heard to wait at any target
};

}  // namespace planktray::routing
