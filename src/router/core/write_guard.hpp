#pragma once
/// Keeps requests from reaching back ends that have left: tracks every attempt from the choice of
/// its back end until its last byte is handed to the operating system.
///
/// A plain state machine: takes attempts, departures and the time, returns decisions.
///
/// Invariant: as long as every decision is carried out, no byte is handed to the operating system
/// later than `departure_deadline - network_latency` after the latest time at which its back end is
/// known to have accepted new work. A router that gets no answer from any controller is exempt.

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "router/core/caller_request.hpp"
#include "routing/table_freshness.hpp"

namespace planktray::router {

using common::BackendId;
using common::Duration;
using common::TimePoint;

struct WriteGuardOptions {
  /// Time after which a back end whose departure is acknowledged gets nothing more; 0: not bounded.
  Duration departure_deadline{0};
  /// From the hand-over of the last byte to the operating system until its arrival at the back end.
  Duration network_latency = std::chrono::milliseconds(200);
  /// Interval at which attempts that wait for a newer table are reviewed.
  Duration review_interval = std::chrono::milliseconds(20);
};

/// Decision about an attempt that is not completely written.
enum class WriteVerdict : std::uint8_t {
  kRecall,  ///< no byte was written: the request may go to another back end
  kAbort,   ///< partly written; the rest would arrive too late
  kHold,    ///< partly written; the rest waits until a newer table names the back end
  kResume,  ///< was held; the rest may be written
};

std::string_view to_string(WriteVerdict verdict);

struct WriteDecision {
  AttemptId attempt = 0;
  WriteVerdict verdict = WriteVerdict::kRecall;
  friend bool operator==(const WriteDecision&, const WriteDecision&) = default;
};

class WriteGuard {
 public:
  explicit WriteGuard(WriteGuardOptions options) : options_(options) {}

  /// Tracks an attempt whose back end was just chosen. @param is_pinned no other back end may take
  /// the request.
  void add(TimePoint now, AttemptId attempt, BackendId backend, bool is_pinned,
           const routing::TableFreshness& freshness);
  /// The operating system has taken the first byte of the attempt.
  void on_started(AttemptId attempt);
  /// The operating system has taken the last byte of the attempt, or the attempt has ended.
  void remove(AttemptId attempt) { attempts_.erase(attempt); }

  /// Returns true if no byte of the attempt was written.
  bool is_unstarted(AttemptId attempt) const {
    const auto found = attempts_.find(attempt);
    return found != attempts_.end() && !found->second.has_started;
  }
  /// Returns the attempts at the back end of which no byte was written.
  std::vector<AttemptId> unstarted_at(BackendId backend) const;

  /// The table says that the back end accepts no new work. @param known_until the latest time at
  /// which the back end is known to have accepted work; nothing if there is no such time.
  void on_leaving(BackendId backend, std::optional<TimePoint> known_until);
  /// The table says that the back end accepts new work.
  void on_accepting_work(BackendId backend) { close_times_.erase(backend); }
  /// Forgets leaving back ends for which `keep(id)` is false, unless they have attempts.
  template <typename Keep>
  void keep_only(const Keep& keep) {
    std::erase_if(close_times_, [&](const auto& item) {
      return !keep(item.first) && !has_attempts_at(item.first);
    });
  }
  /// Returns the time after which a leaving back end must get nothing more; nothing while the back
  /// end accepts new work, or if there is no departure deadline.
  std::optional<TimePoint> closes_at(BackendId backend) const;

  std::vector<WriteDecision> review(TimePoint now, const routing::TableFreshness& freshness);
  /// Time at which review() may next return decisions, if no table comes before.
  TimePoint next_review() const { return next_review_; }

 private:
  struct Unwritten {
    BackendId backend;
    bool is_pinned = false;
    bool has_started = false;
    bool is_held = false;
  };

  bool has_attempts_at(BackendId backend) const;
  /// Returns the last time to hand bytes for the back end to the operating system; nothing if there
  /// is no bound.
  std::optional<TimePoint> last_write_time(BackendId backend,
                                           const routing::TableFreshness& freshness) const;

  WriteGuardOptions options_;
  std::unordered_map<AttemptId, Unwritten> attempts_;
  std::unordered_map<BackendId, TimePoint> close_times_;  ///< of leaving back ends
  TimePoint next_review_ = TimePoint::max();
};

}  // namespace planktray::router
