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

/// What a back end has said of itself that is not in the replicated state yet.
struct BackendNews {
  common::Incarnation incarnation;
  std::string address;  ///< "IP:port"
  std::string service;
  common::ZoneName zone;
  std::uint32_t slots = 0;
  std::uint64_t sequence = 0;  ///< of the heartbeat that said so
  std::uint32_t cold_ms = 0;   ///< how much longer it is cold, by that heartbeat
  bool draining = false;
  bool departed = false;  ///< it has said goodbye; of the others only `incarnation` is set
  MSGPACK_DEFINE_ARRAY(incarnation, address, service, zone, slots, sequence, cold_ms, draining,
                       departed)
};

struct HeartbeatReport {
  common::CellName cell;
  std::vector<HeardBackend> heard;  ///< answered already: they said nothing new
  std::vector<BackendNews> news{};  ///< the follower answers once they are committed
  MSGPACK_DEFINE_ARRAY(cell, heard, news)
};

}  // namespace planktray::membership
