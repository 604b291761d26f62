#pragma once
/// Distinguishes a suspension of the machine from a slow process: the boot clock includes the time
/// of a suspension, the steady clock does not.
///
/// A state machine without side effects; its input is readings of both clocks.

#include <optional>

#include "common/time.hpp"

namespace planktray::transport {

/// One reading of both clocks, taken together.
struct ClockReading {
  common::Duration boot{0};    ///< CLOCK_BOOTTIME
  common::Duration steady{0};  ///< CLOCK_MONOTONIC
};

class SuspensionWatch {
 public:
  /// Smaller differences may come from the time between reading the two clocks.
  static constexpr common::Duration kShortest = std::chrono::milliseconds(50);

  /// @return how long the machine was suspended since the previous reading; nothing if it was not.
  std::optional<common::Duration> observe(const ClockReading& reading) {
    const common::Duration ahead = reading.boot - reading.steady;
    const common::Duration before = ahead_.value_or(ahead);
    ahead_ = ahead;
    return ahead - before >= kShortest ? std::optional(ahead - before) : std::nullopt;
  }

 private:
  std::optional<common::Duration> ahead_;  ///< how far the boot clock is ahead of the steady clock
};

}  // namespace planktray::transport
