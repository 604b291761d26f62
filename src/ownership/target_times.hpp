#pragma once
/// How long requests take at each back end, as routers measure it: the leader's view of speed.

#include <map>
#include <vector>

#include "common/time.hpp"
#include "ownership/cell_state.hpp"

namespace planktray::ownership {

/// Requests that back ends can answer, relative to a typical one of their service.
class Capacities {
 public:
  void set(common::BackendId id, double capacity) { capacities_[id] = capacity; }
  /// 1 where nothing is known of it.
  double of(common::BackendId id) const {
    const auto found = capacities_.find(id);
    return found == capacities_.end() ? 1.0 : found->second;
  }

 private:
  std::map<common::BackendId, double> capacities_;
};

class TargetTimes {
 public:
  /// @param sample_weight of one new sample; a report counts as many samples as it has.
  explicit TargetTimes(double sample_weight) : sample_weight_(sample_weight) {}

  void add(const std::vector<routing::TargetTime>& times);
  void clear() { times_.clear(); }
  /// Within [1 / kMostSpread, kMostSpread].
  Capacities capacities(const CellState& state) const;

 private:
  static constexpr double kMostSpread = 4.0;

  struct Measured {
    double time_us = 0;  ///< smoothed
    double samples = 0;  ///< so far
  };

  /// The measured time, drawn towards the typical one while samples are few.
  static double drawn_to(const Measured& measured, double typical);

  double sample_weight_;
  std::map<common::BackendId, Measured> times_;
};

}  // namespace planktray::ownership
