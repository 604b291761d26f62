#pragma once
/// What a router core keeps of a request until its caller is answered, and of each attempt to have
/// a back end run it.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "router/core/caller_request.hpp"

namespace planktray::router {

using common::BackendId;
using common::Duration;
using common::TimePoint;

/// Queue in which a request waits: for one back end, or for any target of a service (back end 0).
using QueueKey = std::pair<common::ServiceId, BackendId>;

/// Whether the limit and the queue of an owner have capacity for a request; decided once for each
/// owner.
struct Admission {
  BackendId owner;
  bool admitted = true;
  bool is_crowded = false;  ///< not admitted because of the queue
};

struct Request {
  CallerRequest caller;
  common::ServiceId service;
  common::ShardNumber shard;
  bool keyed = false;
  bool repeatable = false;
  bool may_have_run = false;  ///< an attempt ended without proof that it did not run
  bool is_queued = false;
  QueueKey queue;
  TimePoint deadline;
  AttemptId attempt = 0;    ///< 0: waiting
  std::uint32_t sends = 0;  ///< attempts so far, including those that were never sent
  std::set<BackendId> refused_by;
  /// Peers that did not pass the request on, and number of times that it was relayed.
  std::set<std::string> tried_peers;
  std::uint32_t relays = 0;
  std::uint32_t failed_connections = 0;
  Duration backoff{0};
  // Requests on routes only.
  bool routed = false;
  std::string route;
  Duration timeout{0};
  std::optional<Duration> expected;  ///< time until the answer, at the last estimate
  std::uint32_t key = 0;
  std::uint32_t attempts = 0;  ///< number of targets that the request was sent to
  std::uint32_t maximum_attempts = 1;
  bool next_send_is_repeat = false;  ///< an attempt has arrived: the next counts as a repeat
  Duration max_wait{0};              ///< how long the request may wait for a target
  TimePoint wait_until;              ///< time at which the request is refused unless it can be sent
  TimePoint not_before;              ///< time until which an owner that refused is not tried again
  std::optional<Admission> admission;
};

struct Attempt {
  RequestHandle handle;
  BackendId backend;
  TimePoint sent;
  std::string peer{};  ///< the router that relays it; empty: none
};

/// The back end for a request, and the peer that has to relay it, if any.
struct TargetChoice {
  BackendId backend;
  std::string peer{};
};

}  // namespace planktray::router
