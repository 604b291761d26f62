#pragma once
/// Keeps requests from reaching back ends that have left: watches the attempts that are not written
/// whole, from the choice of their back end until their last byte is handed to the system.
///
/// A plain state machine: attempts, departures and the time in, verdicts out.
///
/// Invariant: as long as every verdict is carried out, no byte is handed to the system later than
/// `promised - way` after the latest moment as of which its back end is known to have taken new
/// work, but by a router that nobody answers.

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
  /// A back end whose leaving is acknowledged gets nothing more after this time; 0: no promise.
  Duration departure_deadline{0};
  /// From the last byte's hand-over to the system until it is at the back end.
  Duration network_latency = std::chrono::milliseconds(200);
  /// Attempts that wait for a newer table are looked at again this often.
  Duration review_interval = std::chrono::milliseconds(20);
};

/// What becomes of an attempt that is not written whole.
enum class WriteVerdict : std::uint8_t {
  kRecall,  ///< not a byte has left: it may go elsewhere
  kAbort,   ///< begun; the rest would come too late
  kHold,    ///< begun; the rest waits until a newer table names the back end
  kResume,  ///< held before; the rest may be written
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

  /// A back end was chosen. @param is_bound no other back end may take the request.
  void add(TimePoint now, AttemptId attempt, BackendId backend, bool is_bound,
           const routing::TableFreshness& freshness);
  /// The system has taken its first byte.
  void on_begun(AttemptId attempt);
  /// The system has taken its last byte, or the attempt has ended.
  void remove(AttemptId attempt) { attempts_.erase(attempt); }

  /// Attempts at the back end of which nothing was written.
  std::vector<AttemptId> unbegun_at(BackendId backend) const;

  /// The table says that the back end takes no new work. @param known_until the latest moment as of
  /// which it is known to have taken some; nothing: it never was.
  void on_leaving(BackendId backend, std::optional<TimePoint> known_until);
  /// The table says that the back end takes new work.
  void on_taking(BackendId backend) { closings_.erase(backend); }
  /// Forgets back ends that left and that `keep(id)` is false for, unless attempts go there.
  template <typename Keep>
  void keep_only(const Keep& keep) {
    std::erase_if(closings_, [&](const auto& item) {
      return !keep(item.first) && !has_attempts_at(item.first);
    });
  }
  /// When a back end that is leaving is to get nothing more; nothing while it takes new work, or
  /// where nothing is promised.
  std::optional<TimePoint> closes_at(BackendId backend) const;

  std::vector<WriteDecision> review(TimePoint now, const routing::TableFreshness& freshness);
  /// When review() may have something, if no table comes before.
  TimePoint next_review() const { return next_review_; }

 private:
  struct Unwritten {
    BackendId backend;
    bool is_bound = false;
    bool has_begun = false;
    bool is_held = false;
  };

  bool has_attempts_at(BackendId backend) const;
  /// The last moment to hand bytes for the back end to the system; nothing: it is not bounded.
  std::optional<TimePoint> write_until(BackendId backend,
                                       const routing::TableFreshness& freshness) const;

  WriteGuardOptions options_;
  std::unordered_map<AttemptId, Unwritten> attempts_;
  std::unordered_map<BackendId, TimePoint> closings_;  ///< by back ends that are leaving
  TimePoint next_review_ = TimePoint::max();
};

}  // namespace planktray::router
