/// RouterCore: targets, queues and retries of requests for native services.

#include <algorithm>

#include "router/core/router_core.hpp"

namespace planktray::router {

namespace {

using routing::NotRunReason;

/// Initial share of a target that was added after the first table.
constexpr double kInitialShare = 0.1;

}  // namespace

const std::vector<routing::WeightedTarget>& RouterCore::subset_of(
    const routing::TableService& service) {
  const auto [found, is_new] = subsets_.try_emplace(service.route.id);
  if (is_new) {
    const routing::SubsetInput input{options_.subset, router_rank_, router_count_,
                                     options_.minimum_subset,
                                     std::hash<std::string>{}(options_.name.value)};
    found->second = routing::choose_subset(service.route.targets, input);
  }
  return found->second;
}

void RouterCore::count_load(const Request& request) {
  if (request.keyed) {
    ++shard_loads_[{request.service, request.shard}];
  }
}

std::optional<BackendId> RouterCore::choose_backend(TimePoint now, const Request& request,
                                                    const routing::TableService& service,
                                                    QueueKey& queue) {
  if (!request.keyed) {
    return choose_unkeyed_backend(now, request, service);
  }
  const routing::ShardSlot& slot = service.shards[request.shard.value];
  if (slot.moving || table_.find_backend(slot.owner) == nullptr || has_ended(now, slot.owner)) {
    return std::nullopt;
  }
  queue.second = slot.owner;
  const auto queued = queues_.find(queue);
  const bool overtakes = queued != queues_.end() && !queued->second.empty();
  if (overtakes || !has_free_slot(now, slot.owner, service)) {
    return std::nullopt;
  }
  return slot.owner;
}

std::optional<BackendId> RouterCore::choose_unkeyed_backend(TimePoint now, const Request& request,
                                                            const routing::TableService& service) {
  std::vector<routing::Candidate> candidates;
  for (const routing::WeightedTarget& weighted : subset_of(service)) {
    const routing::BackendRoute* route = table_.find_backend(weighted.backend);
    if (route == nullptr || route->draining || request.refused_by.contains(weighted.backend) ||
        has_ended(now, weighted.backend) || !has_free_slot(now, weighted.backend, service)) {
      continue;
    }
    const Target& target = targets_[weighted.backend];
    double warmth = 1.0;
    if (!target.is_warm) {
      warmth = std::chrono::duration<double>(now - target.first_seen) / options_.warm_up;
      warmth = std::clamp(warmth, kInitialShare, 1.0);
    }
    candidates.push_back({weighted.backend, target.outstanding, weighted.weight * warmth});
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[routing::choose_target(candidates, options_.choice, round_robin_turn_++,
                                           random_)]
      .backend;
}

bool RouterCore::has_free_slot(TimePoint now, BackendId backend,
                               const routing::TableService& service) {
  const Target& target = targets_[backend];
  return !target.block.is_active(now) && target.outstanding < service.route.config.parameters.slots;
}

void RouterCore::forward(TimePoint now, Request& request, BackendId backend,
                         const routing::TableService& service) {
  ++targets_[backend].outstanding;
  Forward effect = begin_attempt(now, request, backend);
  effect.shard = request.shard;
  if (request.keyed) {
    effect.epoch = service.shards[request.shard.value].epoch;
  }
  output_.forwards.push_back(std::move(effect));
}

void RouterCore::enqueue(TimePoint now, Request& request, QueueKey queue,
                         const routing::TableService& service) {
  const config::ServiceTemplate& parameters = service.route.config.parameters;
  if (!request.keyed && service.route.targets.empty()) {
    answer_not_run(request, NotRunReason::kNoTarget, kRetryAfterUnavailable);
    return;
  }
  std::uint32_t& queued = queue_sizes_[request.service];
  if (queued >= parameters.queue_limit) {
    answer_not_run(request, NotRunReason::kQueueFull, options_.maximum_backoff);
    return;
  }
  auto& waiting = queues_[queue];
  const Duration expected = expected_wait(request, waiting.size(), queue.second, service);
  if (now + expected >= request.deadline) {
    answer_not_run(request, NotRunReason::kDeadline, expected);
    return;
  }
  ++queued;
  waiting.push_back(request.caller.handle);
  request.is_queued = true;
  request.queue = queue;
  if (!request.keyed && !request.refused_by.empty()) {
    request.refused_by.clear();  // all have refused: any of them may be tried again
    wakeups_.insert({now + options_.minimum_backoff, queue});
  }
  wake_when_unblocked(now, queue, service);
}

void RouterCore::wake_when_unblocked(TimePoint now, const QueueKey& queue,
                                     const routing::TableService& service) {
  if (queue.second.value != 0) {
    const Target& target = targets_[queue.second];
    if (target.block.is_active(now)) {
      wakeups_.insert({target.block.until(), queue});
    }
    return;
  }
  std::optional<TimePoint> first;
  for (const routing::WeightedTarget& weighted : subset_of(service)) {
    const Target& target = targets_[weighted.backend];
    if (target.block.is_active(now) && (!first.has_value() || target.block.until() < *first)) {
      first = target.block.until();
    }
  }
  if (first.has_value()) {
    wakeups_.insert({*first, queue});
  }
}

Duration RouterCore::expected_wait(const Request& request, std::size_t queued, BackendId backend,
                                   const routing::TableService& service) {
  const std::size_t slots = service.route.config.parameters.slots;
  if (request.keyed) {
    return targets_[backend].latency * static_cast<std::int64_t>(queued / slots + 1);
  }
  const std::size_t all_slots = slots * std::max<std::size_t>(1, subset_of(service).size());
  return service_latency_[request.service] * static_cast<std::int64_t>(queued / all_slots + 1);
}

void RouterCore::leave_queue(Request& request) {
  if (!request.is_queued) {
    return;
  }
  request.is_queued = false;
  std::erase(queues_[request.queue], request.caller.handle);
  --queue_sizes_[request.service];
}

void RouterCore::drain_queue(TimePoint now, const QueueKey& key) {
  const auto found = queues_.find(key);
  const routing::TableService* service = table_.find_service(key.first);
  if (found == queues_.end() || service == nullptr) {
    return;
  }
  while (!found->second.empty()) {
    Request& request = requests_.at(found->second.front());
    std::optional<BackendId> backend;
    if (key.second.value == 0) {
      backend = request.keyed ? std::nullopt : choose_unkeyed_backend(now, request, *service);
    } else if (has_free_slot(now, key.second, *service)) {
      backend = key.second;
    }
    if (!backend.has_value()) {
      wake_when_unblocked(now, key, *service);
      return;
    }
    leave_queue(request);
    forward(now, request, *backend, *service);
  }
}

void RouterCore::release_slot(BackendId backend) {
  Target& target = targets_[backend];
  target.outstanding -= target.outstanding > 0 ? 1 : 0;
}

void RouterCore::block(TimePoint now, BackendId backend) {
  targets_[backend].block.extend(now, options_.minimum_backoff, options_.maximum_backoff);
}

void RouterCore::retry_later(TimePoint now, Request& request) {
  if (!budget_.take(now)) {
    answer_not_run(request, NotRunReason::kBudgetSpent, kRetryAfterUnavailable);
    return;
  }
  ++counters_.retries;
  if (!request.keyed) {
    dispatch(now, request);  // another target may have a free slot
    return;
  }
  request.backoff =
      std::clamp(request.backoff * 2, options_.minimum_backoff, options_.maximum_backoff);
  const TimePoint when = now + request.backoff;
  if (when >= request.deadline) {
    answer_not_run(request, NotRunReason::kDeadline, kRetryAfterUnavailable);
    return;
  }
  retries_.insert({when, request.caller.handle});
}

}  // namespace planktray::router
