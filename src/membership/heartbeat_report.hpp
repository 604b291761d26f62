#pragma once
/// What a follower tells the leader of back ends whose heartbeats it has answered itself.

#include <cstdint>
#include <vector>

#include "common/codec.hpp"
#include "common/ids.hpp"

namespace planktray::membership {

struct HeardBackend {
  common::Incarnation incarnation;
  std::uint64_t sequence = 0;  ///< of its newest heartbeat
  std::uint32_t cold_ms = 0;   ///< how much longer it is cold, by that heartbeat
  MSGPACK_DEFINE_ARRAY(incarnation, sequence, cold_ms)
};

struct HeartbeatReport {
  common::CellName cell;
  std::vector<HeardBackend> heard;
  MSGPACK_DEFINE_ARRAY(cell, heard)
};

}  // namespace planktray::membership
