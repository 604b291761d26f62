#include "ownership/target_times.hpp"

#include <algorithm>
#include <cmath>

namespace planktray::ownership {
namespace {

constexpr double kMostWeight = 0.6;

}  // namespace

void TargetTimes::add(const std::vector<routing::TargetTime>& times) {
  for (const routing::TargetTime& report : times) {
    if (report.samples == 0) {
      continue;
    }
    const auto [found, is_new] = times_.try_emplace(report.backend, report.time_us);
    if (!is_new) {
      const double weight = std::min(kMostWeight, sample_weight_ * report.samples);
      found->second += weight * (report.time_us - found->second);
    }
  }
}

Capacities TargetTimes::capacities(const CellState& state) const {
  struct Sum {
    double logarithms = 0;
    double count = 0;
  };
  std::map<common::PoolName, Sum> by_pool;
  for (const auto& [id, time] : times_) {
    const BackendRecord* backend = state.find_backend(id);
    if (backend != nullptr && time > 0) {
      Sum& sum = by_pool[backend->pool];
      sum.logarithms += std::log(time);
      sum.count += 1;
    }
  }
  Capacities capacities;
  for (const auto& [id, time] : times_) {
    const BackendRecord* backend = state.find_backend(id);
    if (backend != nullptr && time > 0) {
      const Sum& sum = by_pool.at(backend->pool);
      const double typical = std::exp(sum.logarithms / sum.count);
      capacities.set(id, std::clamp(typical / time, 1.0 / kMostSpread, kMostSpread));
    }
  }
  return capacities;
}

}  // namespace planktray::ownership
