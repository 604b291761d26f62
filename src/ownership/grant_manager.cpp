#include "ownership/grant_manager.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace planktray::ownership {
namespace {

/// Returns the back end, or nullptr if it is unknown or its process has ended.
const BackendRecord* running_backend(const CellState& state, BackendId id) {
  const BackendRecord* backend = state.find_backend(id);
  return backend == nullptr || backend->ended ? nullptr : backend;
}

}  // namespace

bool has_heartbeat_grants(const CellState& state, BackendId id) {
  const BackendRecord* backend = state.find_backend(id);
  return backend != nullptr && backend->has_contract(OwnershipContract::kReportedGrant);
}

std::size_t renewable_owners(const GrantOptions& options) {
  const double hold_s = std::chrono::duration<double>(options.longest_hold_time).count();
  return static_cast<std::size_t>(options.renewals_per_second * hold_s /
                                  static_cast<double>(options.min_renewals_per_hold));
}

std::string_view to_string(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kAccepted:
      return "accepted";
    case OrderOutcome::kFenced:
      return "fenced";
    case OrderOutcome::kReplaced:
      return "gone";
    case OrderOutcome::kRefused:
      return "refused";
    case OrderOutcome::kNotSent:
      return "not-sent";
    case OrderOutcome::kUnanswered:
      return "unanswered";
  }
  return "unanswered";
}

Duration GrantManager::max_duration(Duration hold) const {
  const double holder_time = static_cast<double>(hold.count());
  const auto longest = static_cast<Duration::rep>(holder_time / (1.0 - options_.clock_error));
  return Duration(longest) + options_.margin;
}

Duration GrantManager::wanted_hold(const CellState& state) const {
  const Duration wanted = options_.hold_per_owner * static_cast<std::int64_t>(owners_);
  // Never shrinks: grants with the longer hold time may still be in use.
  return std::clamp(wanted, std::max<Duration>(options_.hold_time, state.grant_terms().hold()),
                    options_.longest_hold_time);
}

Duration GrantManager::renewal_interval() const {
  constexpr double kMicrosecondsPerSecond = 1e6;
  const double limited =
      kMicrosecondsPerSecond * static_cast<double>(owners_) / options_.renewals_per_second;
  return std::clamp(Duration(static_cast<Duration::rep>(limited)),
                    hold_ / options_.renewals_per_hold, hold_ / options_.min_renewals_per_hold);
}

void GrantManager::begin_term(TimePoint now, const CellState& state, LogIndex term_start) {
  active_ = true;
  term_start_ = term_start;
  holdings_.clear();
  orders_.clear();
  grants_in_flight_ = 0;
  rounds_.clear();
  reach_.clear();
  synced_.reset();
  next_due_ = now;
  paused_until_ = now;
  hold_ = std::max<Duration>(options_.hold_time, state.grant_terms().hold());
  earlier_answers_end_ = now + max_duration(options_.reported_hold_time);
  for (const auto& [id, service] : state.routed_services()) {
    for (const auto& [first, record] : service.ranges.records()) {
      if (record.owner.value == 0) {
        continue;
      }
      Holding holding;
      holding.owner = record.owner;
      holding.next_order = now;
      holding.by_heartbeat = has_heartbeat_grants(state, record.owner);
      holding.may_be_granted = true;
      if (holding.by_heartbeat) {
        holding.held_until = options_.wait_after_election ? earlier_answers_end_ : now;
      } else if (options_.wait_after_election) {
        holding.held_until = now + max_duration(hold_);
        const auto& in_doubt = state.grant_terms().in_doubt;
        const bool is_marked = std::binary_search(in_doubt.begin(), in_doubt.end(), record.owner);
        (is_marked ? holding.in_doubt_until : holding.presumed_until) = unanswered_end(now);
        const bool awaits_fence = !is_marked && !is_fence_of_term(record.fence);
        holding.next_order = awaits_fence ? now + options_.fence_wait : now;
      }
      holdings_[{id, record.keys, record.fence}] = holding;
    }
  }
}

void GrantManager::sync(TimePoint now, const CellState& state) {
  if (synced_ == state.ownership_changed()) {
    return;
  }
  // Entries of an earlier term may be applied only now, after its leader has acted on them.
  const bool may_include_earlier_grants = !synced_.has_value();
  synced_ = state.ownership_changed();
  next_due_ = now;
  hold_ = std::max<Duration>(options_.hold_time, state.grant_terms().hold());
  const Holdings before = std::exchange(holdings_, {});
  for (const auto& [id, service] : state.routed_services()) {
    for (const auto& [first, record] : service.ranges.records()) {
      if (record.owner.value == 0) {
        continue;
      }
      const HoldingKey key{id, record.keys, record.fence};
      Holding holding = derive_holding(now, state, key, record, before);
      holding.may_be_granted = holding.may_be_granted || may_include_earlier_grants;
      if (may_include_earlier_grants && !before.contains(key) && options_.wait_after_election) {
        holding.presumed_until = unanswered_end(now);
      }
      if (record.moving && !holding.moving) {
        holding.moving = true;
        holding.next_order = now + options_.release_delay;
      }
      holdings_[key] = holding;
    }
  }
  std::set<BackendId> owners;
  for (const auto& [key, holding] : holdings_) {
    if (!holding.by_heartbeat) {
      owners.insert(holding.owner);
    }
  }
  owners_ = owners.size();
  index_reported_holdings();
  const auto is_removed = [&](BackendId id) { return state.find_backend(id) == nullptr; };
  std::erase_if(rounds_, [&](const auto& item) { return is_removed(item.first); });
  reach_.forget(is_removed);
}

GrantManager::Holding GrantManager::derive_holding(TimePoint now, const CellState& state,
                                                   const HoldingKey& key, const RangeRecord& record,
                                                   const Holdings& before) const {
  const auto same = before.find(key);
  if (same != before.end()) {
    return same->second;
  }
  Holding holding;
  holding.owner = record.owner;
  holding.next_order = now;
  holding.by_heartbeat = has_heartbeat_grants(state, record.owner);
  holding.held_until =
      now + max_duration(holding.by_heartbeat ? options_.reported_hold_time : hold_);
  bool is_new = true;
  // Parts of a split range inherit the times of the whole range; a joined range has the latest
  // times of its parts.
  for (auto other = before.lower_bound({key.service, {0, 0}, Epoch()});
       other != before.end() && other->first.service == key.service &&
       other->first.keys.first <= key.keys.last;
       ++other) {
    const Holding& held = other->second;
    const bool is_part = other->first.fence <= key.fence && held.owner == record.owner &&
                         other->first.keys.overlaps(key.keys);
    if (!is_part) {
      continue;
    }
    holding.held_until = is_new ? held.held_until : std::max(holding.held_until, held.held_until);
    holding.in_doubt_until = std::max(holding.in_doubt_until, held.in_doubt_until);
    holding.presumed_until = std::max(holding.presumed_until, held.presumed_until);
    if (held.grants_in_flight > 0) {
      holding.in_doubt_until = std::max(holding.in_doubt_until, unanswered_end(now));
    }
    // Another fence needs a new grant, which is due immediately.
    holding.established = other->first.fence == key.fence && held.established;
    holding.in_last_answer = other->first.fence == key.fence && held.in_last_answer;
    holding.may_be_granted = holding.may_be_granted || held.may_be_granted;
    holding.owner_ended = holding.owner_ended || held.owner_ended;
    is_new = false;
  }
  holding.owner_ended = holding.owner_ended || state.find_backend(record.owner) == nullptr;
  return holding;
}

// ---------------------------------------------------------------- sending

void GrantManager::collect(TimePoint now, const CellState& state, std::vector<GrantOrder>& grants,
                           std::vector<ReleaseOrder>& releases) {
  if (!active_) {
    return;
  }
  if (now < paused_until_) {
    return;
  }
  sync(now, state);
  if (now < next_due_) {
    return;
  }
  paused_until_ = now + std::min<Duration>(options_.pause_per_holding *
                                               static_cast<std::int64_t>(holdings_.size()),
                                           options_.max_pause);
  collected_at_ = state.applied();
  Outgoing outgoing{grants, releases};
  send_releases(now, state, outgoing);
  send_first_grants(now, state, outgoing);
  send_rounds(now, state, outgoing);
  update_next_due(now);
}

template <typename Includes>
GrantManager::Holdings::iterator GrantManager::end_of_run(Holdings::iterator first,
                                                          const Includes& includes) {
  auto last = first;
  for (auto next = std::next(first); next != holdings_.end(); ++next) {
    const bool is_next = next->first.service == first->first.service &&
                         next->first.keys.first == last->first.keys.last + 1 &&
                         next->second.owner == first->second.owner && includes(*next);
    if (!is_next) {
      return next;
    }
    last = next;
  }
  return holdings_.end();
}

void GrantManager::send_grant(TimePoint now, const BackendRecord& backend, Order order,
                              const std::string& handover, Outgoing& outgoing) {
  const OrderId id = next_order_++;
  order.backend = backend.id;
  order.sent = now;
  order.hold = hold_;
  note_sent(id, order);
  ++grants_in_flight_;
  outgoing.grants.push_back({id, backend.id, backend.address, backend.incarnation, order.keys,
                             order.fence, hold_, handover});
}

void GrantManager::send_first_grants(TimePoint now, const CellState& state, Outgoing& outgoing) {
  for (auto& [key, holding] : holdings_) {
    if (!may_send_more()) {
      return;  // more are sent after the next reply
    }
    const bool is_due = !holding.established && !holding.moving && !holding.owner_ended &&
                        holding.grants_in_flight == 0 && now >= holding.next_order;
    if (!is_due || holding.refused || holding.by_heartbeat) {
      continue;
    }
    const BackendRecord* backend = running_backend(state, holding.owner);
    const RangeRecord* record = state.find_range(key.service, key.keys, key.fence);
    if (backend == nullptr || record == nullptr) {
      holding.owner_ended = true;
      continue;
    }
    if (!reach_.may_send(now, holding.owner)) {
      continue;
    }
    ++holding.grants_in_flight;
    send_grant(now, *backend, {key.service, key.keys, key.fence, {}, {}, {}, false, false},
               record->handover, outgoing);
  }
}

std::set<BackendId> GrantManager::due_rounds(TimePoint now) {
  std::map<BackendId, std::size_t> ranges;
  for (const auto& [key, holding] : holdings_) {
    if (holding.is_renewed()) {
      ++ranges[holding.owner];
    }
  }
  std::vector<std::pair<TimePoint, BackendId>> due;
  for (const auto& [backend, count] : ranges) {
    const Round& round = rounds_[backend];
    if (round.in_flight == 0 && now >= std::max(round.next, reach_.next_send(backend))) {
      due.emplace_back(round.next, backend);
    }
  }
  std::sort(due.begin(), due.end());
  std::set<BackendId> chosen;
  std::size_t grants = grants_in_flight_;
  for (const auto& [since, backend] : due) {
    if (grants >= options_.max_grants_in_flight) {
      break;  // more are sent after the next reply
    }
    chosen.insert(backend);
    grants += ranges[backend];
  }
  return chosen;
}

void GrantManager::send_rounds(TimePoint now, const CellState& state, Outgoing& outgoing) {
  const std::set<BackendId> due = due_rounds(now);
  if (due.empty()) {
    return;
  }
  for (auto& [key, holding] : holdings_) {
    if (!holding.is_renewed() || !due.contains(holding.owner)) {
      continue;
    }
    const BackendRecord* backend = running_backend(state, holding.owner);
    if (backend == nullptr) {
      holding.owner_ended = true;
      continue;
    }
    if (!reach_.may_send(now, holding.owner)) {
      continue;
    }
    Round& round = rounds_[holding.owner];
    round.next = now + renewal_interval();
    ++round.in_flight;
    ++holding.grants_in_flight;
    send_grant(now, *backend, {key.service, key.keys, key.fence, {}, {}, {}, false, true}, "",
               outgoing);
  }
}

void GrantManager::send_releases(TimePoint now, const CellState& state, Outgoing& outgoing) {
  for (auto first = holdings_.begin(); first != holdings_.end();) {
    const auto may_release = [&](const auto& item) {
      return item.second.moving && !item.second.released && !item.second.owner_ended &&
             !item.second.by_heartbeat && now >= item.second.next_order;
    };
    if (!may_release(*first)) {
      ++first;
      continue;
    }
    const HoldingKey& key = first->first;
    const BackendRecord* backend = running_backend(state, first->second.owner);
    const RangeRecord* record = state.find_range(key.service, key.keys, key.fence);
    if (backend == nullptr || record == nullptr) {
      first->second.owner_ended = true;
      ++first;
      continue;
    }
    if (!reach_.may_send(now, backend->id)) {
      ++first;
      continue;
    }
    const auto end = end_of_run(first, [&](const auto& item) {
      const RangeRecord* next =
          state.find_range(item.first.service, item.first.keys, item.first.fence);
      return may_release(item) && next != nullptr && next->moving_since == record->moving_since;
    });
    const Epoch fence =
        options_.release_with_new_fence ? Epoch(record->moving_since.value) : record->fence;
    const OrderId id = next_order_++;
    Order order{key.service, key.keys, fence, backend->id, now, Duration(0), true, false};
    for (auto item = first; item != end; ++item) {
      order.keys.last = item->first.keys.last;
      Duration& wait = item->second.release_backoff;
      wait = std::max(2 * wait, options_.release_interval);
      item->second.next_order = now + wait;
    }
    note_sent(id, order);
    outgoing.releases.push_back(
        {id, backend->id, backend->address, backend->incarnation, order.keys, fence});
    first = end;
  }
}

void GrantManager::update_next_due(TimePoint now) {
  next_due_ = TimePoint::max();
  for (const auto& [key, holding] : holdings_) {
    if (holding.released || holding.owner_ended) {
      continue;
    }
    const bool is_ungranted = !holding.established && holding.grants_in_flight == 0;
    const bool waits_for_order = holding.moving || (is_ungranted && may_send_more());
    const bool notifies_later = holding.by_heartbeat && holding.moving && holding.next_order > now;
    if ((waits_for_order && !holding.refused && !holding.by_heartbeat) || notifies_later) {
      next_due_ =
          std::min(next_due_, std::max(holding.next_order, reach_.next_send(holding.owner)));
    }
    const TimePoint deadline =
        holding.moving ? holding.held_until : holding.held_until - options_.withdraw_before_end;
    next_due_ = deadline > now ? std::min(next_due_, deadline) : next_due_;
  }
  for (const auto& [backend, round] : rounds_) {
    if (round.in_flight == 0 && may_send_more()) {
      next_due_ = std::min(next_due_, std::max(round.next, reach_.next_send(backend)));
    }
  }
}

void GrantManager::note_sent(OrderId id, Order order) {
  order.is_probe = reach_.note_sent(order.backend);
  order.made_at = collected_at_;
  orders_[id] = order;
}

void GrantManager::note_alive(TimePoint now, BackendId backend) {
  if (reach_.note_alive(now, backend)) {
    next_due_ = now;
  }
}

void GrantManager::verify_owner(TimePoint now, BackendId owner) {
  reach_.note_alive(now, owner);
  const auto round = rounds_.find(owner);
  if (round != rounds_.end()) {
    round->second.next = std::min(round->second.next, now);
  }
  for (auto& [key, holding] : holdings_) {
    if (holding.owner == owner) {
      holding.next_order = std::min(holding.next_order, now + options_.release_delay);
    }
  }
  next_due_ = now;
}

}  // namespace planktray::ownership
