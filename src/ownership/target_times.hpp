#pragma once
/// Request times of back ends as measured by routers, from which the leader estimates capacity.

#include <map>
#include <vector>

#include "common/time.hpp"
#include "ownership/cell_state.hpp"

namespace planktray::ownership {

/// Request rates that back ends can serve, relative to a typical back end of their service.
class Capacities {
 public:
  void set(common::BackendId id, double capacity) { capacities_[id] = capacity; }
  /// Returns 1 for a back end without measurements.
  double of(common::BackendId id) const {
    const auto found = capacities_.find(id);
    return found == capacities_.end() ? 1.0 : found->second;
  }

 private:
  std::map<common::BackendId, double> capacities_;
};

/// Smooths the reported request times of each back end.
class TargetTimes {
 public:
  /// @param sample_weight smoothing weight of one sample; a report weighs as much as its samples.
  explicit TargetTimes(double sample_weight) : sample_weight_(sample_weight) {}

  void add(const std::vector<routing::TargetTime>& times);
  void clear() { times_.clear(); }
  /// Returns capacities within [1 / kMaxCapacityRatio, kMaxCapacityRatio].
  Capacities capacities(const CellState& state) const;

 private:
  static constexpr double kMaxCapacityRatio = 4.0;

  struct Measurement {
    double time_us = 0;  ///< smoothed
    double samples = 0;  ///< total so far
  };

  /// Returns the measured time, shrunk towards the typical time while samples are few.
  static double shrunk_time(const Measurement& measurement, double typical);

  double sample_weight_;
  std::map<common::BackendId, Measurement> times_;
};

}  // namespace planktray::ownership
