#pragma once
/// How long requests take at each back end, as routers measure it: the leader's view of speed.

#include <map>
#include <vector>

#include "common/time.hpp"
#include "ownership/cell_state.hpp"

namespace planktray::ownership {

class TargetTimes {
 public:
  void add(const std::vector<routing::TargetTime>& times);
  void clear() { times_.clear(); }
  /// Requests that it can answer, relative to a typical one of its service, within
  /// [1 / kMostSpread, kMostSpread]; 1 where nothing is known of it.
  double capacity(const CellState& state, const BackendRecord& backend) const;

 private:
  static constexpr double kMostSpread = 4.0;

  std::map<common::BackendId, double> times_;  ///< smoothed, in microseconds
};

}  // namespace planktray::ownership
