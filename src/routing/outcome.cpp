#include "routing/outcome.hpp"

#include <array>

namespace planktray::routing {
namespace {

constexpr std::array<Refusal, 7> kRefusals = {
    Refusal::kShed,    Refusal::kDraining,         Refusal::kNotOwner, Refusal::kStaleEpoch,
    Refusal::kNoLease, Refusal::kWrongIncarnation, Refusal::kExpired};

constexpr std::array<RelayRefusal, 8> kRelayRefusals = {
    RelayRefusal::kNone,   RelayRefusal::kUnreachable, RelayRefusal::kNoPath,
    RelayRefusal::kClosed, RelayRefusal::kBackoff,     RelayRefusal::kTableTooOld,
    RelayRefusal::kBusy,   RelayRefusal::kDraining};

}  // namespace

std::string_view to_string(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view to_string(NotRunReason reason) {
  switch (reason) {
    case NotRunReason::kNone:
      return "none";
    case NotRunReason::kUnknownService:
      return "unknown-service";
    case NotRunReason::kKeyMissing:
      return "key-missing";
    case NotRunReason::kNotServing:
      return "router-not-serving";
    case NotRunReason::kNoTarget:
      return "no-target";
    case NotRunReason::kQueueFull:
      return "queue-full";
    case NotRunReason::kDeadline:
      return "deadline";
    case NotRunReason::kBudgetSpent:
      return "retry-budget-spent";
    case NotRunReason::kDrainingRouter:
      return "router-draining";
    case NotRunReason::kUnknownRoute:
      return "unknown-route";
    case NotRunReason::kNoOwner:
      return "no-owner";
    case NotRunReason::kOverload:
      return "overload";
    case NotRunReason::kTableTooOld:
      return "table-too-old";
    case NotRunReason::kCrashesTargets:
      return "crashes-targets";
    case NotRunReason::kTargetBackoff:
      return "target-backoff";
    case NotRunReason::kTargetLimit:
      return "target-limit";
    case NotRunReason::kNoMemory:
      return "no-memory";
    case NotRunReason::kNoPath:
      return "no-path";
  }
  return "none";
}

std::string_view to_string(Refusal refusal) {
  switch (refusal) {
    case Refusal::kShed:
      return "shed";
    case Refusal::kDraining:
      return "draining";
    case Refusal::kNotOwner:
      return "not-owner";
    case Refusal::kStaleEpoch:
      return "stale-epoch";
    case Refusal::kNoLease:
      return "no-lease";
    case Refusal::kWrongIncarnation:
      return "wrong-incarnation";
    case Refusal::kExpired:
      return "expired";
  }
  return "shed";
}

std::string_view to_string(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswered:
      return "answered";
    case AttemptEnd::kRefused:
      return "refused";
    case AttemptEnd::kNotSent:
      return "not-sent";
    case AttemptEnd::kBroken:
      return "broken";
    case AttemptEnd::kForeign:
      return "foreign";
  }
  return "broken";
}

bool parse_refusal(std::string_view text, Refusal& refusal) {
  for (const Refusal candidate : kRefusals) {
    if (to_string(candidate) == text) {
      refusal = candidate;
      return true;
    }
  }
  return false;
}

std::string_view to_string(RelayRefusal refusal) {
  switch (refusal) {
    case RelayRefusal::kNone:
      return "none";
    case RelayRefusal::kUnreachable:
      return "unreachable";
    case RelayRefusal::kNoPath:
      return "no-path";
    case RelayRefusal::kClosed:
      return "closed";
    case RelayRefusal::kBackoff:
      return "backoff";
    case RelayRefusal::kTableTooOld:
      return "table-too-old";
    case RelayRefusal::kBusy:
      return "busy";
    case RelayRefusal::kDraining:
      return "draining";
  }
  return "none";
}

bool parse_relay_refusal(std::string_view text, RelayRefusal& refusal) {
  for (const RelayRefusal candidate : kRelayRefusals) {
    if (to_string(candidate) == text) {
      refusal = candidate;
      return true;
    }
  }
  return false;
}

}  // namespace planktray::routing
