#pragma once
/// Decides which requests a router still admits while it drains. Pure functions of times.
///
/// After a stop is requested, callers keep sending for some seconds until the platform has noticed
/// it. A request that is admitted and then aborted has wasted its caller's time and may have run.
/// A request that is refused before it is forwarded can go to another router immediately.

#include <algorithm>
#include <optional>

#include "common/time.hpp"

namespace planktray::router {

/// Allowance for signal handling and for the time until a sent request has been read: the router
/// knows only to this precision whether a caller sent a request before the platform could notice
/// the stop. Must be shorter than any time for which a stopping router accepts connections.
constexpr common::Duration kStopReactionTime = std::chrono::milliseconds(150);

/// Time to write the answers to the last requests before the process ends.
constexpr common::Duration kLastAnswerTime = std::chrono::milliseconds(100);

struct DrainPlan {
  /// New connections are accepted until then, as the platform may not have noticed the stop.
  common::TimePoint accept_until{};
  /// Requests in flight are answered then, as their outcome is known. The process ends when the
  /// answers are written, at most kLastAnswerTime later.
  common::TimePoint end_at{};

  /// @param accept how long callers may be unaware of the stop. @param drain time until the last
  /// requests are answered.
  static DrainPlan from(common::TimePoint now, common::Duration accept, common::Duration drain) {
    return {now + std::min(accept, drain), now + drain};
  }

  /// Whether a request that arrives now is admitted: either it times out before `end_at`,
  /// or its caller could not have been aware of the stop. The time to write a large answer is not
  /// included.
  /// @param longest the maximum time that the request may be in flight; nullopt if it is unbounded.
  bool admits(common::TimePoint now, std::optional<common::Duration> longest) const {
    const bool is_early = now + kStopReactionTime < accept_until;
    return is_early || (longest.has_value() && now + *longest <= end_at);
  }
};

}  // namespace planktray::router
