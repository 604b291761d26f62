#pragma once
/// One service while the range planner works on it: loads, capacities and what the plan adds.

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "ownership/range_planner.hpp"

namespace planktray::ownership {

/// Keys of one owner under one fence that stay where they are so far.
struct Segment {
  KeyRange keys;
  BackendId owner;
  Epoch fence;
};

class RangePlanner::Workspace {
 public:
  struct Target {
    double capacity = 1.0;
    double load = 0;          ///< requests a second, with what the plan adds
    bool may_give_up = true;  ///< keys may move off it for balance now
    /// Requests a second that it may be given at most; its capacity is no more than that.
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

  double load(const KeyRange& keys) const;
  /// Load that a target of capacity 1 carries where all is even.
  double level() const { return total_ / total_capacity_; }
  Targets::iterator lightest();
  /// The heaviest that may give keys up, or the end where none may.
  Targets::iterator heaviest();
  bool may_give_up(BackendId id) const;
  /// Moves no more off the target in this plan.
  void leave(BackendId id) { targets_.at(id).may_give_up = false; }

  /// Takes a target and the keys that it is there for out of the balance.
  void reserve(BackendId id, const KeyRange& keys);
  void carry(BackendId id, double load);
  /// Plans a move of `keys`, which lie in one segment.
  void move(ApplyRangePlan& plan, const KeyRange& keys, Epoch fence, BackendId from, BackendId to);
  /// Cuts `keys` into pieces for the targets that carry the least, and hands each to `take`.
  template <typename Take>
  void spread(KeyRange keys, const Take& take) {
    while (true) {
      const auto target = lightest();
      const double share = level() * target->second.capacity;
      KeyRange piece = beginning(keys, std::max(share - target->second.load, kSmallRest * share));
      const bool rest_is_small =
          piece.last < keys.last && load({piece.last + 1, keys.last}) < kSmallRest * level();
      piece.last = rest_is_small ? keys.last : piece.last;
      target->second.load += load(piece);
      take(piece, target->first);
      if (piece.last == keys.last) {
        return;
      }
      keys.first = piece.last + 1;
    }
  }
  /// The part of the owner's segments with about `wanted` load: a dense cluster of busy keys
  /// where there is one, the beginning of a segment otherwise.
  std::optional<Segment> part_of(BackendId owner, double wanted) const;

 private:
  /// What is left of a range is worth a range of its own from this part of a target's share.
  static constexpr double kSmallRest = 0.15;

  /// Lowers the capacities of targets with a bound to what the bound is, compared with the level.
  void bound_capacities();
  /// The longest beginning of `keys` whose load stays within `room`, one key at least.
  KeyRange beginning(const KeyRange& keys, double room) const;
  /// The narrowest run of busy keys that carries most of `wanted` without much exceeding it.
  std::optional<KeyRange> cluster(const KeyRange& keys, double wanted) const;
  void cut_out(const KeyRange& keys);
  /// Position of the first busy key that is not below `key`.
  std::size_t first_busy(std::uint32_t key) const;

  const RangePlannerInput& input_;
  const RoutedServiceRecord& service_;
  /// Busy keys in order, and the sum of the rates of all before each.
  std::vector<KeyRate> busy_;
  std::vector<double> sums_;
  std::vector<Segment> segments_;
  Targets targets_;
  double idle_rate_ = 0;  ///< of one key, beside what was seen
  double total_ = 0;
  double total_capacity_ = 0;
  std::uint32_t moving_ = 0;
};

}  // namespace planktray::ownership
