#pragma once
/// Fenced grants under virtual time: the leader's GrantManager against holders that take orders
/// late, lose answers, are cut off, restart, and run slow clocks, while leaders change. Some
/// holders take orders; the others hear what they hold in the answers to their heartbeats, which
/// come late, out of order, or after their sender's end.
///
/// What is judged is what a holder could see: which keys it holds, and under which fence it took
/// them. A leader's own record is never asked.

#include <cstdint>
#include <string>
#include <vector>

#include "common/random.hpp"
#include "membership/heartbeat_monitor.hpp"
#include "ownership/grant_manager.hpp"

namespace planktray::sim {

enum class GrantFault : std::uint8_t {
  kLateOrders,     ///< orders are left unanswered and taken up to 12 s later; heartbeats come late
  kLostAnswers,    ///< an order is taken, its answer does not come; nor do those to heartbeats
  kCutHolders,     ///< no connection to a holder comes up; its heartbeats wait for the cut's end
  kSlowClocks,     ///< holders measure 2% too slow
  kLeaderChanges,  ///< leaders end without a word, others follow
  kRestarts,       ///< a holder's process ends; another starts at its address
  /// The first heartbeat of a process that has ended arrives after its successor's.
  kLateRegistrations,
  kRelays,  ///< heartbeats reach leaders again, up to 12 s later, by controllers that relay
};

struct GrantWorldOptions {
  std::uint64_t seed = 1;
  common::Duration length = std::chrono::seconds(90);
  std::size_t holders = 4;
  /// So many of them hear what they hold in the answers to their heartbeats.
  std::size_t reporting_holders = 2;
  /// How often such a holder sends a heartbeat.
  common::Duration heartbeat_interval = std::chrono::milliseconds(870);
  ownership::GrantOptions grant;
  membership::HeartbeatOptions heartbeat;
  /// Safeguard: a relayed answer reaches a holder in response to the heartbeat that it names only.
  /// Off only in mutants.
  bool match_relayed_answers = true;
  std::vector<GrantFault> faults = {GrantFault::kLateOrders,        GrantFault::kLostAnswers,
                                    GrantFault::kCutHolders,        GrantFault::kSlowClocks,
                                    GrantFault::kLeaderChanges,     GrantFault::kRestarts,
                                    GrantFault::kLateRegistrations, GrantFault::kRelays};
};

struct GrantWorldResult {
  std::vector<std::string> violations;  ///< empty: the promises were kept
  std::uint64_t grants_taken = 0;
  std::uint64_t taken_late = 0;
  std::uint64_t releases = 0;
  std::uint64_t owners_changed = 0;
  std::uint64_t leaders = 0;
  std::uint64_t registered_late = 0;    ///< processes that had ended before
  std::uint64_t replaced = 0;           ///< back ends whose successor answered an order to them
  std::uint64_t reports = 0;            ///< heartbeats that were taken as the newest
  std::uint64_t late_heartbeats = 0;    ///< heartbeats that came after a newer one
  std::uint64_t relayed_again = 0;      ///< of these, those that a leader had not seen before
  std::uint64_t answers_taken = 0;      ///< by holders that hear of their keys so
  std::uint64_t reported_releases = 0;  ///< blocks that such holders have released
};

GrantWorldResult run_grant_world(const GrantWorldOptions& options);

/// A safeguard of the grant contract taken away.
struct GrantMutant {
  const char* name;
  const char* safeguard;
  void (*apply)(GrantWorldOptions& options);
};

const std::vector<GrantMutant>& all_grant_mutants();

}  // namespace planktray::sim
