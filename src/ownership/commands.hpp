#pragma once
/// Commands of the replicated log, and the answers they give.

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

/// An operator's change of a template or tenant. An empty document withdraws it.
struct ChangeDeclaration {
  std::uint8_t kind = 0;  ///< a DeclarationKind
  std::string name;
  common::Revision replaces;
  common::ChangeId change_id;
  std::string document;  ///< JSON
  MSGPACK_DEFINE_ARRAY(kind, name, replaces, change_id, document)
};

/// How a back end holds what it owns.
enum class OwnershipContract : std::uint8_t {
  kHolderClockLease = 0,  ///< lease sessions whose expiry is fixed in the holder's clock
  kFencedGrant = 1,       ///< fenced grants whose time runs from their arrival at the holder
  kReportedGrant = 2,     ///< fenced grants that are told in the answers to the holder's heartbeats
};

/// A back end's incarnation was seen; the entry's index becomes its BackendId.
struct RegisterBackend {
  common::MachineName machine;
  std::string address;
  common::ZoneName zone;
  common::PoolName pool;
  common::Incarnation incarnation;
  std::uint8_t contract = 0;  ///< an OwnershipContract
  std::uint32_t slots = 0;    ///< requests it runs at once; 0: as its service says
  bool cold = false;          ///< it is slow from its start, and bears few requests a second
  bool leaving = false;       ///< it is draining already
  MSGPACK_DEFINE_ARRAY(machine, address, zone, pool, incarnation, contract, slots, cold, leaving)
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
  /// It has said goodbye: its incarnation is never registered again.
  bool departed = false;
  /// Its process has ended: another incarnation has answered at its address.
  bool ended = false;
  /// Says goodbye without having been registered (`backend` is 0): its heartbeats may still come.
  common::Incarnation incarnation{};
  MSGPACK_DEFINE_ARRAY(backend, leaving, departed, ended, incarnation)
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

/// An operator's change of the route configuration.
struct ChangeRoutes {
  config::RouteChange change;
  MSGPACK_DEFINE_ARRAY(change)
};

/// Routers send nothing more for these keys, and their owner is to give them up. Ignored unless
/// the keys are part of one range under `expected_fence`.
struct RangeMove {
  ServiceId service;
  KeyRange keys;
  Epoch expected_fence;
  BackendId to;  ///< the owner intended next; 0: none yet
  MSGPACK_DEFINE_ARRAY(service, keys, expected_fence, to)
};

/// Gives keys to an owner; its index becomes their fence. Ignored as above.
struct RangeAssignment {
  ServiceId service;
  KeyRange keys;
  Epoch expected_fence;
  BackendId owner;
  std::string handover;
  MSGPACK_DEFINE_ARRAY(service, keys, expected_fence, owner, handover)
};

/// Makes one range of neighbours that one owner holds, under a new fence. Ignored unless they are
/// whole ranges of that owner and none is moving.
struct RangeJoin {
  ServiceId service;
  KeyRange keys;
  BackendId owner;
  MSGPACK_DEFINE_ARRAY(service, keys, owner)
};

/// The leader's decisions of one moment about back ends that hold fenced grants.
struct ApplyRangePlan {
  std::vector<BackendId> removed;  ///< gone, and owning nothing any more
  std::vector<RangeMove> moves;
  std::vector<RangeAssignment> assignments;
  std::vector<RangeJoin> joins;
  MSGPACK_DEFINE_ARRAY(removed, moves, assignments, joins)

  bool empty() const {
    return removed.empty() && moves.empty() && assignments.empty() && joins.empty();
  }
};

/// What a new leader must know of the grants of the one before.
struct GrantTerms {
  /// Back ends that may take an order late, in the order of their ids.
  std::vector<BackendId> in_doubt;
  std::uint32_t hold_ms = 0;  ///< the longest that a grant was given for; 0: the default
  bool operator==(const GrantTerms&) const = default;
  MSGPACK_DEFINE_ARRAY(in_doubt, hold_ms)

  std::chrono::milliseconds hold() const { return std::chrono::milliseconds(hold_ms); }
};

/// Commits terms before the leader acts on them.
struct SetGrantTerms {
  GrantTerms terms;
  MSGPACK_DEFINE_ARRAY(terms)
};

/// An operator keeps all requests off the back ends of a zone, or takes that back. Where it is
/// taken back, every back end of the zone counts as cold until it has said otherwise.
struct EvacuateZone {
  common::ZoneName zone;
  bool evacuated = true;
  MSGPACK_DEFINE_ARRAY(zone, evacuated)
};

/// What heartbeats tell of back ends that are cold: slow, and bearing few requests a second.
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

/// What an operator is told about a change; a resend of the same change gets the same answer.
struct ChangeAnswer {
  std::uint8_t status = 0;    ///< a ChangeStatus
  common::Revision revision;  ///< accepted: the new revision or version; conflict: the winner's
  LogIndex index;             ///< log index of the accepted change
  common::ChangeId winner;    ///< conflict: the change that came first
  std::string message;
  MSGPACK_DEFINE_ARRAY(status, revision, index, winner, message)

  ChangeStatus change_status() const { return static_cast<ChangeStatus>(status); }
};

}  // namespace planktray::ownership
