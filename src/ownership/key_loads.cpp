#include "ownership/key_loads.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace planktray::ownership {
namespace {

/// Keys with a smaller rate, in requests per second, are dropped to bound the memory.
constexpr float kMinRate = 0.01F;
/// The least number of requests between two folds that is statistically significant.
constexpr float kSignificantCount = 6;

}  // namespace

void KeyLoads::add(const std::vector<routing::KeyLoad>& loads) {
  for (const routing::KeyLoad& load : loads) {
    if (load.key < config::kKeyCount) {
      services_[load.service].counted[load.key] += static_cast<float>(load.requests);
    }
  }
}

void KeyLoads::fold(common::TimePoint now) {
  const double seconds = std::chrono::duration<double>(now - folded_at_).count();
  folded_at_ = now;
  if (seconds <= 0) {
    return;
  }
  last_interval_s_ = seconds;
  const double half_lives = seconds / std::chrono::duration<double>(half_life_).count();
  const auto decay = static_cast<float>(std::exp2(-half_lives));
  const auto weight = static_cast<float>((1.0 - decay) / seconds);
  for (auto& [id, service] : services_) {
    service.burst = {};
    for (const auto& [key, count] : service.counted) {
      if (count >= kSignificantCount && count / seconds > service.burst.rate) {
        service.burst = {key, count / seconds};
      }
    }
    for (auto& [key, rate] : service.rates) {
      rate *= decay;
    }
    for (const auto& [key, count] : service.counted) {
      service.rates[key] += count * weight;
    }
    service.last_counts = std::exchange(service.counted, {});
    std::erase_if(service.rates, [](const auto& item) { return item.second < kMinRate; });
  }
}

void KeyLoads::clear(common::TimePoint now) {
  services_.clear();
  folded_at_ = now;
  cleared_at_ = now;
}

KeyRate KeyLoads::hottest(common::ServiceId service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return {};
  }
  KeyRate hottest = found->second.burst;
  for (const auto& [key, rate] : found->second.rates) {
    if (rate > hottest.rate) {
      hottest = {key, rate};
    }
  }
  return hottest;
}

double KeyLoads::rate(common::ServiceId service, std::uint32_t key) const {
  return rate(service, KeyRange{key, key});
}

double KeyLoads::rate(common::ServiceId service, const KeyRange& keys) const {
  double sum = 0;
  for (const KeyRate& busy : busy_keys(service, keys)) {
    sum += busy.rate;
  }
  return sum;
}

double KeyLoads::demand(common::ServiceId service, const KeyRange& keys) const {
  const auto found = services_.find(service);
  if (found == services_.end() || observed_time().count() <= 0) {
    return 0;
  }
  const double half_lives = std::chrono::duration<double>(observed_time()) / half_life_;
  const double smoothed = rate(service, keys) / (1.0 - std::exp2(-half_lives));
  double counted = 0;
  const auto& last = found->second.last_counts;
  for (auto item = last.lower_bound(keys.first); item != last.end() && item->first <= keys.last;
       ++item) {
    counted += item->second;
  }
  const double current = counted >= kSignificantCount ? counted / last_interval_s_ : 0;
  return std::max(smoothed, current);
}

std::vector<KeyRate> KeyLoads::busy_keys(common::ServiceId service, const KeyRange& keys) const {
  std::vector<KeyRate> busy;
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return busy;
  }
  const auto& rates = found->second.rates;
  for (auto item = rates.lower_bound(keys.first); item != rates.end() && item->first <= keys.last;
       ++item) {
    busy.push_back({item->first, item->second});
  }
  return busy;
}

}  // namespace planktray::ownership
