#include "sim/measures.hpp"

#include <algorithm>

namespace planktray::sim {

std::string_view to_string(GapCause cause) {
  switch (cause) {
    case GapCause::kMove:
      return "move";
    case GapCause::kLoss:
      return "loss";
    case GapCause::kLapse:
      return "lapse";
  }
  return "";
}

void Measures::begin(TimePoint now) {
  counting_ = true;
  began_ = now;
}

void Measures::on_told(routing::Outcome outcome, Duration latency) {
  if (!counting_) {
    return;
  }
  ++told_[static_cast<std::size_t>(outcome)];
  if (outcome == routing::Outcome::kAnswered) {
    latency_.add(latency);
  }
}

void Measures::on_executed(TimePoint now, const std::string& service, const std::string& machine) {
  if (counting_) {
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    ++loads_[service][second][machine];
  }
}

void Measures::on_hold_ended(TimePoint now, const std::string& shard, GapCause cause) {
  ShardView& view = shards_[shard];
  view.free_since = now;
  view.cause = cause;
  view.is_free = true;
}

void Measures::on_hold_began(TimePoint now, const std::string& shard,
                             const std::string& incarnation) {
  ShardView& view = shards_[shard];
  if (counting_ && !view.last_owner.empty() && view.last_owner != incarnation) {
    ++owner_changes_;
  }
  if (counting_ && view.is_free) {
    const Duration gap = now - view.free_since;
    gaps_[static_cast<std::size_t>(view.cause)].add(gap);
    gap_totals_[static_cast<std::size_t>(view.cause)] += gap;
  }
  view.last_owner = incarnation;
  view.is_free = false;
}

std::vector<double> Measures::imbalance(const std::string& service) const {
  std::vector<double> values;
  const auto found = loads_.find(service);
  const auto targets = targets_.find(service);
  if (found == loads_.end() || targets == targets_.end()) {
    return values;
  }
  for (const auto& [second, machines] : found->second) {
    double total = 0;
    double highest = 0;
    for (const auto& [machine, count] : machines) {
      total += count;
      highest = std::max(highest, static_cast<double>(count));
    }
    values.push_back(highest * static_cast<double>(targets->second) / total);
  }
  std::sort(values.begin(), values.end());
  return values;
}

std::vector<std::string> Measures::services() const {
  std::vector<std::string> names;
  for (const auto& [name, targets] : targets_) {
    names.push_back(name);
  }
  return names;
}

}  // namespace planktray::sim
