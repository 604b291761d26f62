#pragma once
/// Grants that are told in the answers to heartbeats: what a back end says it holds, and what it is
/// told to hold until its next heartbeat.

#include <string>
#include <vector>

#include "common/time.hpp"
#include "ownership/key_ranges.hpp"

namespace planktray::ownership {

/// Keys that a back end holds, or still works on.
struct HeldKeys {
  KeyRange keys;
  Epoch fence;
};

/// Keys that it has released.
struct ReleasedKeys {
  KeyRange keys;
  std::string handover;
};

/// Part of a heartbeat.
struct HoldingsReport {
  std::vector<HeldKeys> held;
  std::vector<ReleasedKeys> released;  ///< since its last heartbeat that was acknowledged
};

struct GrantedKeys {
  KeyRange keys;
  Epoch fence;
  std::string handover;  ///< of the holder before; empty: none
};

/// Part of the answer to a heartbeat: all that the back end is to hold. It releases the rest.
struct GrantedHoldings {
  std::vector<GrantedKeys> ranges;
  common::Duration hold_time{0};  ///< from when the heartbeat was sent
};

}  // namespace planktray::ownership
