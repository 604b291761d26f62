#include "ownership/lease_manager.hpp"

#include <algorithm>
#include <utility>

namespace planktray::ownership {

LeaseManager::LeaseManager(common::CellName cell, LeaseOptions options)
    : cell_(std::move(cell)), options_(options) {}

void LeaseManager::begin_term(TimePoint now, common::Term term, const CellState& state) {
  active_ = true;
  term_ = term;
  earliest_loss_ = now + max_remaining_lease();
  sessions_.clear();
  synced_ = LogIndex();
  next_contact_ = now;
  released_.clear();
  new_incarnations_.clear();
  sync_sessions(now, state);
}

Duration LeaseManager::max_remaining_lease() const {
  return options_.wait_after_election ? options_.time_to_live + options_.margin : Duration(0);
}

void LeaseManager::sync_sessions(TimePoint now, const CellState& state) {
  if (synced_ == state.applied()) {
    return;
  }
  synced_ = state.applied();
  std::erase_if(sessions_,
                [&](const auto& item) { return state.find_backend(item.first) == nullptr; });
  for (const auto& [id, backend] : state.backends()) {
    if (backend.has_contract(OwnershipContract::kHolderClockLease) && !sessions_.contains(id)) {
      Session session;
      session.next_renewal = now;
      session.owner_until = std::max(earliest_loss_, now + max_remaining_lease());
      sessions_[id] = std::move(session);
    }
  }
}

void LeaseManager::collect(TimePoint now, const CellState& state,
                           const membership::MachineList& machines,
                           std::vector<OutgoingLease>& leases,
                           std::vector<OutgoingRelease>& releases) {
  if (!active_) {
    return;
  }
  sync_sessions(now, state);
  contact_new_machines(now, state, machines, leases);
  for (auto& [id, session] : sessions_) {
    const BackendRecord& backend = *state.find_backend(id);
    if (session.replaced || session.loss_proposed) {
      continue;
    }
    if (now >= session.next_renewal) {
      leases.push_back(
          {backend.machine, backend.address, id, make_renewal(backend, session, state)});
      session.next_renewal = now + options_.renewal_interval;
    }
  }
  collect_releases(now, state, releases);
}

void LeaseManager::contact_new_machines(TimePoint now, const CellState& state,
                                        const membership::MachineList& machines,
                                        std::vector<OutgoingLease>& leases) {
  if (now < next_contact_) {
    return;
  }
  next_contact_ = now + options_.contact_interval;
  std::set<common::MachineName> registered;
  for (const auto& [id, session] : sessions_) {
    if (!session.replaced) {
      registered.insert(state.find_backend(id)->machine);
    }
  }
  for (const auto& [name, machine] : machines.machines) {
    if (machine.leaving || registered.contains(name)) {
      continue;
    }
    LeaseRequest request;
    request.cell = cell_;
    request.term = term_;
    leases.push_back({machine.name, machine.address, BackendId(), std::move(request)});
  }
}

LeaseRequest LeaseManager::make_renewal(const BackendRecord& backend, Session& session,
                                        const CellState& state) {
  if (session.grants.index != backend.grants_index || session.grants.digest.empty()) {
    session.grants = state.grants_of(backend.id);
  }
  LeaseRequest request;
  request.cell = cell_;
  request.term = term_;
  request.incarnation = backend.incarnation;
  request.grants_index = session.grants.index;
  request.grants_digest = session.grants.digest;
  if (session.acknowledged_at.has_value()) {
    request.expires_clock_us = session.acknowledged_clock_us + options_.time_to_live.count();
    session.owner_until = std::max(
        session.owner_until, *session.acknowledged_at + options_.time_to_live + options_.margin);
  }
  request.has_grants = session.held_digest != session.grants.digest;
  if (request.has_grants) {
    request.grants = session.grants.grants;
  }
  ++session.unanswered;
  return request;
}

void LeaseManager::collect_releases(TimePoint now, const CellState& state,
                                    std::vector<OutgoingRelease>& releases) {
  std::erase_if(released_, [&](const HeldShard& held) {
    const ServiceRecord* service = state.find_service(held.service);
    return service == nullptr || held.shard.value >= service->shards.size() ||
           service->shards[held.shard.value].epoch != held.epoch;
  });
  std::map<BackendId, std::vector<HeldShard>> wanted;
  for (const common::ShardRef& ref : state.moving()) {
    const ServiceRecord& service = state.services().at(ref.service);
    const ShardRecord& shard = service.shards[ref.shard.value];
    const HeldShard held{service.config.key, ref.shard, shard.epoch};
    if (!released_.contains(held)) {
      wanted[shard.owner].push_back(held);
    }
  }
  for (auto& [id, shards] : wanted) {
    const auto found = sessions_.find(id);
    if (found == sessions_.end() || found->second.replaced ||
        (found->second.release_due.has_value() && now < *found->second.release_due)) {
      continue;
    }
    const BackendRecord& backend = *state.find_backend(id);
    found->second.release_due = now + options_.release_wait + options_.release_retry;
    ReleaseRequest request{cell_, term_, backend.incarnation, std::move(shards),
                           static_cast<std::uint32_t>(options_.release_wait.count() / 1000)};
    releases.push_back({backend.address, id, std::move(request)});
  }
}

void LeaseManager::renew_now(BackendId backend) {
  const auto found = sessions_.find(backend);
  if (found != sessions_.end()) {
    found->second.next_renewal = TimePoint();
  }
}

void LeaseManager::on_lease_reply(TimePoint now, const common::MachineName& machine,
                                  BackendId backend, const LeaseReply& reply) {
  if (!active_ || reply.status == LeaseStatus::kStaleTerm) {
    return;
  }
  const auto found = sessions_.find(backend);
  if (found == sessions_.end()) {
    if (!reply.incarnation.value.empty()) {
      new_incarnations_.push_back({machine, reply.incarnation});
    }
    return;
  }
  Session& session = found->second;
  if (reply.status == LeaseStatus::kWrongIncarnation) {
    session.replaced = true;
    if (!reply.incarnation.value.empty()) {
      new_incarnations_.push_back({machine, reply.incarnation});
    }
    return;
  }
  if (!session.acknowledged_at.has_value() || reply.clock_us > session.acknowledged_clock_us) {
    const bool is_first = !session.acknowledged_at.has_value();
    session.unanswered = 0;
    session.acknowledged_at = now;
    session.acknowledged_clock_us = reply.clock_us;
    session.held_digest = reply.grants_digest;
    session.state = reply.state;
    if (is_first || reply.status == LeaseStatus::kGrantsNeeded) {
      session.next_renewal = now;  // there is no lease yet, or this reply did not extend it
    }
  }
}

void LeaseManager::on_release_reply(BackendId backend, const ReleaseReply& reply) {
  const auto found = sessions_.find(backend);
  if (!active_ || found == sessions_.end()) {
    return;
  }
  found->second.release_due.reset();
  if (reply.accepted) {
    released_.insert(reply.released.begin(), reply.released.end());
  }
}

void LeaseManager::on_release_failure(BackendId backend) {
  const auto found = sessions_.find(backend);
  if (found != sessions_.end() && found->second.release_due.has_value()) {
    found->second.release_due =
        std::min(*found->second.release_due, *found->second.release_due - options_.release_wait);
  }
}

std::vector<BackendId> LeaseManager::lost(TimePoint now) const {
  std::vector<BackendId> ids;
  if (!active_ || now < earliest_loss_) {
    return ids;
  }
  for (const auto& [id, session] : sessions_) {
    const bool is_unresponsive =
        session.replaced || session.unanswered >= options_.minimum_unanswered;
    if (is_unresponsive && now >= session.owner_until) {
      ids.push_back(id);
    }
  }
  return ids;
}

void LeaseManager::end_sessions(const std::vector<BackendId>& backends) {
  for (const BackendId id : backends) {
    const auto found = sessions_.find(id);
    if (found != sessions_.end()) {
      found->second.loss_proposed = true;
    }
  }
}

std::vector<NewIncarnation> LeaseManager::take_new_incarnations() {
  return std::exchange(new_incarnations_, {});
}

BackendState LeaseManager::backend_state(BackendId backend) const {
  const auto found = sessions_.find(backend);
  return found == sessions_.end() ? BackendState::kCold : found->second.state;
}

std::optional<TimePoint> LeaseManager::last_answer(BackendId backend) const {
  const auto found = sessions_.find(backend);
  return found == sessions_.end() ? std::nullopt : found->second.acknowledged_at;
}

}  // namespace planktray::ownership
