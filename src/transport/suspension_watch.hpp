#pragma once
/// Tells a machine that was suspended from one that was merely slow: the steady clock does not
/// count the time of a suspension, the boot clock does.
///
/// A plain state machine: readings of both clocks in.

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
  /// Less than this is what passes between the two readings.
  static constexpr common::Duration kShortest = std::chrono::milliseconds(50);

  /// @return for how long the machine was suspended since the reading before; nothing where it was
  ///   not.
  std::optional<common::Duration> observe(const ClockReading& reading) {
    const common::Duration ahead = reading.boot - reading.steady;
    const common::Duration before = ahead_.value_or(ahead);
    ahead_ = ahead;
    return ahead - before >= kShortest ? std::optional(ahead - before) : std::nullopt;
  }

 private:
  std::optional<common::Duration> ahead_;  ///< of the boot clock before the steady one
};

}  // namespace planktray::transport
