#pragma once
/// Fenced grants under virtual time: the leader's GrantManager against holders that take orders
/// late, lose answers, are cut off, restart, and run slow clocks, while leaders change.
///
/// What is judged is what a holder could see: which keys it holds, and under which fence it took
/// them. A leader's own record is never asked.

#include <cstdint>
#include <string>
#include <vector>

#include "common/random.hpp"
#include "ownership/grant_manager.hpp"

namespace planktray::sim {

enum class GrantFault : std::uint8_t {
  kLateOrders,     ///< orders are left unanswered and taken up to 12 s later
  kLostAnswers,    ///< an order is taken, its answer does not come
  kCutHolders,     ///< no connection to a holder comes up
  kSlowClocks,     ///< holders measure 2% too slow
  kLeaderChanges,  ///< leaders end without a word, others follow
  kRestarts,       ///< a holder's process ends; another starts at its address
};

struct GrantWorldOptions {
  std::uint64_t seed = 1;
  common::Duration length = std::chrono::seconds(90);
  std::size_t holders = 4;
  ownership::GrantOptions grant;
  std::vector<GrantFault> faults = {GrantFault::kLateOrders,    GrantFault::kLostAnswers,
                                    GrantFault::kCutHolders,    GrantFault::kSlowClocks,
                                    GrantFault::kLeaderChanges, GrantFault::kRestarts};
};

struct GrantWorldResult {
  std::vector<std::string> violations;  ///< empty: the promises were kept
  std::uint64_t grants_taken = 0;
  std::uint64_t taken_late = 0;
  std::uint64_t releases = 0;
  std::uint64_t owners_changed = 0;
  std::uint64_t leaders = 0;
};

GrantWorldResult run_grant_world(const GrantWorldOptions& options);

/// A safeguard of the grant contract taken away.
struct GrantMutant {
  const char* name;
  const char* safeguard;
  void (*apply)(ownership::GrantOptions& options);
};

const std::vector<GrantMutant>& all_grant_mutants();

}  // namespace planktray::sim
