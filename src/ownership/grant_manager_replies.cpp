/// Replies to the orders of GrantManager, and what they allow: withdrawals, fences and assignments.

#include <algorithm>
#include <set>

#include "ownership/grant_manager.hpp"

namespace planktray::ownership {

void GrantManager::note_reachability(TimePoint now, const Order& order, const OrderReply& reply) {
  if (order.is_probe) {
    reach_.note_probe_ended();
  }
  if (reply.outcome == OrderOutcome::kNotSent) {
    return reach_.note_unreachable(now, order.backend, order.sent);
  }
  // A back end that accepts connections without replying may execute orders late: its reachability
  // stays unchanged.
  if (reply.outcome != OrderOutcome::kUnanswered && reach_.note_answer(order.backend)) {
    rounds_[order.backend].next = now;  // postponed renewals are due immediately
  }
}

std::optional<AnsweredOrder> GrantManager::on_reply(TimePoint now, OrderId id,
                                                    const OrderReply& reply) {
  const auto found = orders_.find(id);
  if (!active_ || found == orders_.end()) {
    return std::nullopt;
  }
  const Order order = found->second;
  const bool was_at_limit = !may_send_more();
  orders_.erase(found);
  grants_in_flight_ -= order.is_release ? 0 : 1;
  note_reachability(now, order, reply);
  for (auto item = first_affected_holding(order);
       item != holdings_.end() && item->first.service == order.service &&
       item->first.keys.first <= order.keys.last;
       ++item) {
    const HoldingKey& key = item->first;
    Holding& holding = item->second;
    const bool is_affected =
        key.fence <= order.fence && key.keys.overlaps(order.keys) && holding.owner == order.backend;
    if (!is_affected) {
      continue;
    }
    holding.owner_ended = holding.owner_ended || reply.outcome == OrderOutcome::kReplaced;
    if (!order.is_release) {
      holding.grants_in_flight -= holding.grants_in_flight > 0 ? 1 : 0;
      apply_grant_reply(now, order, reply, key, holding);
    } else if (order.keys.contains(key.keys)) {
      apply_release_reply(now, reply, holding);
    }
  }
  const auto round = rounds_.try_emplace(order.backend, Round{now + renewal_interval(), 0}).first;
  if (order.is_renewal) {
    round->second.in_flight -= round->second.in_flight > 0 ? 1 : 0;
    if (reply.outcome == OrderOutcome::kUnanswered || reply.outcome == OrderOutcome::kNotSent) {
      round->second.next =
          std::min(round->second.next, std::max(now, order.sent + options_.retry_interval));
    }
  }
  const bool affects_only_round =
      order.is_renewal && reply.outcome == OrderOutcome::kAccepted && !was_at_limit;
  next_due_ = affects_only_round ? std::min(next_due_, round->second.next) : now;
  return AnsweredOrder{order.backend, order.made_at};
}

GrantManager::Holdings::iterator GrantManager::first_affected_holding(const Order& order) {
  // Ranges of one service do not overlap: this is the range with the first key, or the next one.
  auto found = holdings_.lower_bound({order.service, {order.keys.first, 0}, Epoch()});
  if (found != holdings_.begin() && std::prev(found)->first.service == order.service) {
    --found;
  }
  return found;
}

void GrantManager::apply_grant_reply(TimePoint now, const Order& order, const OrderReply& reply,
                                     const HoldingKey& key, Holding& holding) const {
  switch (reply.outcome) {
    case OrderOutcome::kAccepted:
      holding.held_until = std::max(holding.held_until, now + max_duration(order.hold));
      if (is_fence_of_term(order.fence) && order.keys.contains(key.keys)) {
        holding.presumed_until = TimePoint();
      }
      if (key.fence == order.fence) {
        holding.refused = false;
        holding.established = holding.established || order.keys.contains(key.keys);
      }
      break;
    case OrderOutcome::kUnanswered:
      // It may have been queued behind other orders before it was sent.
      holding.in_doubt_until =
          std::max(holding.in_doubt_until, now + options_.late_delivery + max_duration(order.hold));
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

void GrantManager::apply_release_reply(TimePoint now, const OrderReply& reply,
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
    const bool has_ended = holding.owner_ended || backend == nullptr || backend->ended;
    const bool is_expiring = now + options_.withdraw_before_end >= holding.held_until;
    if (has_ended || holding.refused || is_expiring) {
      moves.push_back({key.service, key.keys, key.fence, BackendId()});
    }
  }
  return moves;
}

std::vector<RangeJoin> GrantManager::ranges_to_fence(TimePoint now, const CellState& state) const {
  std::vector<RangeJoin> ranges;
  for (const auto& [key, holding] : holdings_) {
    if (holding.by_heartbeat || holding.presumed_until <= now || is_fence_of_term(key.fence)) {
      continue;
    }
    const RangeRecord* record = state.find_range(key.service, key.keys, key.fence);
    if (record != nullptr && !record->moving) {
      ranges.push_back({key.service, key.keys, record->owner});
    }
  }
  return ranges;
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
  const bool was_never_granted = holding.by_heartbeat && !holding.may_be_granted;
  if (holding.owner_ended || backend == nullptr || backend->ended || was_never_granted) {
    return {true, ""};
  }
  const bool answered_expired = now >= holding.held_until || !options_.wait_for_answered;
  const bool none_in_doubt = now >= std::max(holding.in_doubt_until, holding.presumed_until) &&
                             holding.grants_in_flight == 0;
  return {answered_expired && (none_in_doubt || !options_.wait_for_unanswered), ""};
}

std::vector<BackendId> GrantManager::holders_in_doubt(TimePoint now) const {
  std::set<BackendId> in_doubt;
  for (const auto& [id, order] : orders_) {
    if (!order.is_release && now - order.sent >= options_.doubt_after) {
      in_doubt.insert(order.backend);
    }
  }
  for (const auto& [key, holding] : holdings_) {
    if (holding.in_doubt_until > now && !holding.released && !holding.owner_ended) {
      in_doubt.insert(holding.owner);
    }
  }
  return {in_doubt.begin(), in_doubt.end()};
}

}  // namespace planktray::ownership
