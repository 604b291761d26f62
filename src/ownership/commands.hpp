#pragma once
/// Commands of the replicated log, and the answers they give.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/codec.hpp"
#include "common/ids.hpp"

namespace planktray::ownership {

using common::BackendId;
using common::Epoch;
using common::LogIndex;
using common::ServiceId;
using common::ShardNumber;

enum class DeclarationKind : std::uint8_t { kTemplate = 0, kTenant = 1 };

/// An operator's change of a template or tenant. An empty document withdraws it.
struct ChangeDeclaration {
  std::uint8_t kind = 0;  ///< a DeclarationKind
  std::string name;
  common::Revision replaces;
  common::ChangeId change_id;
  std::string document;  ///< JSON
  MSGPACK_DEFINE_ARRAY(kind, name, replaces, change_id, document)
};

/// A back end's incarnation was seen; the entry's index becomes its BackendId.
struct RegisterBackend {
  common::MachineName machine;
  std::string address;
  common::ZoneName zone;
  common::PoolName pool;
  common::Incarnation incarnation;
  MSGPACK_DEFINE_ARRAY(machine, address, zone, pool, incarnation)
};

/// An operator drains a machine, or takes that back. Holds for later incarnations too.
struct DrainMachine {
  common::MachineName machine;
  bool draining = true;
  MSGPACK_DEFINE_ARRAY(machine, draining)
};

/// A back end is leaving by its own word or by the platform list.
struct MarkLeaving {
  BackendId backend;
  bool leaving = true;
  MSGPACK_DEFINE_ARRAY(backend, leaving)
};

struct TargetSet {
  ServiceId service;
  std::vector<BackendId> targets;
  MSGPACK_DEFINE_ARRAY(service, targets)
};

/// Gives a shard to an owner (0: to nobody). Ignored unless the shard still has `expected_epoch`.
struct ShardAssignment {
  ServiceId service;
  ShardNumber shard;
  Epoch expected_epoch;
  BackendId owner;
  MSGPACK_DEFINE_ARRAY(service, shard, expected_epoch, owner)
};

/// Announces a planned move; the owner is asked to release the shard.
struct MoveIntent {
  ServiceId service;
  ShardNumber shard;
  Epoch expected_epoch;
  BackendId to;  ///< 0: only release
  MSGPACK_DEFINE_ARRAY(service, shard, expected_epoch, to)
};

/// The leader's decisions of one moment, taken as a whole.
struct ApplyPlan {
  std::vector<BackendId> lost;  ///< sessions that have ended for certain
  std::vector<TargetSet> targets;
  std::vector<ShardAssignment> assignments;
  std::vector<MoveIntent> moves;
  MSGPACK_DEFINE_ARRAY(lost, targets, assignments, moves)

  bool empty() const {
    return lost.empty() && targets.empty() && assignments.empty() && moves.empty();
  }
};

using Command = common::EncodedVariant<ChangeDeclaration, RegisterBackend, DrainMachine,
                                       MarkLeaving, ApplyPlan>;

enum class ChangeStatus : std::uint8_t { kAccepted = 0, kConflict = 1, kInvalid = 2 };

/// What an operator is told about a change; a resend of the same change id gets the same answer.
struct ChangeAnswer {
  std::uint8_t status = 0;    ///< a ChangeStatus
  common::Revision revision;  ///< accepted: the new revision; conflict: the winner's
  LogIndex index;             ///< log index of the accepted change
  common::ChangeId winner;    ///< conflict: the change that came first
  std::string message;
  MSGPACK_DEFINE_ARRAY(status, revision, index, winner, message)

  ChangeStatus change_status() const { return static_cast<ChangeStatus>(status); }
};

}  // namespace planktray::ownership
