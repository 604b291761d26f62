#pragma once
/// A time for which something is avoided after a failure; doubles with each further one.

#include <algorithm>

#include "common/time.hpp"

namespace planktray::routing {

class FailureBlock {
 public:
  /// Records a failure. The block that it causes lasts twice as long as the one before, within
  /// these bounds.
  void extend(common::TimePoint now, common::Duration minimum, common::Duration maximum) {
    length_ = std::clamp(length_ * 2, minimum, maximum);
    until_ = std::max(until_, now + length_);
  }
  bool is_active(common::TimePoint now) const { return now < until_; }
  common::TimePoint until() const { return until_; }
  /// The next failure counts as the first one again. The present block stays.
  void reset_length() { length_ = common::Duration(0); }

 private:
  common::TimePoint until_;
  common::Duration length_{0};
};

}  // namespace planktray::routing
