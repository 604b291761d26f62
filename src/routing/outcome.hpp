#pragma once
/// Outcomes of a request, and of one attempt to send it to a back end.

#include <cstdint>
#include <string_view>

namespace planktray::routing {

/// Outcome that is reported to the caller.
enum class Outcome : std::uint8_t {
  kAnswered,  ///< complete answer of the back end to this request
  kNotRun,    ///< proven not to have run
  kUnknown,   ///< it may have run
};

/// Why a request was not run.
enum class NotRunReason : std::uint8_t {
  kNone,
  kUnknownService,  ///< no such tenant or service
  kKeyMissing,      ///< the service is sharded by key and the request has none
  kNotServing,      ///< the router has no confirmed table
  kNoTarget,        ///< no target can accept it now
  kQueueFull,
  kDeadline,     ///< could not be sent before its deadline
  kBudgetSpent,  ///< a retry was possible, but the retry budget is exhausted
  kDrainingRouter,
  kUnknownRoute,    ///< no route for this host and path
  kNoOwner,         ///< the key currently has no owner
  kOverload,        ///< could not have been answered in time
  kTableTooOld,     ///< the table may lack acknowledged changes
  kCrashesTargets,  ///< consecutive targets have crashed while running it
  kTargetLimit,     ///< the rate limits of all possible targets are exhausted
  kTargetBackoff,   ///< all possible targets have requested a backoff
  kNoMemory,        ///< this router has no memory for its body
  kNoPath,          ///< neither this router nor a peer can reach a target
};

/// Reason of a back end's refusal, which proves that the request did not run (`Planktray-Not-Run`).
enum class Refusal : std::uint8_t {
  kShed,
  kDraining,
  kNotOwner,
  kStaleEpoch,
  kNoLease,
  kWrongIncarnation,
  kExpired,
};

/// How an attempt ended.
enum class AttemptEnd : std::uint8_t {
  kAnswered,  ///< complete answer with the matching request ID
  kRefused,   ///< see Refusal
  kNotSent,   ///< not connected, nothing was written
  kBroken,    ///< at least partly written, no complete answer received
  kForeign,   ///< answer to a different request
};

/// Why a router did not pass on a request that another router relayed to it; proves that the
/// request did not run.
enum class RelayRefusal : std::uint8_t {
  kNone,
  kUnreachable,  ///< it cannot reach the back end
  kNoPath,       ///< it can reach no back end of the service
  kClosed,       ///< by its table, the back end accepts no work or is unknown
  kBackoff,      ///< the back end has requested a backoff of it
  kTableTooOld,  ///< its table may lack acknowledged changes
  kBusy,         ///< it has as many relays in flight as it may
  kDraining,     ///< it is stopping
};

std::string_view to_string(Outcome outcome);
std::string_view to_string(NotRunReason reason);
std::string_view to_string(Refusal refusal);
std::string_view to_string(AttemptEnd end);
std::string_view to_string(RelayRefusal refusal);
/// @return false if the text names no refusal.
bool parse_relay_refusal(std::string_view text, RelayRefusal& refusal);
/// @return false if the text names no refusal.
bool parse_refusal(std::string_view text, Refusal& refusal);

}  // namespace planktray::routing
