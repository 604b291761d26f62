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

/// Allowance for the handling of the signal and for a request's way until it is read: who sent one
/// before the platform could notice the stop is known only by this much. Below any time for which
/// connections are taken at a stop; chosen, not measured.
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

  /// Whether a request that comes now is taken: its time is up before the process ends, or its
  /// caller could not have known of the stop. The time to write a large answer is not included.
  /// @param longest the longest it may be under way; nothing: it has no bound.
  bool takes(common::TimePoint now, std::optional<common::Duration> longest) const {
    const bool is_early = now + kDrainReaction < accept_until;
    return is_early || (longest.has_value() && now + *longest <= end_at);
  }
};

}  // namespace planktray::router
