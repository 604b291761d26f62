#pragma once
/// Limits the rate of log lines of one kind (token bucket). Suppressed lines are counted and the
/// count is logged.

#include <cstdint>

#include "common/time.hpp"

namespace planktray::transport {

struct LineLimitOptions {
  /// A line costs about 20 us of processor time, so 50 lines per second use 0.1 % of a core.
  double lines_per_second = 50;
  /// Maximum burst of lines, so that a short disturbance is logged completely.
  double burst = 200;
};

class LineLimit {
 public:
  explicit LineLimit(LineLimitOptions options = {}) : options_(options), credit_(options.burst) {}

  /// @return true if one more line may be written. Logs the number of suppressed lines first.
  bool allows(common::TimePoint now);

 private:
  LineLimitOptions options_;
  double credit_;
  common::TimePoint filled_at_;
  std::uint64_t left_out_ = 0;
};

}  // namespace planktray::transport
