#include "ownership/grant_manager.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace planktray::ownership {
namespace {

/// The back end, unless its process is known to have ended.
const BackendRecord* running_backend(const CellState& state, BackendId id) {
  const BackendRecord* backend = state.find_backend(id);
  return backend == nullptr || backend->ended ? nullptr : backend;
}

}  // namespace

bool has_heartbeat_grants(const CellState& state, BackendId id) {
  const BackendRecord* backend = state.find_backend(id);
  return backend != nullptr && backend->has_contract(OwnershipContract::kReportedGrant);
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

Duration GrantManager::true_time(Duration hold) const {
  const double holder_time = static_cast<double>(hold.count());
  const auto longest = static_cast<Duration::rep>(holder_time / (1.0 - options_.clock_error));
  return Duration(longest) + options_.margin;
}

Duration GrantManager::wanted_hold(const CellState& state) const {
  const Duration wanted = options_.hold_per_owner * static_cast<std::int64_t>(owners_);
  // A hold that was used once may still be running somewhere: it never shrinks.
  return std::clamp(wanted, std::max<Duration>(options_.hold_time, state.grant_terms().hold()),
                    options_.longest_hold_time);
}

Duration GrantManager::renewal_interval() const {
  constexpr double kMicrosecondsPerSecond = 1e6;
  const double paced =
      kMicrosecondsPerSecond * static_cast<double>(owners_) / options_.renewals_per_second;
  return std::clamp(Duration(static_cast<Duration::rep>(paced)), hold_ / options_.renewals_per_hold,
                    hold_ / options_.least_renewals_per_hold);
}

void GrantManager::begin_term(TimePoint now, const CellState& state) {
  active_ = true;
  holdings_.clear();
  orders_.clear();
  grants_under_way_ = 0;
  rounds_.clear();
  reach_.clear();
  synced_.reset();
  next_due_ = now;
  rested_at_ = now;
  hold_ = std::max<Duration>(options_.hold_time, state.grant_terms().hold());
  earlier_answers_end_ = now + true_time(options_.reported_hold_time);
  for (const auto& [id, service] : state.routed_services()) {
    for (const auto& [first, record] : service.ranges.records()) {
      if (record.owner.value == 0) {
        continue;
      }
      Holding holding;
      holding.owner = record.owner;
      holding.next_order = now;
      holding.is_reported = has_heartbeat_grants(state, record.owner);
      holding.may_hold = true;
      if (holding.is_reported) {
        holding.held_until = options_.wait_after_election ? earlier_answers_end_ : now;
      } else if (options_.wait_after_election) {
        holding.held_until = now + true_time(hold_);
        const auto& in_doubt = state.grant_terms().in_doubt;
        const bool is_marked = std::binary_search(in_doubt.begin(), in_doubt.end(), record.owner);
        const TimePoint latest = now + options_.late_delivery + true_time(hold_);
        (is_marked ? holding.doubtful_until : holding.presumed_until) = latest;
      }
      holdings_[{id, record.keys, record.fence}] = holding;
    }
  }
}

void GrantManager::sync(TimePoint now, const CellState& state) {
  if (synced_ == state.ownership_changed()) {
    return;
  }
  // Entries of an earlier term may be applied only now: its leader may have acted on them.
  const bool may_be_told = !synced_.has_value();
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
      holding.may_hold = holding.may_hold || may_be_told;
      if (record.moving && !holding.moving) {
        holding.moving = true;
        holding.next_order = now + options_.release_delay;
      }
      holdings_[key] = holding;
    }
  }
  std::set<BackendId> owners;
  for (const auto& [key, holding] : holdings_) {
    if (!holding.is_reported) {
      owners.insert(holding.owner);
    }
  }
  owners_ = owners.size();
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
  holding.is_reported = has_heartbeat_grants(state, record.owner);
  holding.held_until = now + true_time(holding.is_reported ? options_.reported_hold_time : hold_);
  bool is_new = true;
  // A part of a range is held as the whole was; joined ranges as the longest-held of them.
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
    holding.doubtful_until = std::max(holding.doubtful_until, held.doubtful_until);
    holding.presumed_until = std::max(holding.presumed_until, held.presumed_until);
    if (held.grants_under_way > 0) {
      holding.doubtful_until =
          std::max(holding.doubtful_until, now + options_.late_delivery + true_time(hold_));
    }
    // Under another fence it is another grant, which is asked for at once.
    holding.established = other->first.fence == key.fence && held.established;
    holding.told = other->first.fence == key.fence && held.told;
    holding.may_hold = holding.may_hold || held.may_hold;
    holding.gone = holding.gone || held.gone;
    is_new = false;
  }
  holding.gone = holding.gone || state.find_backend(record.owner) == nullptr;
  return holding;
}

// ---------------------------------------------------------------- sending

void GrantManager::collect(TimePoint now, const CellState& state, std::vector<GrantOrder>& grants,
                           std::vector<ReleaseOrder>& releases) {
  if (!active_) {
    return;
  }
  if (now < rested_at_) {
    return;
  }
  sync(now, state);
  if (now < next_due_) {
    return;
  }
  rested_at_ = now + std::min<Duration>(
                         options_.rest_per_holding * static_cast<std::int64_t>(holdings_.size()),
                         options_.longest_rest);
  Outgoing outgoing{grants, releases};
  send_releases(now, state, outgoing);
  send_first_grants(now, state, outgoing);
  send_rounds(now, state, outgoing);
  find_next_due(now);
}

template <typename Joins>
GrantManager::Holdings::iterator GrantManager::end_of_run(Holdings::iterator first,
                                                          const Joins& joins) {
  auto last = first;
  for (auto next = std::next(first); next != holdings_.end(); ++next) {
    const bool is_next = next->first.service == first->first.service &&
                         next->first.keys.first == last->first.keys.last + 1 &&
                         next->second.owner == first->second.owner && joins(*next);
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
  ++grants_under_way_;
  outgoing.grants.push_back({id, backend.id, backend.address, backend.incarnation, order.keys,
                             order.fence, hold_, handover});
}

void GrantManager::send_first_grants(TimePoint now, const CellState& state, Outgoing& outgoing) {
  for (auto& [key, holding] : holdings_) {
    if (!may_send_more()) {
      return;  // the next answer makes room
    }
    const bool is_due = !holding.established && !holding.moving && !holding.gone &&
                        holding.grants_under_way == 0 && now >= holding.next_order;
    if (!is_due || holding.refused || holding.is_reported) {
      continue;
    }
    const BackendRecord* backend = running_backend(state, holding.owner);
    const RangeRecord* record = state.find_range(key.service, key.keys, key.fence);
    if (backend == nullptr || record == nullptr) {
      holding.gone = true;
      continue;
    }
    if (!reach_.may_try(now, holding.owner)) {
      continue;
    }
    ++holding.grants_under_way;
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
    if (round.under_way == 0 && now >= std::max(round.next, reach_.next_try(backend))) {
      due.emplace_back(round.next, backend);
    }
  }
  std::sort(due.begin(), due.end());
  std::set<BackendId> chosen;
  std::size_t grants = grants_under_way_;
  for (const auto& [since, backend] : due) {
    if (grants >= options_.grants_under_way) {
      break;  // the next answer makes room
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
      holding.gone = true;
      continue;
    }
    if (!reach_.may_try(now, holding.owner)) {
      continue;
    }
    Round& round = rounds_[holding.owner];
    round.next = now + renewal_interval();
    ++round.under_way;
    ++holding.grants_under_way;
    send_grant(now, *backend, {key.service, key.keys, key.fence, {}, {}, {}, false, true}, "",
               outgoing);
  }
}

void GrantManager::send_releases(TimePoint now, const CellState& state, Outgoing& outgoing) {
  for (auto first = holdings_.begin(); first != holdings_.end();) {
    const auto may_release = [&](const auto& item) {
      return item.second.moving && !item.second.released && !item.second.gone &&
             !item.second.is_reported && now >= item.second.next_order;
    };
    if (!may_release(*first)) {
      ++first;
      continue;
    }
    const HoldingKey& key = first->first;
    const BackendRecord* backend = running_backend(state, first->second.owner);
    const RangeRecord* record = state.find_range(key.service, key.keys, key.fence);
    if (backend == nullptr || record == nullptr) {
      first->second.gone = true;
      ++first;
      continue;
    }
    if (!reach_.may_try(now, backend->id)) {
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
      Duration& wait = item->second.release_wait;
      wait = std::max(2 * wait, options_.release_interval);
      item->second.next_order = now + wait;
    }
    note_sent(id, order);
    outgoing.releases.push_back(
        {id, backend->id, backend->address, backend->incarnation, order.keys, fence});
    first = end;
  }
}

void GrantManager::find_next_due(TimePoint now) {
  next_due_ = TimePoint::max();
  for (const auto& [key, holding] : holdings_) {
    if (holding.released || holding.gone) {
      continue;
    }
    const bool is_ungranted = !holding.established && holding.grants_under_way == 0;
    const bool waits_for_order = holding.moving || (is_ungranted && may_send_more());
    const bool is_sent_later = holding.is_reported && holding.moving && holding.next_order > now;
    if ((waits_for_order && !holding.refused && !holding.is_reported) || is_sent_later) {
      next_due_ = std::min(next_due_, std::max(holding.next_order, reach_.next_try(holding.owner)));
    }
    const TimePoint turn =
        holding.moving ? holding.held_until : holding.held_until - options_.withdraw_before_end;
    next_due_ = turn > now ? std::min(next_due_, turn) : next_due_;
  }
  for (const auto& [backend, round] : rounds_) {
    if (round.under_way == 0 && may_send_more()) {
      next_due_ = std::min(next_due_, std::max(round.next, reach_.next_try(backend)));
    }
  }
}

void GrantManager::note_sent(OrderId id, Order order) {
  order.is_try = reach_.note_sent(order.backend);
  orders_[id] = order;
}

void GrantManager::note_alive(TimePoint now, BackendId backend) {
  if (reach_.note_alive(now, backend)) {
    next_due_ = now;
  }
}

// ---------------------------------------------------------------- replies

void GrantManager::note_reach(TimePoint now, const Order& order, const OrderReply& reply) {
  if (order.is_try) {
    reach_.note_try_ended();
  }
  if (reply.outcome == OrderOutcome::kNotSent) {
    return reach_.note_unreached(now, order.backend, order.sent);
  }
  // One that takes connections and does not answer may carry orders out late: that says nothing.
  if (reply.outcome != OrderOutcome::kUnanswered && reach_.note_answer(order.backend)) {
    rounds_[order.backend].next = now;  // what was put off is due at once
  }
}

std::optional<BackendId> GrantManager::on_reply(TimePoint now, OrderId id,
                                                const OrderReply& reply) {
  const auto found = orders_.find(id);
  if (!active_ || found == orders_.end()) {
    return std::nullopt;
  }
  const Order order = found->second;
  const bool made_room = !may_send_more();
  orders_.erase(found);
  grants_under_way_ -= order.is_release ? 0 : 1;
  note_reach(now, order, reply);
  for (auto item = first_holding_at(order);
       item != holdings_.end() && item->first.service == order.service &&
       item->first.keys.first <= order.keys.last;
       ++item) {
    const HoldingKey& key = item->first;
    Holding& holding = item->second;
    const bool concerned =
        key.fence <= order.fence && key.keys.overlaps(order.keys) && holding.owner == order.backend;
    if (!concerned) {
      continue;
    }
    holding.gone = holding.gone || reply.outcome == OrderOutcome::kReplaced;
    if (!order.is_release) {
      holding.grants_under_way -= holding.grants_under_way > 0 ? 1 : 0;
      take_grant_reply(now, order, reply, key, holding);
    } else if (order.keys.contains(key.keys)) {
      take_release_reply(now, reply, holding);
    }
  }
  const auto round = rounds_.try_emplace(order.backend, Round{now + renewal_interval(), 0}).first;
  if (order.is_round) {
    round->second.under_way -= round->second.under_way > 0 ? 1 : 0;
    if (reply.outcome == OrderOutcome::kUnanswered || reply.outcome == OrderOutcome::kNotSent) {
      round->second.next =
          std::min(round->second.next, std::max(now, order.sent + options_.retry_interval));
    }
  }
  const bool changes_nothing_else =
      order.is_round && reply.outcome == OrderOutcome::kAccepted && !made_room;
  next_due_ = changes_nothing_else ? std::min(next_due_, round->second.next) : now;
  return order.backend;
}

GrantManager::Holdings::iterator GrantManager::first_holding_at(const Order& order) {
  // Ranges of one service do not overlap: the one that holds the first key, or the next.
  auto found = holdings_.lower_bound({order.service, {order.keys.first, 0}, Epoch()});
  if (found != holdings_.begin() && std::prev(found)->first.service == order.service) {
    --found;
  }
  return found;
}

void GrantManager::take_grant_reply(TimePoint now, const Order& order, const OrderReply& reply,
                                    const HoldingKey& key, Holding& holding) const {
  switch (reply.outcome) {
    case OrderOutcome::kAccepted:
      holding.held_until = std::max(holding.held_until, now + true_time(order.hold));
      holding.presumed_until = TimePoint();
      if (key.fence == order.fence) {
        holding.refused = false;
        holding.established = holding.established || order.keys.contains(key.keys);
      }
      break;
    case OrderOutcome::kUnanswered:
      // It may have waited for others before it was sent.
      holding.doubtful_until =
          std::max(holding.doubtful_until, now + options_.late_delivery + true_time(order.hold));
      holding.next_order = std::max(now, order.sent + options_.retry_interval);
      break;
    case OrderOutcome::kFenced:
      holding.refused = true;
      break;
    case OrderOutcome::kNotSent:
    case OrderOutcome::kRefused:
      holding.next_order = now + options_.retry_interval;
      break;
    case OrderOutcome::kReplaced:
      break;
  }
}

void GrantManager::take_release_reply(TimePoint now, const OrderReply& reply,
                                      Holding& holding) const {
  if (reply.outcome == OrderOutcome::kAccepted) {
    holding.released = true;
    holding.handover = reply.handover;
  } else {
    holding.next_order = std::min(holding.next_order, now + options_.retry_interval);
  }
}

std::vector<RangeMove> GrantManager::withdrawals(TimePoint now, const CellState& state) const {
  std::vector<RangeMove> moves;
  for (const auto& [key, holding] : holdings_) {
    const RangeRecord* record = state.find_range(key.service, key.keys, key.fence);
    if (record == nullptr || record->moving) {
      continue;
    }
    const BackendRecord* backend = state.find_backend(holding.owner);
    const bool ended = holding.gone || backend == nullptr || backend->ended;
    const bool runs_out = now + options_.withdraw_before_end >= holding.held_until;
    if (ended || holding.refused || runs_out) {
      moves.push_back({key.service, key.keys, key.fence, BackendId()});
    }
  }
  return moves;
}

GrantManager::Availability GrantManager::may_assign(TimePoint now, const CellState& state,
                                                    ServiceId service,
                                                    const RangeRecord& record) const {
  if (record.owner.value == 0) {
    return {true, ""};
  }
  const auto found = holdings_.find({service, record.keys, record.fence});
  if (!record.moving || found == holdings_.end()) {
    return {};
  }
  const Holding& holding = found->second;
  if (holding.released) {
    return {true, holding.handover};
  }
  const BackendRecord* backend = state.find_backend(record.owner);
  const bool was_never_told = holding.is_reported && !holding.may_hold;
  if (holding.gone || backend == nullptr || backend->ended || was_never_told) {
    return {true, ""};
  }
  const bool answered_ended = now >= holding.held_until || !options_.wait_for_answered;
  const bool none_in_doubt = now >= std::max(holding.doubtful_until, holding.presumed_until) &&
                             holding.grants_under_way == 0;
  return {answered_ended && (none_in_doubt || !options_.wait_for_unanswered), ""};
}

std::vector<BackendId> GrantManager::holders_in_doubt(TimePoint now) const {
  std::set<BackendId> doubtful;
  for (const auto& [id, order] : orders_) {
    if (!order.is_release && now - order.sent >= options_.doubt_after) {
      doubtful.insert(order.backend);
    }
  }
  for (const auto& [key, holding] : holdings_) {
    if (holding.doubtful_until > now && !holding.released && !holding.gone) {
      doubtful.insert(holding.owner);
    }
  }
  return {doubtful.begin(), doubtful.end()};
}

}  // namespace planktray::ownership
