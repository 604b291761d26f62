#include "ownership/grant_manager.hpp"

#include <algorithm>
#include <utility>

namespace planktray::ownership {
namespace {

/// The range that a holding is about, as it stands now.
const RangeRecord* record_of(const CellState& state, ServiceId service, const KeyRange& keys,
                             Epoch fence) {
  const auto found = state.routed_services().find(service);
  if (found == state.routed_services().end() || found->second.ranges.records().empty()) {
    return nullptr;
  }
  const RangeRecord& record = found->second.ranges.record_of(keys.first);
  return record.keys == keys && record.fence == fence ? &record : nullptr;
}

}  // namespace

std::string_view to_string(OrderEnd end) {
  switch (end) {
    case OrderEnd::kAccepted:
      return "accepted";
    case OrderEnd::kFenced:
      return "fenced";
    case OrderEnd::kGone:
      return "gone";
    case OrderEnd::kRefused:
      return "refused";
    case OrderEnd::kNotSent:
      return "not-sent";
    case OrderEnd::kUnanswered:
      return "unanswered";
  }
  return "unanswered";
}

Duration GrantManager::longest_hold() const {
  const double holder_time = static_cast<double>(options_.hold_time.count());
  const auto true_time = static_cast<Duration::rep>(holder_time / (1.0 - options_.clock_error));
  return Duration(true_time) + options_.margin;
}

void GrantManager::begin_term(TimePoint now, const CellState& state) {
  active_ = true;
  holdings_.clear();
  orders_.clear();
  synced_ = LogIndex();
  next_due_ = now;
  for (const auto& [id, service] : state.routed_services()) {
    for (const auto& [first, record] : service.ranges.records()) {
      if (record.owner.value == 0) {
        continue;
      }
      Holding holding;
      holding.owner = record.owner;
      holding.next_order = now;
      if (options_.wait_after_election) {
        holding.held_until = now + longest_hold();
        if (state.orders_in_doubt()) {
          holding.doubtful_until = now + options_.late_delivery + longest_hold();
        }
      }
      holdings_[{id, record.keys, record.fence}] = holding;
    }
  }
}

void GrantManager::sync(TimePoint now, const CellState& state) {
  if (synced_ == state.applied()) {
    return;
  }
  synced_ = state.applied();
  next_due_ = now;
  const std::map<HoldingKey, Holding> before = std::exchange(holdings_, {});
  for (const auto& [id, service] : state.routed_services()) {
    for (const auto& [first, record] : service.ranges.records()) {
      if (record.owner.value == 0) {
        continue;
      }
      const HoldingKey key{id, record.keys, record.fence};
      Holding holding = derive_holding(now, state, key, record, before);
      if (record.moving && !holding.moving) {
        holding.moving = true;
        holding.next_order = now + options_.release_delay;
      }
      holdings_[key] = holding;
    }
  }
}

GrantManager::Holding GrantManager::derive_holding(
    TimePoint now, const CellState& state, const HoldingKey& key, const RangeRecord& record,
    const std::map<HoldingKey, Holding>& before) const {
  const auto same = before.find(key);
  if (same != before.end()) {
    return same->second;
  }
  Holding holding;
  holding.owner = record.owner;
  holding.next_order = now;
  holding.held_until = now + longest_hold();
  bool is_new = true;
  // A part of a range is held as the whole was; joined ranges as the longest-held of them.
  for (const auto& [other, held] : before) {
    const bool is_part = other.service == key.service && other.fence == key.fence &&
                         other.keys.overlaps(key.keys) && held.owner == record.owner;
    if (!is_part) {
      continue;
    }
    holding.held_until = is_new ? held.held_until : std::max(holding.held_until, held.held_until);
    holding.doubtful_until = std::max(holding.doubtful_until, held.doubtful_until);
    if (held.under_way == UnderWay::kGrant) {
      holding.doubtful_until =
          std::max(holding.doubtful_until, now + options_.late_delivery + longest_hold());
    }
    holding.next_order = held.next_order;
    holding.gone = holding.gone || held.gone;
    is_new = false;
  }
  holding.gone = holding.gone || state.find_backend(record.owner) == nullptr;
  return holding;
}

void GrantManager::collect(TimePoint now, const CellState& state, std::vector<GrantOrder>& grants,
                           std::vector<ReleaseOrder>& releases) {
  if (!active_) {
    return;
  }
  sync(now, state);
  if (now < next_due_) {
    return;
  }
  next_due_ = TimePoint::max();
  for (auto& [key, holding] : holdings_) {
    if (holding.released || holding.gone) {
      continue;
    }
    const bool may_send = holding.under_way != UnderWay::kGrant;
    if (may_send && now >= holding.next_order) {
      send_order(now, state, key, holding, grants, releases);
    }
    if (may_send) {
      next_due_ = std::min(next_due_, holding.next_order);
    }
    const TimePoint turn =
        holding.moving ? holding.held_until : holding.held_until - options_.withdraw_before_end;
    next_due_ = turn > now ? std::min(next_due_, turn) : next_due_;
  }
}

void GrantManager::send_order(TimePoint now, const CellState& state, const HoldingKey& key,
                              Holding& holding, std::vector<GrantOrder>& grants,
                              std::vector<ReleaseOrder>& releases) {
  const RangeRecord* record = record_of(state, key.service, key.keys, key.fence);
  const BackendRecord* backend = state.find_backend(holding.owner);
  if (record == nullptr || backend == nullptr || backend->ended) {
    holding.gone = true;
    return;
  }
  if (holding.refused && !record->moving) {
    holding.next_order = now + options_.retry_interval;  // a withdrawal is on its way
    return;
  }
  const OrderId id = next_order_++;
  orders_[id] = {key, holding.owner, now, record->moving};
  holding.under_way = record->moving ? UnderWay::kRelease : UnderWay::kGrant;
  holding.next_order =
      now + (record->moving ? options_.release_interval : options_.renewal_interval);
  if (record->moving) {
    const Epoch fence =
        options_.release_with_new_fence ? Epoch(record->moving_since.value) : record->fence;
    releases.push_back({id, backend->id, backend->address, backend->incarnation, key.keys, fence});
    return;
  }
  grants.push_back({id, backend->id, backend->address, backend->incarnation, key.keys, key.fence,
                    options_.hold_time, record->handover});
}

std::optional<BackendId> GrantManager::on_reply(TimePoint now, OrderId id,
                                                const OrderReply& reply) {
  const auto found = orders_.find(id);
  if (!active_ || found == orders_.end()) {
    return std::nullopt;
  }
  const Order order = found->second;
  orders_.erase(found);
  for (auto& [key, holding] : holdings_) {
    const bool concerned = key.service == order.holding.service &&
                           key.fence == order.holding.fence &&
                           key.keys.overlaps(order.holding.keys) && holding.owner == order.backend;
    if (!concerned) {
      continue;
    }
    if (key == order.holding) {
      holding.under_way = UnderWay::kNothing;
    }
    holding.gone = holding.gone || reply.end == OrderEnd::kGone;
    if (!order.is_release) {
      take_grant_reply(now, order, reply, holding);
    } else if (order.holding.keys.contains(key.keys)) {
      take_release_reply(now, reply, holding);
    }
    next_due_ = std::min(next_due_, holding.next_order);
  }
  return order.backend;
}

void GrantManager::take_grant_reply(TimePoint now, const Order& order, const OrderReply& reply,
                                    Holding& holding) const {
  switch (reply.end) {
    case OrderEnd::kAccepted:
      holding.held_until = std::max(holding.held_until, now + longest_hold());
      holding.refused = false;
      break;
    case OrderEnd::kUnanswered:
      holding.doubtful_until =
          std::max(holding.doubtful_until, order.sent + options_.late_delivery + longest_hold());
      holding.next_order = std::max(now, order.sent + options_.retry_interval);
      break;
    case OrderEnd::kFenced:
      holding.refused = true;
      break;
    case OrderEnd::kNotSent:
    case OrderEnd::kRefused:
      holding.next_order = now + options_.retry_interval;
      break;
    case OrderEnd::kGone:
      break;
  }
}

void GrantManager::take_release_reply(TimePoint now, const OrderReply& reply,
                                      Holding& holding) const {
  if (reply.end == OrderEnd::kAccepted) {
    holding.released = true;
    holding.handover = reply.handover;
  } else {
    holding.next_order = now + options_.retry_interval;
  }
}

std::vector<RangeMove> GrantManager::withdrawals(TimePoint now, const CellState& state) const {
  std::vector<RangeMove> moves;
  for (const auto& [key, holding] : holdings_) {
    const RangeRecord* record = record_of(state, key.service, key.keys, key.fence);
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

GrantManager::Verdict GrantManager::may_assign(TimePoint now, const CellState& state,
                                               ServiceId service, const RangeRecord& record) const {
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
  if (holding.gone || backend == nullptr || backend->ended) {
    return {true, ""};
  }
  const bool answered_ended = now >= holding.held_until || !options_.wait_for_answered;
  const bool none_in_doubt = now >= holding.doubtful_until && holding.under_way != UnderWay::kGrant;
  return {answered_ended && (none_in_doubt || !options_.wait_for_unanswered), ""};
}

bool GrantManager::has_orders_in_doubt(TimePoint now) const {
  const bool one_is_late = std::any_of(orders_.begin(), orders_.end(), [&](const auto& item) {
    return !item.second.is_release && now - item.second.sent >= options_.doubt_after;
  });
  return one_is_late || std::any_of(holdings_.begin(), holdings_.end(), [&](const auto& item) {
           return item.second.doubtful_until > now && !item.second.released && !item.second.gone;
         });
}

}  // namespace planktray::ownership
