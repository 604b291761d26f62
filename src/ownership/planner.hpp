#pragma once
/// Decides targets, owners and moves of shards: reads the cell's state and returns the next plan,
/// without effects of its own. Joining and lost back ends move the fewest shards possible;
/// balancing moves one shard at a time under a churn budget, a minimum stay and a minimum gain
/// (hysteresis).

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "ownership/cell_state.hpp"
#include "ownership/lease_messages.hpp"
#include "ownership/load_view.hpp"

namespace planktray::ownership {

/// How shards are balanced; all modes except kBudgeted are baselines for benchmarks.
enum class BalanceMode : std::uint8_t {
  kBudgeted,        ///< the default, as described above
  kModulo,          ///< shard number modulo targets
  kConsistentHash,  ///< ring with virtual nodes (Karger et al., 1997)
  kGreedy,          ///< evens out load without hysteresis or budget
};

struct PlannerOptions {
  BalanceMode mode = BalanceMode::kBudgeted;
  /// Limit of concurrent planned moves of a service.
  std::uint32_t concurrent_moves = 16;
  /// Weight that every shard has in addition to its load, as a fraction of the mean load of a
  /// shard. It spreads idle shards evenly.
  double idle_weight = 0.2;
};

/// Input of one planning pass.
struct PlannerInput {
  const CellState& state;
  const LoadView& loads;
  std::vector<BackendId> lost;          ///< back ends whose lease has certainly expired
  const std::set<HeldShard>& released;  ///< shards that their owners have released
  bool balance = false;                 ///< whether to plan moves that balance load
};

/// Plans the ownership of shards.
class Planner {
 public:
  explicit Planner(PlannerOptions options) : options_(options) {}

  /// Resets stays and budgets for a new term.
  void begin_term();
  /// Returns the decisions that are due, an empty plan if there are none.
  ApplyPlan plan(common::TimePoint now, const PlannerInput& input);
  /// Returns the number of moves planned for balancing so far.
  std::uint64_t balancing_moves() const { return balancing_moves_; }

 private:
  /// Token bucket for balancing moves.
  struct Budget {
    double tokens = 0;
    common::TimePoint filled_at;
  };
  /// State of one service during planning.
  struct Workspace;

  std::vector<BackendId> choose_targets(const ServiceRecord& service,
                                        const PlannerInput& input) const;
  /// Assigns shards without an owner and shards of lost back ends.
  void place_unowned(Workspace& work, ApplyPlan& plan);
  /// Assigns shards that their owners have released for a move.
  void place_released(Workspace& work, const PlannerInput& input, ApplyPlan& plan);
  /// Moves shards off owners that are not targets.
  void drain_non_targets(Workspace& work, ApplyPlan& plan);
  void balance(common::TimePoint now, Workspace& work, ApplyPlan& plan);
  /// Takes a token from the service's budget. @return false if there is none.
  bool spend_token(common::TimePoint now, const ServiceRecord& service);
  /// Returns true if the shard was moved less than the minimum stay ago.
  bool must_stay(common::TimePoint now, const ServiceRecord& service, ShardNumber shard) const;
  /// Returns the owner that a mode without regard to load gives to a shard.
  BackendId load_independent_owner(const Workspace& work, ShardNumber shard) const;

  PlannerOptions options_;
  std::map<ServiceId, Budget> budgets_;
  std::map<common::ShardRef, common::TimePoint> moved_at_;
  std::uint64_t balancing_moves_ = 0;
};

}  // namespace planktray::ownership
