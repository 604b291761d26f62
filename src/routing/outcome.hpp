#pragma once
/// What can come of a request, and of one attempt to send it to a back end.

#include <cstdint>
#include <string_view>

namespace planktray::routing {

/// What a caller is told.
enum class Outcome : std::uint8_t {
  kAnswered,  ///< the back end's whole answer to this very request
  kNotRun,    ///< proof exists that it did not run
  kUnknown,   ///< it may have run
};

/// Why a request was not run.
enum class NotRunReason : std::uint8_t {
  kNone,
  kUnknownService,  ///< no such tenant or service
  kKeyMissing,      ///< the service is divided by key and none was given
  kNotServing,      ///< this router has no confirmed table
  kNoTarget,        ///< nobody can take it now
  kQueueFull,
  kDeadline,     ///< it could not be sent in time
  kBudgetSpent,  ///< a retry was possible, but retries are limited
  kDrainingRouter,
  kUnknownRoute,    ///< no route for this host and path
  kNoOwner,         ///< the key has no owner at present
  kOverload,        ///< it could not be answered in time
  kTableTooOld,     ///< the table may not show what was acknowledged since
  kCrashesTargets,  ///< targets that began to run it have ended, one after the other
  kTargetLimit,     ///< the targets that could run it name limits, which leave no room now
  kTargetBackoff,   ///< the targets that could run it have asked to be left alone for a while
};

/// A back end's refusal with proof that nothing ran (`Planktray-Not-Run`).
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
  kAnswered,  ///< whole answer with the right request id
  kRefused,   ///< see Refusal
  kNotSent,   ///< never connected, nothing written
  kBroken,    ///< written, at least in part, and no whole answer came back
  kForeign,   ///< an answer that is not to this request
};

std::string_view to_string(Outcome outcome);
std::string_view to_string(NotRunReason reason);
std::string_view to_string(Refusal refusal);
std::string_view to_string(AttemptEnd end);
/// @return false where the text names no refusal.
bool parse_refusal(std::string_view text, Refusal& refusal);

}  // namespace planktray::routing
