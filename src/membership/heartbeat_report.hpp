#pragma once
/// What a follower tells the leader of back ends whose heartbeats it takes.

#include <cstdint>
#include <string>
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

/// A heartbeat that says something the replicated state does not have yet, or a goodbye.
struct ForwardedHeartbeat {
  common::Incarnation incarnation;
  std::string address;  ///< "IP:port"
  std::string service;
  common::ZoneName zone;
  std::uint32_t slots = 0;
  bool draining = false;
  std::uint64_t sequence = 0;
  std::uint32_t cold_ms = 0;
  bool departs = false;  ///< a goodbye: only the incarnation counts
  MSGPACK_DEFINE_ARRAY(incarnation, address, service, zone, slots, draining, sequence, cold_ms,
                       departs)
};

struct HeartbeatReport {
  common::CellName cell;
  std::vector<HeardBackend> heard;       ///< answered by the follower itself
  std::vector<ForwardedHeartbeat> news;  ///< the follower waits for what they say
  MSGPACK_DEFINE_ARRAY(cell, heard, news)
};

}  // namespace planktray::membership
