#pragma once
/// State of one service during range planning: loads, capacities and the effects of the plan.

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "ownership/range_planner.hpp"

namespace planktray::ownership {

/// Keys of one owner under one fence that the plan has not moved so far.
struct Segment {
  KeyRange keys;
  BackendId owner;
  Epoch fence;
};

/// Loads are in requests per second.
class RangePlanner::Workspace {
 public:
  struct Target {
    double capacity = 1.0;
    double load = 0;          ///< with the effects of the plan
    bool may_give_up = true;  ///< whether balancing may move keys off this target
    /// Maximum load; also limits the capacity.
    std::optional<double> max_load;

    double utilization() const { return load / capacity; }
  };
  using Targets = std::map<BackendId, Target>;

  Workspace(const RangePlannerInput& input, const RoutedServiceRecord& service);

  const RangePlannerInput& input() const { return input_; }
  const RoutedServiceRecord& service() const { return service_; }
  std::vector<Segment>& segments() { return segments_; }
  Targets& targets() { return targets_; }
  bool is_target(BackendId id) const { return targets_.contains(id); }
  std::uint32_t moving() const { return moving_; }

  /// Returns the load of a range of keys.
  double load(const KeyRange& keys) const;
  /// Returns the load of a target of capacity 1 under a perfectly even distribution.
  double mean_utilization() const { return total_load_ / total_capacity_; }
  /// Returns the target with the lowest utilization.
  Targets::iterator least_loaded();
  /// Returns the target with the highest utilization of those that may give up keys, or the end if
  /// there is none.
  Targets::iterator most_loaded();
  /// Returns true if balancing may move keys off the back end.
  bool may_give_up(BackendId id) const;
  /// Excludes the target from giving up keys in this plan.
  void exclude(BackendId id) { targets_.at(id).may_give_up = false; }

  /// Excludes a target, and the keys reserved for it, from balancing.
  void reserve(BackendId id, const KeyRange& keys);
  /// Adds to the load of a target.
  void add_load(BackendId id, double load);
  /// Plans a move of `keys`, which must be within one segment.
  void move(ApplyRangePlan& plan, const KeyRange& keys, Epoch fence, BackendId from, BackendId to);
  /// Splits `keys` into pieces for the least loaded targets, and calls `assign` for each piece.
  template <typename Assign>
  void spread(KeyRange keys, const Assign& assign) {
    while (true) {
      const auto target = least_loaded();
      const double share = mean_utilization() * target->second.capacity;
      KeyRange piece = prefix(keys, std::max(share - target->second.load, kMinPieceShare * share));
      const bool rest_is_small = piece.last < keys.last && load({piece.last + 1, keys.last}) <
                                                               kMinPieceShare * mean_utilization();
      piece.last = rest_is_small ? keys.last : piece.last;
      target->second.load += load(piece);
      assign(piece, target->first);
      if (piece.last == keys.last) {
        return;
      }
      keys.first = piece.last + 1;
    }
  }
  /// Returns a part of the owner's segments with about the load `wanted`: a dense cluster of busy
  /// keys if there is one, otherwise the beginning of a segment.
  std::optional<Segment> find_part(BackendId owner, double wanted) const;

 private:
  /// The remainder of a range becomes a separate piece only from this fraction of a target's share.
  static constexpr double kMinPieceShare = 0.15;

  /// Limits the capacities of targets that have a maximum load, so that their share does not exceed
  /// it.
  void limit_capacities();
  /// Returns the longest prefix of `keys` whose load is at most `max_load`, at least one key.
  KeyRange prefix(const KeyRange& keys, double max_load) const;
  /// Returns a narrow run of busy keys with most of the load `wanted`, without much exceeding it.
  std::optional<KeyRange> cluster(const KeyRange& keys, double wanted) const;
  /// Removes `keys` from the segment that contains them.
  void cut_out(const KeyRange& keys);
  /// Returns the index of the first busy key that is not below `key`.
  std::size_t first_busy(std::uint32_t key) const;

  const RangePlannerInput& input_;
  const RoutedServiceRecord& service_;
  std::vector<KeyRate> busy_;        ///< busy keys in ascending order
  std::vector<double> prefix_sums_;  ///< sum of the rates of all busy keys before each
  std::vector<Segment> segments_;
  Targets targets_;
  double idle_rate_ = 0;  ///< added to the observed rate of each key
  double total_load_ = 0;
  double total_capacity_ = 0;
  std::uint32_t moving_ = 0;  ///< moving ranges, with the effects of the plan
};

}  // namespace planktray::ownership
