#pragma once
/// What a router that stops still takes. A plain decision: times in, yes or no out.
///
/// Callers go on sending for some seconds after a stop was asked for, until the platform has
/// noticed. A request that is taken and then cut has lost its caller's time and may have run; one
/// that is refused before it is sent on can go to another router at once.

#include <algorithm>
#include <optional>

#include "common/time.hpp"

namespace planktray::router {

/// From the moment a process is told to stop until its loop acts on it, and from a caller's sending
/// until the request is read: some ten turns of a full loop. Who sent a request before the platform
/// could notice the stop is known only by this much.
constexpr common::Duration kDrainReaction = std::chrono::milliseconds(150);

struct DrainPlan {
  /// New connections are taken until then: the platform may not have noticed the stop.
  common::TimePoint accept_until{};
  /// The process ends then, with whatever is under way.
  common::TimePoint end_at{};

  /// @param accept how long callers may not have noticed. @param drain time until the process ends.
  static DrainPlan from(common::TimePoint now, common::Duration accept, common::Duration drain) {
    return {now + std::min(accept, drain), now + drain};
  }

  /// Whether a request that comes now is taken: it ends within the time that is left whatever its
  /// back end does, or its caller could not have known of the stop.
  /// @param longest the longest it may be under way; nothing: it has no bound.
  bool takes(common::TimePoint now, std::optional<common::Duration> longest) const {
    const bool is_early = now + kDrainReaction < accept_until;
    return is_early || (longest.has_value() && now + *longest <= end_at);
  }
};

}  // namespace planktray::router
