#pragma once
/// Decides targets, owners and moves. Pure: reads the cell's state and gives the next plan.
/// Joins and losses move the fewest shards; balancing moves one shard at a time under a churn
/// budget, a minimum stay and a minimum gain (hysteresis).

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

/// How shards are balanced; all but kBudgeted are baselines to measure against.
enum class BalanceMode : std::uint8_t {
  kBudgeted,        ///< the product's own
  kModulo,          ///< shard number modulo targets
  kConsistentHash,  ///< ring with virtual nodes (Karger et al., 1997)
  kGreedy,          ///< always even out, without hysteresis or budget
};

struct PlannerOptions {
  BalanceMode mode = BalanceMode::kBudgeted;
  /// Planned moves that may be under way at once for one service.
  std::uint32_t concurrent_moves = 16;
  /// Weight of a shard without load, as a fraction of the mean shard; evens out idle shards.
  double idle_weight = 0.2;
};

struct PlannerInput {
  const CellState& state;
  const LoadView& loads;
  std::vector<BackendId> lost;
  const std::set<HeldShard>& released;
  bool balance = false;  ///< also look for moves that even out load
};

class Planner {
 public:
  explicit Planner(PlannerOptions options) : options_(options) {}

  /// Forgets stays and budgets, as a new leader does.
  void begin_term();
  ApplyPlan plan(common::TimePoint now, const PlannerInput& input);
  /// Moves proposed for balancing so far.
  std::uint64_t balancing_moves() const { return balancing_moves_; }

 private:
  struct Budget {
    double tokens = 0;
    common::TimePoint filled_at;
  };
  /// One service while its part of the plan is made.
  struct Workspace;

  std::vector<BackendId> choose_targets(const ServiceRecord& service,
                                        const PlannerInput& input) const;
  void place_unowned(Workspace& work, ApplyPlan& plan);
  void place_released(Workspace& work, const PlannerInput& input, ApplyPlan& plan);
  void evacuate(Workspace& work, ApplyPlan& plan);
  void balance(common::TimePoint now, Workspace& work, ApplyPlan& plan);
  bool spend(common::TimePoint now, const ServiceRecord& service);
  bool stays(common::TimePoint now, const ServiceRecord& service, ShardNumber shard) const;
  BackendId fixed_owner(const Workspace& work, ShardNumber shard) const;

  PlannerOptions options_;
  std::map<ServiceId, Budget> budgets_;
  std::map<common::ShardRef, common::TimePoint> moved_at_;
  std::uint64_t balancing_moves_ = 0;
};

}  // namespace planktray::ownership
