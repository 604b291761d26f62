#pragma once
/// What a router expects of one target at this moment, from its own answers and from what other
/// routers heard there. A hint: requests that rely on it may still find the target full, or idle.

#include <cstdint>

#include "common/time.hpp"

namespace planktray::routing {

using common::Duration;

/// Expected load of a target, as TargetBook::room() works it out. Only what was heard within
/// TargetBookOptions::report_lifetime counts; of an older word nothing is left, not even a part.
struct Room {
  double ahead = 0;         ///< requests at work and waiting there, this router's own included
  std::uint32_t slots = 1;  ///< requests that it runs at once
  /// Its queue is as long as it was when it last turned requests away, or one more would be too
  /// many: a request sent now is likely to be turned away.
  bool is_full = false;
  /// Until an answer to a request sent now: its queue and its work.
  Duration expected{0};
  /// Until a slot is expected to be free; 0 while one is.
  Duration slot_expected_in{0};
  /// Until its queue is expected to take one more; 0 while it does.
  Duration room_expected_in{0};
};

}  // namespace planktray::routing
