#pragma once
/// The report that a follower sends to the leader about the back ends whose heartbeats it receives.

#include <cstdint>
#include <string>
#include <vector>

#include "common/codec.hpp"
#include "common/ids.hpp"

namespace planktray::membership {

/// The newest heartbeat of a back end, without its unchanged registration.
struct BackendHeartbeat {
  common::Incarnation incarnation;
  std::uint64_t sequence = 0;  ///< sequence number of the heartbeat
  std::uint32_t cold_ms = 0;   ///< remaining time until the back end is warm, as reported
  MSGPACK_DEFINE_ARRAY(incarnation, sequence, cold_ms)
};

/// A registration, change or deregistration of a back end that the replicated state does not
/// contain yet.
struct BackendUpdate {
  common::Incarnation incarnation;
  std::string address;  ///< "IP:port"
  std::string service;
  common::ZoneName zone;
  std::uint32_t slots = 0;
  std::uint64_t sequence = 0;  ///< sequence number of the heartbeat
  std::uint32_t cold_ms = 0;   ///< remaining time until the back end is warm, as reported
  bool draining = false;
  bool departed = false;  ///< the back end deregistered; only `incarnation` is set besides
  MSGPACK_DEFINE_ARRAY(incarnation, address, service, zone, slots, sequence, cold_ms, draining,
                       departed)
};

/// All heartbeats and updates since the follower's previous report.
struct HeartbeatReport {
  common::CellName cell;
  std::vector<BackendHeartbeat> heartbeats;  ///< without changes; already answered by the follower
  std::vector<BackendUpdate> updates{};      ///< answered by the follower once committed
  common::ReplicaId sender{};
  common::ZoneName sender_zone{};
  MSGPACK_DEFINE_ARRAY(cell, heartbeats, updates, sender, sender_zone)
};

}  // namespace planktray::membership
