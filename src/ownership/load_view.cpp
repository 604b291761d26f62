#include "ownership/load_view.hpp"

#include <cmath>

#include "config/declaration.hpp"

namespace planktray::ownership {

void LoadView::add(const std::vector<routing::ShardLoad>& loads) {
  for (const routing::ShardLoad& load : loads) {
    if (load.shard.value >= config::kMaxShardsPerService) {
      continue;
    }
    ServiceLoad& service = services_[load.service];
    if (load.shard.value >= service.counted.size()) {
      service.counted.resize(load.shard.value + 1);
      service.rates.resize(load.shard.value + 1);
    }
    service.counted[load.shard.value] += load.requests;
  }
}

void LoadView::fold(common::TimePoint now) {
  const double seconds = std::chrono::duration<double>(now - folded_at_).count();
  folded_at_ = now;
  if (seconds <= 0) {
    return;
  }
  const double half_lives = seconds / std::chrono::duration<double>(half_life_).count();
  const double decay = std::exp2(-half_lives);
  for (auto& [id, service] : services_) {
    for (std::size_t i = 0; i < service.rates.size(); ++i) {
      service.rates[i] = service.rates[i] * decay + (service.counted[i] / seconds) * (1.0 - decay);
      service.counted[i] = 0;
    }
  }
}

double LoadView::rate(common::ServiceId service, common::ShardNumber shard) const {
  const auto found = services_.find(service);
  if (found == services_.end() || shard.value >= found->second.rates.size()) {
    return 0.0;
  }
  return found->second.rates[shard.value];
}

void LoadView::clear() { services_.clear(); }

}  // namespace planktray::ownership
