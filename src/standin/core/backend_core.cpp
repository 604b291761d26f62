#include "standin/core/backend_core.hpp"

#include <algorithm>

namespace planktray::standin {

using ownership::LeaseStatus;
using routing::Refusal;

// ---------------------------------------------------------------- leases

LeaseStatus LeaseHolder::on_lease(TimePoint now, const ownership::LeaseRequest& request) {
  (void)now;
  if (request.term < highest_term_) {
    return LeaseStatus::kStaleTerm;
  }
  highest_term_ = request.term;
  if (request.incarnation.value.empty()) {
    return LeaseStatus::kAccepted;  // first contact: the reply reports the incarnation, nothing is
                                    // granted
  }
  if (request.incarnation != incarnation_) {
    return LeaseStatus::kWrongIncarnation;
  }
  if (request.has_grants && request.grants_index >= grants_index_) {
    ++version_;
    grants_index_ = request.grants_index;
    digest_ = request.grants_digest;
    grants_.clear();
    for (const ownership::Grant& grant : request.grants) {
      for (std::uint32_t i = grant.first.value; i <= grant.last.value; ++i) {
        grants_[{grant.service, common::ShardNumber(i)}] = grant.epoch;
      }
    }
  }
  if (request.grants_digest != digest_) {
    return LeaseStatus::kGrantsNeeded;
  }
  expires_ = std::max(expires_, common::from_microseconds(request.expires_clock_us));
  return LeaseStatus::kAccepted;
}

bool LeaseHolder::on_release(const ownership::ReleaseRequest& request) {
  if (request.term < highest_term_ || request.incarnation != incarnation_) {
    return false;
  }
  highest_term_ = request.term;
  ++version_;
  for (const ownership::HeldShard& held : request.shards) {
    common::Epoch& released = released_[{held.service, held.shard}];
    released = std::max(released, held.epoch);
  }
  return true;
}

bool LeaseHolder::has_lease(TimePoint now) const { return now < expires_; }

std::optional<Refusal> LeaseHolder::check(TimePoint now, const ShardName& shard,
                                          common::Epoch epoch) const {
  if (!has_lease(now)) {
    return Refusal::kNoLease;
  }
  const auto granted = grants_.find(shard);
  const auto released = released_.find(shard);
  if (granted == grants_.end() ||
      (released != released_.end() && granted->second <= released->second)) {
    return Refusal::kNotOwner;
  }
  if (granted->second != epoch) {
    return Refusal::kStaleEpoch;
  }
  return std::nullopt;
}

std::vector<std::pair<ShardName, common::Epoch>> LeaseHolder::held(TimePoint now) const {
  std::vector<std::pair<ShardName, common::Epoch>> shards;
  for (const auto& [shard, epoch] : grants_) {
    if (!check(now, shard, epoch).has_value()) {
      shards.emplace_back(shard, epoch);
    }
  }
  return shards;
}

// ---------------------------------------------------------------- work

BackendCore::BackendCore(BackendOptions options)
    : options_(std::move(options)), holder_(options_.incarnation) {}

ownership::LeaseReply BackendCore::on_lease(TimePoint now, const ownership::LeaseRequest& request) {
  const LeaseStatus status = holder_.on_lease(now, request);
  ownership::LeaseReply reply = describe(now);
  reply.status = status;
  return reply;
}

ownership::LeaseReply BackendCore::describe(TimePoint now) const {
  ownership::LeaseReply reply;
  reply.incarnation = options_.incarnation;
  reply.clock_us = common::to_microseconds(now);
  reply.grants_digest = holder_.digest();
  reply.state = draining_ && !options_.ignore_drain ? ownership::BackendState::kDraining
                                                    : ownership::BackendState::kReady;
  reply.load = {running(), options_.slots, queued()};
  return reply;
}

void BackendCore::on_release(TimePoint now, ReleaseId id,
                             const ownership::ReleaseRequest& request) {
  if (!holder_.on_release(request)) {
    output_.releases.push_back({id, {}});
    return;
  }
  releases_.push_back({id, request.shards, now + std::chrono::milliseconds(request.wait_ms)});
  answer_releases(now);
}

std::optional<Refusal> BackendCore::check(TimePoint now, const WorkOrder& order) const {
  if (options_.ignore_fence) {
    return std::nullopt;
  }
  if (order.incarnation != options_.incarnation) {
    return Refusal::kWrongIncarnation;
  }
  if (now >= order.deadline) {
    return Refusal::kExpired;
  }
  if (order.keyed) {
    return holder_.check(now, {order.service, order.shard}, order.epoch);
  }
  return std::nullopt;
}

void BackendCore::on_work(TimePoint now, WorkId id, WorkOrder order) {
  std::optional<Refusal> refusal = check(now, order);
  if (!refusal.has_value() && draining_ && !order.keyed && !options_.ignore_drain) {
    refusal = Refusal::kDraining;
  }
  if (!refusal.has_value() && running_.size() >= options_.slots &&
      queue_.size() >= options_.queue_limit) {
    refusal = Refusal::kShed;
  }
  if (refusal.has_value()) {
    output_.done.push_back({id, refusal});
    return;
  }
  queue_.emplace_back(id, std::move(order));
  start_queued(now);
}

void BackendCore::start_queued(TimePoint now) {
  while (!queue_.empty() && running_.size() < options_.slots) {
    auto [id, order] = std::move(queue_.front());
    queue_.pop_front();
    if (const auto refusal = check(now, order)) {
      output_.done.push_back({id, refusal});
      continue;
    }
    running_[id] = std::move(order);
    output_.started.push_back({id});
  }
}

void BackendCore::on_work_finished(TimePoint now, WorkId id) {
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return;
  }
  // The fencing token is checked again before the effect becomes durable. A deadline that expires
  // while the work runs does not cancel it, and running work of a released epoch may finish.
  std::optional<Refusal> refusal;
  const WorkOrder& order = found->second;
  if (order.keyed && !options_.ignore_fence) {
    refusal = holder_.check(now, {order.service, order.shard}, order.epoch);
    const bool releasing =
        std::any_of(releases_.begin(), releases_.end(), [&](const PendingRelease& release) {
          return std::find(release.shards.begin(), release.shards.end(),
                           ownership::HeldShard{order.service, order.shard, order.epoch}) !=
                 release.shards.end();
        });
    if (refusal == Refusal::kNotOwner && releasing && holder_.has_lease(now)) {
      refusal.reset();
    }
  }
  output_.done.push_back({id, refusal});
  running_.erase(found);
  start_queued(now);
  answer_releases(now);
}

void BackendCore::on_work_cancelled(WorkId id) {
  std::erase_if(queue_, [id](const auto& item) { return item.first == id; });
}

void BackendCore::tick(TimePoint now) { answer_releases(now); }

bool BackendCore::runs_on(const ShardName& shard) const {
  return std::any_of(running_.begin(), running_.end(), [&](const auto& item) {
    return item.second.keyed && item.second.service == shard.first &&
           item.second.shard == shard.second;
  });
}

void BackendCore::answer_releases(TimePoint now) {
  std::vector<PendingRelease> remaining;
  for (PendingRelease& release : releases_) {
    ownership::ReleaseReply reply;
    reply.accepted = true;
    for (const ownership::HeldShard& held : release.shards) {
      (runs_on({held.service, held.shard}) ? reply.running : reply.released).push_back(held);
    }
    if (reply.running.empty() || now >= release.answer_by) {
      output_.releases.push_back({release.id, std::move(reply)});
    } else {
      remaining.push_back(std::move(release));
    }
  }
  releases_ = std::move(remaining);
}

}  // namespace planktray::standin
