#pragma once
/// Plans the ownership of keys: assigns free keys, drains leaving owners, balances load over
/// targets of different capacity, and gives a key whose load exceeds a target's whole share to the
/// fastest target exclusively.

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "ownership/cell_state.hpp"
#include "ownership/grant_manager.hpp"
#include "ownership/key_loads.hpp"

namespace planktray::ownership {

/// Loads are in requests per second. A target's share is its capacity times the mean load per unit
/// of capacity.
struct RangePlannerOptions {
  /// A target may carry this multiple of its share before keys are moved off it.
  double max_imbalance = 1.4;
  /// A target below this fraction of its share is given keys even if no target is above the limit.
  double underload_share = 0.5;
  /// Deviations from the share within this many standard deviations of the measured load are
  /// tolerated in any case.
  double noise_factor = 3.0;
  /// Variance of a smoothed load divided by the load, in 1/s; follows from the smoothing of loads.
  double noise_rate = 0.43;
  /// A move must shift at least this fraction of a target's share.
  double smallest_gain = 0.15;
  /// A load is significant from the weight of this many requests in the smoothed loads. A move must
  /// shift a significant load, and a dominant key must have one: a move for less would react to
  /// noise, at the cost of the time in which its keys have no owner.
  double significant_requests = 4.0;
  /// A key with this multiple of a target's share is dominant: it gets a target exclusively.
  double dominant_share = 1.6;
  /// A dominant key moves only to a target whose capacity is higher by more than this factor.
  double min_speedup = 1.2;
  /// Balancing starts no more moves while this many ranges of a service are moving.
  std::uint32_t concurrent_moves = 16;
  /// Balancing splits no more ranges above this number per target, as each range costs renewals.
  std::uint32_t ranges_per_target = 4;
};

/// Input of one planning pass.
struct RangePlannerInput {
  const CellState& state;
  const KeyLoads& loads;
  /// Returns true if the back end may get keys.
  std::function<bool(const BackendRecord&)> is_eligible;
  /// Returns true if the owner has to release all its keys.
  std::function<bool(const BackendRecord&)> must_drain;
  /// Returns the request rate that a back end can serve, relative to a typical back end of its
  /// service; above 0.
  std::function<double(const BackendRecord&)> capacity;
  /// Returns whether a moving or unowned range may be assigned to another owner.
  std::function<GrantManager::Availability(ServiceId, const RangeRecord&)> may_assign;
  bool balance = false;  ///< whether this pass may move keys to balance load
  bool join = false;     ///< whether this pass joins adjacent ranges of one owner
  /// Returns true if an owner can be notified of a move immediately. Balancing moves keys only off
  /// such owners: keys of others would be unavailable until the owner can be notified. Unset: true
  /// for all.
  std::function<bool(BackendId)> can_notify{};
  /// Returns the maximum requests per second of a target. Unset, or nothing returned: no limit.
  std::function<std::optional<double>(const BackendRecord&)> max_load{};
};

/// Plans the ownership of key ranges.
class RangePlanner {
 public:
  explicit RangePlanner(RangePlannerOptions options) : options_(options) {}

  /// Returns the decisions that are due, an empty plan if there are none.
  ApplyRangePlan plan(const RangePlannerInput& input) const;

 private:
  class Workspace;

  /// Returns true if keys can be assigned or have to leave their owner. Much cheaper than a
  /// Workspace, which computes the loads of all keys and targets.
  static bool has_work(const RangePlannerInput& input, const RoutedServiceRecord& service);
  /// Assigns keys that are free.
  void assign_free(Workspace& work, ApplyRangePlan& plan) const;
  /// Moves all keys off owners that have to be drained.
  void drain_owners(Workspace& work, ApplyRangePlan& plan) const;
  /// Moves a dominant key to the fastest target, and all other keys off that target.
  void isolate_dominant(Workspace& work, ApplyRangePlan& plan) const;
  /// Moves all keys except `key` off the target `host`.
  void drain_host(Workspace& work, ApplyRangePlan& plan, BackendId host, const KeyRange& key) const;
  /// Moves keys from the most to the least loaded targets.
  void balance(Workspace& work, ApplyRangePlan& plan) const;
  /// Moves idle keys between two ranges of one owner to that owner, so that all can be joined.
  void close_gaps(Workspace& work, ApplyRangePlan& plan) const;
  /// Joins adjacent ranges of one owner, since fewer ranges cost fewer renewals.
  void join_adjacent(const Workspace& work, ApplyRangePlan& plan) const;

  /// Returns the least significant load in requests per second. One request adds 2 * noise_rate to
  /// a load that is smoothed by a half-life.
  double min_significant_load() const {
    return options_.significant_requests * 2 * options_.noise_rate;
  }

  RangePlannerOptions options_;
};

}  // namespace planktray::ownership
