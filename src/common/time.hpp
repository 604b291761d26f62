#pragma once
/// Time types of the decision code, based on a monotonic clock that also runs while the process is
/// stopped. Decision code never reads a clock; every input carries the time.

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

/// Microseconds from the clock's epoch to a time point.
inline std::int64_t to_microseconds(TimePoint time) { return time.time_since_epoch().count(); }
/// Time point at the given number of microseconds after the clock's epoch.
inline TimePoint from_microseconds(std::int64_t value) { return TimePoint(Duration(value)); }

}  // namespace planktray::common
