#include "ownership/target_times.hpp"

#include <algorithm>
#include <cmath>

namespace planktray::ownership {
namespace {

constexpr double kMaxReportWeight = 0.6;
/// Number of samples with the typical time that are added to the samples of each back end. The
/// standard deviation of request times is about their mean, so a few samples are not significant.
constexpr double kPriorSamples = 4.0;

}  // namespace

void TargetTimes::add(const std::vector<routing::TargetTime>& times) {
  for (const routing::TargetTime& report : times) {
    if (report.samples == 0) {
      continue;
    }
    Measurement& measurement = times_[report.backend];
    measurement.samples += report.samples;
    // Uses the plain mean until exponential smoothing gives new samples a higher weight.
    const double mean_weight = report.samples / measurement.samples;
    const double weight =
        std::max(mean_weight, std::min(kMaxReportWeight, sample_weight_ * report.samples));
    measurement.time_us += weight * (report.time_us - measurement.time_us);
  }
}

double TargetTimes::shrunk_time(const Measurement& measurement, double typical) {
  return (measurement.time_us * measurement.samples + typical * kPriorSamples) /
         (measurement.samples + kPriorSamples);
}

Capacities TargetTimes::capacities(const CellState& state) const {
  struct PoolSum {
    double log_times = 0;
    double count = 0;
  };
  std::map<common::PoolName, PoolSum> by_pool;
  for (const auto& [id, measurement] : times_) {
    const BackendRecord* backend = state.find_backend(id);
    if (backend != nullptr && measurement.time_us > 0) {
      PoolSum& sum = by_pool[backend->pool];
      sum.log_times += std::log(measurement.time_us);
      sum.count += 1;
    }
  }
  Capacities capacities;
  for (const auto& [id, measurement] : times_) {
    const BackendRecord* backend = state.find_backend(id);
    if (backend != nullptr && measurement.time_us > 0) {
      const PoolSum& sum = by_pool.at(backend->pool);
      const double typical = std::exp(sum.log_times / sum.count);
      const double time = shrunk_time(measurement, typical);
      capacities.set(id, std::clamp(typical / time, 1.0 / kMaxCapacityRatio, kMaxCapacityRatio));
    }
  }
  return capacities;
}

}  // namespace planktray::ownership
