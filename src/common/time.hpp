#pragma once
/// Time as the decision code sees it: a monotonic clock that runs on while the process is stopped.
/// Decision code never reads a clock; the time comes in with every input.

#include <chrono>
#include <cstdint>

namespace planktray::common {

using Duration = std::chrono::microseconds;

/// Tag of the monotonic clock (CLOCK_BOOTTIME in processes, virtual time in the simulator).
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
};

using TimePoint = std::chrono::time_point<MonotonicClock, Duration>;

/// Microseconds of a time point since the clock's own start.
inline std::int64_t to_microseconds(TimePoint time) { return time.time_since_epoch().count(); }
/// Time point from microseconds since the clock's own start.
inline TimePoint from_microseconds(std::int64_t value) { return TimePoint(Duration(value)); }

}  // namespace planktray::common
