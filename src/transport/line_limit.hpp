#pragma once
/// Bounds how many log lines of one kind a process writes; what is left out is counted and said.

#include <cstdint>

#include "common/time.hpp"

namespace planktray::transport {

struct LineLimitOptions {
  /// A line costs about 20 us of processor time: 50 a second are a thousandth of a core.
  double lines_per_second = 50;
  /// Lines at once, so that a short disturbance is logged whole.
  double burst = 200;
};

class LineLimit {
 public:
  explicit LineLimit(LineLimitOptions options = {}) : options_(options), credit_(options.burst) {}

  /// @return true where one more line may be written. Says first how many were left out.
  bool allows(common::TimePoint now);

 private:
  LineLimitOptions options_;
  double credit_;
  common::TimePoint filled_at_;
  std::uint64_t left_out_ = 0;
};

}  // namespace planktray::transport
