#pragma once
/// Decides who should own which keys: free keys get owners, leaving owners are emptied, load is
/// evened out over targets of different speed, and a key that is busier than a target's whole share
/// gets the fastest target for itself.

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "ownership/cell_state.hpp"
#include "ownership/grant_manager.hpp"
#include "ownership/key_loads.hpp"

namespace planktray::ownership {

struct RangePlannerOptions {
  /// A target may carry this many times its share before keys are moved off it.
  double max_imbalance = 1.4;
  /// A target below this part of its share is given keys even while none is above the limit.
  double starved_share = 0.5;
  /// So many standard deviations of a target's measured load are borne in any case.
  double noise_factor = 3.0;
  /// Variance of a smoothed load per load, in 1/s; follows from how loads are smoothed.
  double noise_rate = 0.43;
  /// A move must shift at least this part of a target's share.
  double smallest_gain = 0.15;
  /// Nor less than what so many requests weigh in the smoothed loads, nor is a key with less
  /// dominant: with fewer, a move follows chance, and costs the time in which its keys have no
  /// owner.
  double telling_requests = 4.0;
  /// A key with this many times a target's share is dominant: it gets a target for itself.
  double dominant_share = 1.6;
  /// A dominant key moves to a target that is faster by this factor.
  double faster_by = 1.2;
  /// Ranges that may be moving at once in one service for balance to move more.
  std::uint32_t concurrent_moves = 16;
  /// Ranges for each target beyond which balance splits no more: each costs renewals.
  std::uint32_t ranges_per_target = 4;
};

struct RangePlannerInput {
  const CellState& state;
  const KeyLoads& loads;
  /// True where the back end may get keys.
  std::function<bool(const BackendRecord&)> is_eligible;
  /// True where an owner is to give up all its keys.
  std::function<bool(const BackendRecord&)> must_drain;
  /// Requests that it can answer, relative to a typical one of its service; above 0.
  std::function<double(const BackendRecord&)> capacity;
  /// Whether a moving or unowned range may be given to another owner.
  std::function<GrantManager::Availability(ServiceId, const RangeRecord&)> may_assign;
  bool balance = false;  ///< whether keys may be moved for balance in this call
  bool join = false;     ///< whether neighbours of one owner become one range in this call
  /// Whether an owner can be told of a move at once. Keys move for balance only from those: from
  /// the others they would lie still until they can be told. Unset: all can.
  std::function<bool(BackendId)> can_notify{};
  /// Requests a second that a target may be given at most. Unset, or nothing: no bound.
  std::function<std::optional<double>(const BackendRecord&)> max_load{};
};

class RangePlanner {
 public:
  explicit RangePlanner(RangePlannerOptions options) : options_(options) {}

  ApplyRangePlan plan(const RangePlannerInput& input) const;

 private:
  class Workspace;

  /// True where keys can be given away, or have to leave their owner: cheap to find out, unlike the
  /// loads of all keys and targets.
  static bool has_work(const RangePlannerInput& input, const RoutedServiceRecord& service);
  void assign_free(Workspace& work, ApplyRangePlan& plan) const;
  void empty_leaving(Workspace& work, ApplyRangePlan& plan) const;
  /// Gives a dominant key the fastest target for itself.
  void isolate_dominant(Workspace& work, ApplyRangePlan& plan) const;
  /// Moves all keys but `key` off the target that hosts it.
  void empty_host(Workspace& work, ApplyRangePlan& plan, BackendId host, const KeyRange& key) const;
  void balance(Workspace& work, ApplyRangePlan& plan) const;
  /// Gives idle keys between two ranges of one owner to that owner, so that all become one range.
  void close_gaps(Workspace& work, ApplyRangePlan& plan) const;
  /// Fewer ranges cost fewer renewals.
  void join_neighbours(const Workspace& work, ApplyRangePlan& plan) const;

  /// The least load that is no chance, in requests a second. One request adds twice the variance
  /// per load to a load that is smoothed by a half-life.
  double telling_load() const { return options_.telling_requests * 2 * options_.noise_rate; }

  RangePlannerOptions options_;
};

}  // namespace planktray::ownership
