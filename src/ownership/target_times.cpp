#include "ownership/target_times.hpp"

#include <algorithm>
#include <cmath>

namespace planktray::ownership {
namespace {

/// Weight of one new sample; a report counts as many samples as it has.
constexpr double kSampleWeight = 0.04;
constexpr double kMostWeight = 0.6;

}  // namespace

void TargetTimes::add(const std::vector<routing::TargetTime>& times) {
  for (const routing::TargetTime& report : times) {
    const auto [found, is_new] = times_.try_emplace(report.backend, report.time_us);
    if (!is_new) {
      const double weight = std::min(kMostWeight, kSampleWeight * report.samples);
      found->second += weight * (report.time_us - found->second);
    }
  }
}

double TargetTimes::capacity(const CellState& state, const BackendRecord& backend) const {
  const auto own = times_.find(backend.id);
  if (own == times_.end() || own->second <= 0) {
    return 1.0;
  }
  double sum = 0;
  double count = 0;
  for (const auto& [id, time] : times_) {
    const BackendRecord* other = state.find_backend(id);
    if (other != nullptr && other->pool == backend.pool && time > 0) {
      sum += std::log(time);
      count += 1;
    }
  }
  const double typical = std::exp(sum / count);
  return std::clamp(typical / own->second, 1.0 / kMostSpread, kMostSpread);
}

}  // namespace planktray::ownership
