#pragma once
/// Commands of the replicated log and the results returned to operators.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/codec.hpp"
#include "common/ids.hpp"
#include "config/route_configuration.hpp"
#include "ownership/key_ranges.hpp"

namespace planktray::ownership {

using common::BackendId;
using common::Epoch;
using common::LogIndex;
using common::ServiceId;
using common::ShardNumber;

enum class DeclarationKind : std::uint8_t { kTemplate = 0, kTenant = 1 };

/// An operator's change to a template or tenant. An empty document withdraws it.
struct ChangeDeclaration {
  std::uint8_t kind = 0;  ///< a DeclarationKind
  std::string name;
  common::Revision replaces;
  common::ChangeId change_id;
  std::string document;  ///< JSON
  MSGPACK_DEFINE_ARRAY(kind, name, replaces, change_id, document)
};

/// How ownership is granted to a back end.
enum class OwnershipContract : std::uint8_t {
  kHolderClockLease = 0,  ///< lease sessions that expire on the holder's clock
  kFencedGrant = 1,       ///< fenced grants whose duration counts from arrival at the holder
  kReportedGrant = 2,     ///< fenced grants carried by the responses to heartbeats
};

/// Registers an incarnation of a back end. The index of the log entry becomes its BackendId.
struct RegisterBackend {
  common::MachineName machine;
  std::string address;
  common::ZoneName zone;
  common::PoolName pool;
  common::Incarnation incarnation;
  std::uint8_t contract = 0;  ///< an OwnershipContract
  std::uint32_t slots = 0;    ///< concurrent requests; 0: the service's default
  bool cold = false;          ///< not warmed up: slow, with capacity for few requests per second
  bool leaving = false;       ///< already draining
  MSGPACK_DEFINE_ARRAY(machine, address, zone, pool, incarnation, contract, slots, cold, leaving)
};

/// Starts or cancels an operator's drain of a machine. Applies to later incarnations too.
struct DrainMachine {
  common::MachineName machine;
  bool draining = true;
  MSGPACK_DEFINE_ARRAY(machine, draining)
};

/// Marks a back end as leaving, as reported by itself or by the platform's machine list.
struct MarkLeaving {
  BackendId backend;
  bool leaving = true;
  /// The back end has deregistered: its incarnation is never registered again.
  bool departed = false;
  /// The back end's process has ended: another incarnation has answered at its address.
  bool ended = false;
  /// Incarnation that deregisters without being registered (`backend` is 0). Its heartbeats may
  /// still arrive later.
  common::Incarnation incarnation{};
  MSGPACK_DEFINE_ARRAY(backend, leaving, departed, ended, incarnation)
};

/// Sets the targets of a service.
struct TargetSet {
  ServiceId service;
  std::vector<BackendId> targets;
  MSGPACK_DEFINE_ARRAY(service, targets)
};

/// Assigns a shard to an owner (0: none). Ignored unless the shard still has `expected_epoch`.
struct ShardAssignment {
  ServiceId service;
  ShardNumber shard;
  Epoch expected_epoch;
  BackendId owner;
  MSGPACK_DEFINE_ARRAY(service, shard, expected_epoch, owner)
};

/// Starts a planned move: the owner is asked to release the shard.
struct MoveIntent {
  ServiceId service;
  ShardNumber shard;
  Epoch expected_epoch;
  BackendId to;  ///< the next owner; 0: release only
  MSGPACK_DEFINE_ARRAY(service, shard, expected_epoch, to)
};

/// Decisions of one planning pass of the leader, applied atomically.
struct ApplyPlan {
  std::vector<BackendId> lost;  ///< back ends whose lease has certainly expired
  std::vector<TargetSet> targets;
  std::vector<ShardAssignment> assignments;
  std::vector<MoveIntent> moves;
  MSGPACK_DEFINE_ARRAY(lost, targets, assignments, moves)

  bool empty() const {
    return lost.empty() && targets.empty() && assignments.empty() && moves.empty();
  }
};

/// An operator's change to the route configuration.
struct ChangeRoutes {
  config::RouteChange change;
  MSGPACK_DEFINE_ARRAY(change)
};

/// Starts a move of keys: routers stop sending requests for them, and the owner is asked to release
/// them. Ignored unless one range with the fence `expected_fence` contains all the keys.
struct RangeMove {
  ServiceId service;
  KeyRange keys;
  Epoch expected_fence;
  BackendId to;  ///< the next owner; 0: not chosen yet
  MSGPACK_DEFINE_ARRAY(service, keys, expected_fence, to)
};

/// Assigns keys to an owner; the index of the log entry becomes their fence. Ignored under the same
/// condition as RangeMove.
struct RangeAssignment {
  ServiceId service;
  KeyRange keys;
  Epoch expected_fence;
  BackendId owner;
  std::string handover;
  MSGPACK_DEFINE_ARRAY(service, keys, expected_fence, owner, handover)
};

/// Joins adjacent ranges of one owner into one range under a new fence. Ignored unless `keys`
/// covers whole ranges of that owner, none of which is moving.
struct RangeJoin {
  ServiceId service;
  KeyRange keys;
  BackendId owner;
  MSGPACK_DEFINE_ARRAY(service, keys, owner)
};

/// Decisions of one planning pass of the leader about back ends that hold fenced grants.
struct ApplyRangePlan {
  std::vector<BackendId> removed;  ///< ended or departed back ends that own no keys
  std::vector<RangeMove> moves;
  std::vector<RangeAssignment> assignments;
  std::vector<RangeJoin> joins;
  MSGPACK_DEFINE_ARRAY(removed, moves, assignments, joins)

  bool empty() const {
    return removed.empty() && moves.empty() && assignments.empty() && joins.empty();
  }
};

/// What a new leader needs to know about the grants of its predecessor.
struct GrantTerms {
  /// Back ends that may still accept an unanswered order, sorted by id.
  std::vector<BackendId> in_doubt;
  std::uint32_t hold_ms = 0;  ///< the longest hold time of any grant; 0: the default
  bool operator==(const GrantTerms&) const = default;
  MSGPACK_DEFINE_ARRAY(in_doubt, hold_ms)

  std::chrono::milliseconds hold() const { return std::chrono::milliseconds(hold_ms); }
};

/// Commits grant terms before the leader acts on them.
struct SetGrantTerms {
  GrantTerms terms;
  MSGPACK_DEFINE_ARRAY(terms)
};

/// Starts or ends an operator's evacuation of a zone, during which its back ends receive no
/// requests. When the evacuation ends, every back end of the zone counts as cold until it reports
/// otherwise.
struct EvacuateZone {
  common::ZoneName zone;
  bool evacuated = true;
  MSGPACK_DEFINE_ARRAY(zone, evacuated)
};

/// Changes of the cold state that back ends report in heartbeats.
struct SetWarmth {
  std::vector<BackendId> cooled;
  std::vector<BackendId> warmed;
  MSGPACK_DEFINE_ARRAY(cooled, warmed)

  bool empty() const { return cooled.empty() && warmed.empty(); }
};

using Command =
    common::EncodedVariant<ChangeDeclaration, RegisterBackend, DrainMachine, MarkLeaving, ApplyPlan,
                           ChangeRoutes, ApplyRangePlan, SetGrantTerms, EvacuateZone, SetWarmth>;

enum class ChangeStatus : std::uint8_t { kAccepted = 0, kConflict = 1, kInvalid = 2 };

constexpr std::string_view to_string(ChangeStatus status) {
  switch (status) {
    case ChangeStatus::kAccepted:
      return "accepted";
    case ChangeStatus::kConflict:
      return "conflict";
    case ChangeStatus::kInvalid:
      return "invalid";
  }
  return "invalid";
}

/// Result of a change, returned to the operator. A resend of the same change gets the same result.
struct ChangeAnswer {
  std::uint8_t status = 0;    ///< a ChangeStatus
  common::Revision revision;  ///< accepted: the new revision or version; conflict: the current one
  LogIndex index;             ///< log index of the accepted change
  common::ChangeId winner;    ///< conflict: the change that was committed first
  std::string message;
  MSGPACK_DEFINE_ARRAY(status, revision, index, winner, message)

  ChangeStatus change_status() const { return static_cast<ChangeStatus>(status); }
};

}  // namespace planktray::ownership
