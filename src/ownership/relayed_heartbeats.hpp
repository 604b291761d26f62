#pragma once
/// Messages between the leader, which decides on heartbeats of holders, and the followers that
/// receive them. A holder is a back end that learns from the answer which keys it holds.
///
/// An answer names its heartbeat by incarnation and sequence number. A holder numbers all its
/// heartbeats, whichever controller it sends them to, so an answer can never be taken for that to
/// another heartbeat, after restarts of controllers either.

#include <cstdint>
#include <vector>

#include "common/codec.hpp"
#include "common/ids.hpp"
#include "membership/heartbeat_report.hpp"
#include "ownership/holdings_report.hpp"

namespace planktray::ownership {

struct HolderHeartbeat {
  membership::BackendUpdate update;
  std::vector<HeldKeys> held;
  std::vector<ReleasedKeys> released;
  std::uint32_t waited_ms = 0;  ///< at the follower
  MSGPACK_DEFINE_ARRAY(update, held, released, waited_ms)
};

/// Heartbeats that a follower has received since its last such message.
struct HolderHeartbeats {
  common::CellName cell;
  common::Term term;  ///< of the leader that they are sent to
  common::ReplicaId sender;
  common::ZoneName sender_zone;
  std::vector<HolderHeartbeat> heartbeats;
  MSGPACK_DEFINE_ARRAY(cell, term, sender, sender_zone, heartbeats)
};

enum class HeartbeatOutcome : std::uint8_t {
  kGranted,   ///< the answer lists all keys that the holder holds
  kAccepted,  ///< the answer says nothing of keys
  kFailed,    ///< the holder should send another heartbeat
};

struct RelayedAnswer {
  common::Incarnation incarnation;
  std::uint64_t sequence = 0;
  std::uint8_t outcome = 0;  ///< a HeartbeatOutcome
  std::vector<GrantedKeys> ranges;
  std::uint32_t hold_ms = 0;  ///< counts from the sending of the heartbeat
  MSGPACK_DEFINE_ARRAY(incarnation, sequence, outcome, ranges, hold_ms)
};

/// The leader's answers to heartbeats that one follower has relayed.
struct RelayedAnswers {
  common::CellName cell;
  common::Term term;
  std::vector<RelayedAnswer> answers;
  MSGPACK_DEFINE_ARRAY(cell, term, answers)
};

}  // namespace planktray::ownership
