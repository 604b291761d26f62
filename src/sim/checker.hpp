#pragma once
/// Judges a history by what must always hold. One check for each promise; none of them knows how
/// the system works inside.

#include <string>
#include <string_view>
#include <vector>

#include "sim/history.hpp"

namespace planktray::sim {

enum class Promise : std::uint8_t {
  kSoleOwner,               ///< a key has at most one owner at any time
  kAssignmentSurvives,      ///< an assignment in use is never undone or given out twice
  kOwnAnswer,               ///< a caller gets the whole answer to its own request
  kNotRunIsTrue,            ///< what was refused as "not run" did not run
  kAtMostOnce,              ///< what may not be repeated runs once at most
  kLeavingGetsNoWork,       ///< a leaving back end gets no new work after a few seconds
  kPlannedStopCutsNothing,  ///< a planned stop cuts no request in flight
  kInForceInTime,           ///< an accepted configuration is in force within seconds
  kNeverReverts,            ///< an accepted configuration survives and never goes back
  kRecovers,                ///< when faults have ended, everything serves again
};

std::string_view to_string(Promise promise);

struct Violation {
  Promise promise = Promise::kSoleOwner;
  common::TimePoint time;
  std::string message;
  std::vector<std::string> excerpt;  ///< the events that show it
};

struct CheckLimits {
  common::Duration leaving = std::chrono::seconds(5);
  common::Duration in_force = std::chrono::seconds(16);
};

/// @return every violation, in the order of the checks.
std::vector<Violation> check_history(const History& history, const CheckLimits& limits = {});

}  // namespace planktray::sim
