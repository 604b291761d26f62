#pragma once
/// Grants carried by heartbeats: the keys that a back end reports as held, and the keys that the
/// response grants to it until its next heartbeat.

#include <string>
#include <vector>

#include "common/codec.hpp"
#include "common/time.hpp"
#include "ownership/key_ranges.hpp"

namespace planktray::ownership {

/// Keys that a back end holds, or for which it still runs requests.
struct HeldKeys {
  KeyRange keys;
  Epoch fence;
  MSGPACK_DEFINE_ARRAY(keys, fence)
};

/// Keys that a back end has released.
struct ReleasedKeys {
  KeyRange keys;
  std::string handover;
  MSGPACK_DEFINE_ARRAY(keys, handover)
};

/// Holdings that a back end reports in a heartbeat.
struct HoldingsReport {
  std::vector<HeldKeys> held;
  std::vector<ReleasedKeys> released;  ///< since the last acknowledged heartbeat
};

/// Keys granted to a back end.
struct GrantedKeys {
  KeyRange keys;
  Epoch fence;
  std::string handover;  ///< handover data of the previous holder; empty: none
  MSGPACK_DEFINE_ARRAY(keys, fence, handover)
};

/// All keys granted in the response to a heartbeat. The back end releases all others.
struct GrantedHoldings {
  std::vector<GrantedKeys> ranges;
  common::Duration hold_time{0};  ///< counts from the sending of the heartbeat
};

}  // namespace planktray::ownership
