#pragma once
/// Decides who should own which keys: free keys get owners, leaving owners are emptied, and load
/// is evened out by moving few keys of much load.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "ownership/cell_state.hpp"
#include "ownership/grant_manager.hpp"
#include "ownership/key_loads.hpp"

namespace planktray::ownership {

struct RangePlannerOptions {
  /// A target may carry this many times the mean before keys are moved off it.
  double max_imbalance = 1.35;
  /// Requests a second above the mean that are borne in any case.
  double tolerated_excess = 4.0;
  /// Moves that may be under way at once in one service for balancing.
  std::uint32_t concurrent_moves = 6;
  /// Keys that balancing may move in one interval, as a share of all keys.
  double moved_share = 0.01;
};

struct RangePlannerInput {
  const CellState& state;
  const KeyLoads& loads;
  /// True where the back end may get keys.
  std::function<bool(const BackendRecord&)> is_eligible;
  /// Whether a moving or unowned range may be given to another owner.
  std::function<GrantManager::Verdict(ServiceId, const RangeRecord&)> may_assign;
  bool balance = false;  ///< whether keys may be moved for balance in this call
};

class RangePlanner {
 public:
  explicit RangePlanner(RangePlannerOptions options) : options_(options) {}

  ApplyRangePlan plan(const RangePlannerInput& input) const;

 private:
  struct Workspace;

  void assign_free(Workspace& work, ApplyRangePlan& plan) const;
  void empty_leaving(Workspace& work, ApplyRangePlan& plan) const;
  void balance(Workspace& work, ApplyRangePlan& plan) const;
  /// The piece of one owner's keys with about `wanted` load in the fewest keys.
  std::optional<RangeMove> densest_piece(const Workspace& work, BackendId owner, double wanted,
                                         std::uint32_t most_keys, const ApplyRangePlan& plan) const;

  RangePlannerOptions options_;
};

}  // namespace planktray::ownership
