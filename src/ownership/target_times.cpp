#include "ownership/target_times.hpp"

#include <algorithm>
#include <cmath>

namespace planktray::ownership {
namespace {

constexpr double kMostWeight = 0.6;
/// A back end counts as a typical one by so many requests: one request's time scatters by about its
/// own mean, so that the first few say little.
constexpr double kTypicalSamples = 4.0;

}  // namespace

void TargetTimes::add(const std::vector<routing::TargetTime>& times) {
  for (const routing::TargetTime& report : times) {
    if (report.samples == 0) {
      continue;
    }
    Measured& measured = times_[report.backend];
    measured.samples += report.samples;
    // The mean of all so far, until a smoothed one forgets faster.
    const double mean_weight = report.samples / measured.samples;
    const double weight =
        std::max(mean_weight, std::min(kMostWeight, sample_weight_ * report.samples));
    measured.time_us += weight * (report.time_us - measured.time_us);
  }
}

double TargetTimes::drawn_to(const Measured& measured, double typical) {
  return (measured.time_us * measured.samples + typical * kTypicalSamples) /
         (measured.samples + kTypicalSamples);
}

Capacities TargetTimes::capacities(const CellState& state) const {
  struct Sum {
    double logarithms = 0;
    double count = 0;
  };
  std::map<common::PoolName, Sum> by_pool;
  for (const auto& [id, measured] : times_) {
    const BackendRecord* backend = state.find_backend(id);
    if (backend != nullptr && measured.time_us > 0) {
      Sum& sum = by_pool[backend->pool];
      sum.logarithms += std::log(measured.time_us);
      sum.count += 1;
    }
  }
  Capacities capacities;
  for (const auto& [id, measured] : times_) {
    const BackendRecord* backend = state.find_backend(id);
    if (backend != nullptr && measured.time_us > 0) {
      const Sum& sum = by_pool.at(backend->pool);
      const double typical = std::exp(sum.logarithms / sum.count);
      const double time = drawn_to(measured, typical);
      capacities.set(id, std::clamp(typical / time, 1.0 / kMostSpread, kMostSpread));
    }
  }
  return capacities;
}

}  // namespace planktray::ownership
