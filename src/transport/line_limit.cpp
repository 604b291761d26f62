#include "transport/line_limit.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "transport/logging.hpp"

namespace planktray::transport {

bool LineLimit::allows(common::TimePoint now) {
  const double seconds = std::chrono::duration<double>(now - filled_at_).count();
  filled_at_ = now;
  credit_ = std::min(options_.burst, credit_ + seconds * options_.lines_per_second);
  if (credit_ < 1.0) {
    ++left_out_;
    return false;
  }
  credit_ -= 1.0;
  if (left_out_ > 0) {
    log_event("lines_left_out", {{"count", std::to_string(std::exchange(left_out_, 0))}});
  }
  return true;
}

}  // namespace planktray::transport
