#pragma once
/// Backoffs that back ends have requested from this router when they refused a request.
///
/// A pure state machine whose inputs are answers and times. A backoff applies to one incarnation of
/// a back end, since a back end ID identifies an incarnation. Answers of other incarnations must
/// not be passed in.
///
/// Invariants:
///  - The latest end of several requested backoffs applies. Answers to requests that were sent
///    before the end do not end the backoff.
///  - After the end, one trial request at a time is sent until one of these is answered.

#include <algorithm>
#include <optional>
#include <unordered_map>

#include "common/ids.hpp"
#include "common/random.hpp"
#include "common/time.hpp"

namespace planktray::routing {

using common::BackendId;
using common::Duration;
using common::TimePoint;

struct RequestedBackoffOptions {
  /// Upper limit for a requested time.
  Duration longest = std::chrono::hours(24);
  /// Jitter: each router adds a random time, up to this fraction of the requested time and at most
  /// `longest_spread`, so that routers that were refused together do not return at once.
  double spread = 0.2;
  Duration longest_spread = std::chrono::milliseconds(500);
};

class RequestedBackoffs {
 public:
  explicit RequestedBackoffs(RequestedBackoffOptions options) : options_(options) {}

  /// The back end has refused a request and requests a backoff for `time`.
  /// @return true if a backoff begins, false if one was in effect already.
  bool on_requested(TimePoint now, BackendId id, Duration time, common::RandomEngine& random);
  /// A request is sent to the back end.
  void on_sent(TimePoint now, BackendId id);
  /// The request that was sent at `sent` was answered.
  void on_answered(BackendId id, TimePoint sent);
  /// The request that was sent at `sent` has ended without an answer.
  void on_ended(BackendId id, TimePoint sent);
  /// Drops back ends for which `keep(id)` is false.
  template <typename Keep>
  void keep_only(const Keep& keep) {
    std::erase_if(backoffs_, [&](const auto& item) { return !keep(item.first); });
  }

  /// End of the backoff; std::nullopt if none is in effect.
  std::optional<TimePoint> ends_at(TimePoint now, BackendId id) const;
  /// True while the trial request after the end of the backoff is in flight.
  bool is_on_trial(BackendId id) const;
  bool empty() const { return backoffs_.empty(); }
  /// Calls `visit(id, end)` for each backoff in effect.
  template <typename Visit>
  void for_each(TimePoint now, const Visit& visit) const {
    for (const auto& [id, backoff] : backoffs_) {
      if (now < backoff.end) {
        visit(id, backoff.end);
      }
    }
  }
  /// Number of backoffs in effect.
  std::size_t count(TimePoint now) const;

 private:
  RequestedBackoffOptions options_;
  struct Backoff {
    TimePoint end;
    std::optional<TimePoint> trial_sent;  ///< set while the trial request is in flight
  };
  /// Kept after their end until a request that was sent after the end is answered.
  std::unordered_map<BackendId, Backoff> backoffs_;
};

}  // namespace planktray::routing
