#pragma once
/// Messages of the lease session between the leading controller and a back end.
/// They may arrive late, twice or out of order; the rules that the holder applies make this safe.

#include <cstdint>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "ownership/cell_state.hpp"

namespace planktray::ownership {

/// `PUT /planktray/v1/lease`.
struct LeaseRequest {
  common::CellName cell;
  common::Term term;
  common::Incarnation incarnation;    ///< empty in the first request to a machine
  std::int64_t expires_clock_us = 0;  ///< on the holder's clock; 0: no lease yet
  LogIndex grants_index;
  std::string grants_digest;
  bool has_grants = false;  ///< false: `grants` is omitted, as the holder should have this digest
  std::vector<Grant> grants;
};

enum class LeaseStatus : std::uint8_t {
  kAccepted,
  kStaleTerm,
  kWrongIncarnation,
  kGrantsNeeded,
};

enum class BackendState : std::uint8_t { kCold, kReady, kDraining };

/// Requests at a back end.
struct BackendLoad {
  std::uint32_t running = 0;
  std::uint32_t slots = 0;
  std::uint32_t queued = 0;
};

/// Reply to a LeaseRequest.
struct LeaseReply {
  LeaseStatus status = LeaseStatus::kAccepted;
  common::Incarnation incarnation;
  std::int64_t clock_us = 0;  ///< the holder's clock when the reply was sent
  std::string grants_digest;
  BackendState state = BackendState::kReady;
  BackendLoad load;
};

/// A shard and the epoch under which it is held.
struct HeldShard {
  common::ServiceKey service;
  ShardNumber shard;
  Epoch epoch;
  auto operator<=>(const HeldShard&) const = default;
};

/// `PUT /planktray/v1/release`: accept no new requests for these shards, and reply when the running
/// requests have ended.
struct ReleaseRequest {
  common::CellName cell;
  common::Term term;
  common::Incarnation incarnation;
  std::vector<HeldShard> shards;
  std::uint32_t wait_ms = 0;
};

/// Reply to a ReleaseRequest.
struct ReleaseReply {
  bool accepted = false;  ///< false: stale term or wrong incarnation
  std::vector<HeldShard> released;
  std::vector<HeldShard> running;  ///< shards with requests that have not ended
};

}  // namespace planktray::ownership
