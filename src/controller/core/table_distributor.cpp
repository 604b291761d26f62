#include "controller/core/table_distributor.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace planktray::controller {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
/// Deltas are sent rather than a snapshot up to one for each of this many back ends: each delta is
/// about as large as the back ends of a snapshot.
constexpr std::size_t kBackendsPerDelta = 2;
/// Largest difference between the rates of two clocks, as a fraction.
constexpr double kClockRateDifference = 0.02;

common::Duration scaled(common::Duration time, double factor) {
  return common::Duration(
      static_cast<common::Duration::rep>(static_cast<double>(time.count()) * factor));
}

std::uint32_t whole_milliseconds(common::Duration time) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

}  // namespace

common::Duration paced_interval(std::size_t routers, double per_second) {
  return common::Duration(static_cast<common::Duration::rep>(static_cast<double>(routers) *
                                                             kMicrosecondsPerSecond / per_second));
}

void TableDistributor::begin_term(common::TimePoint now, common::Term term) {
  term_ = term;
  term_began_ = now;
  subscribers_.clear();
  routers_poll_ = false;
  limits_ = {{}, false};
  suspects_.clear();
  crowded_.reset();
  relays_.clear();
}

void TableDistributor::on_delta(routing::TableDelta delta) {
  if (delta.empty()) {
    return;
  }
  delta_lists_.clear();
  deltas_.push_back(std::move(delta));
  if (deltas_.size() > options_.retained_deltas) {
    deltas_.pop_front();
  }
}

void TableDistributor::on_hello(common::TimePoint now, const routing::RouterHello& hello,
                                common::LogIndex applied) {
  Subscriber& subscriber = subscribers_[hello.router];
  const bool was_rewound_recently =
      subscriber.rewound_at.has_value() && now - *subscriber.rewound_at < options_.resend_interval;
  const common::Duration timeout =
      subscriber.snapshot_in_flight ? options_.resend_interval : options_.confirmation_timeout;
  const bool is_late = !subscriber.sent_at.has_value() || now - *subscriber.sent_at >= timeout;
  if (hello.table_index < subscriber.sent &&
      (is_late || (hello.lacks_update && !was_rewound_recently))) {
    subscriber.sent = hello.table_index;
    subscriber.rewound_at = now;
  }
  if (hello.table_index.value > 0 && subscriber.snapshot_in_flight &&
      hello.table_index > subscriber.view.table_index) {
    subscriber.snapshot_in_flight = false;
    subscriber.sent_at.reset();
  }
  if (hello.table_index >= subscriber.unconfirmed) {
    subscriber.behind_since.reset();
  }
  subscriber.view = {hello.router, hello.address, hello.table_index, hello.serving, now};
  subscriber.clock_us = hello.clock_us;
  subscriber.clock_id = hello.clock_id;
  subscriber.reads_compressed = hello.reads_compressed;
  subscriber.polls = hello.polls_followers;
  subscriber.applied_at_earlier = std::exchange(subscriber.applied_at_hello, applied);
  subscriber.awaits_offer = hello.requests_snapshots && !hello.wants_snapshot;
  subscriber.hello_pending = true;
  relays_.on_hello(hello);
  update_polling();
}

std::vector<OutgoingTable> TableDistributor::collect(common::TimePoint now,
                                                     const ownership::CellState& state) {
  std::erase_if(subscribers_, [&](const auto& item) {
    const bool is_gone = !may_serve(now, item.second);
    if (is_gone) {
      relays_.remove(item.first);
    }
    return is_gone;
  });
  update_polling();
  std::vector<OutgoingTable> outgoing;
  next_due_ = common::TimePoint::max();
  snapshots_counted_ = snapshots_in_flight(now);
  auto next = subscribers_.lower_bound(resume_at_);
  auto rank = static_cast<std::uint32_t>(std::distance(subscribers_.begin(), next));
  for (std::size_t left = subscribers_.size(); left > 0; --left, ++next, ++rank) {
    if (next == subscribers_.end()) {
      next = subscribers_.begin();
      rank = 0;
    }
    if (outgoing.size() >= options_.updates_per_sweep) {
      next_due_ = now;
      break;
    }
    if (auto table = make_update(now, state, next->first, next->second, rank)) {
      outgoing.push_back(std::move(*table));
    }
  }
  resume_at_ = next == subscribers_.end() ? common::RouterName() : next->first;
  snapshots_counted_.reset();
  return outgoing;
}

std::optional<OutgoingTable> TableDistributor::answer(common::TimePoint now,
                                                      const ownership::CellState& state,
                                                      const common::RouterName& router) {
  const auto found = subscribers_.find(router);
  if (found == subscribers_.end()) {
    return std::nullopt;
  }
  const auto rank = std::distance(subscribers_.begin(), found);
  return make_update(now, state, router, found->second, static_cast<std::uint32_t>(rank));
}

std::optional<OutgoingTable> TableDistributor::answer_as_follower(
    common::TimePoint now, common::TimePoint current_as_of, const ownership::CellState& state,
    common::Term term, const routing::RouterHello& hello) {
  routing::TableUpdate update;
  update.cell = cell_;
  update.term = term;
  update.by_follower = true;
  update.clock_id = hello.clock_id;
  if (needs_snapshot(state, hello)) {
    const Deltas* snapshot =
        hello.wants_snapshot ? snapshot_as_follower(now, state, hello.router) : nullptr;
    if (snapshot == nullptr) {
      return std::nullopt;
    }
    update.deltas = *snapshot;
    update.current_index = snapshot_index_;
  } else if (hello.table_index > state.applied()) {
    return std::nullopt;
  } else {
    follower_snapshots_.erase(hello.router);
    update.base_index = hello.table_index;
    update.current_index = state.applied();
    // A router with a fast clock has counted more time than this follower since `current_as_of`.
    const Duration lag = scaled(now - current_as_of, 1 + kClockRateDifference);
    update.as_of_clock_us = hello.clock_us - lag.count();
    update.deltas = deltas_after(hello.table_index);
  }
  update.deltas.set_compressible(hello.reads_compressed);
  return OutgoingTable{hello.router, std::move(update)};
}

const TableDistributor::Deltas* TableDistributor::snapshot_as_follower(
    common::TimePoint now, const ownership::CellState& state, const common::RouterName& router) {
  std::erase_if(follower_snapshots_,
                [&](const auto& item) { return now - item.second >= options_.snapshot_timeout; });
  if (follower_snapshots_.size() >= options_.concurrent_snapshots) {
    return nullptr;
  }
  follower_snapshots_[router] = now;
  renew_snapshot(state);
  return &snapshot_;
}

bool TableDistributor::needs_snapshot(const ownership::CellState& state,
                                      const routing::RouterHello& hello) const {
  const bool is_behind = hello.table_index <= state.applied();
  return is_behind && !deltas_reach(hello.table_index, state);
}

bool TableDistributor::is_requested(const ownership::CellState& state) const {
  return state.backends().size() >= options_.requested_snapshot_backends;
}

bool TableDistributor::offers_snapshot(const ownership::CellState& state,
                                       const routing::RouterHello& hello) const {
  return hello.requests_snapshots && !hello.wants_snapshot && is_requested(state) &&
         needs_snapshot(state, hello);
}

std::optional<OutgoingTable> TableDistributor::make_update(common::TimePoint now,
                                                           const ownership::CellState& state,
                                                           const common::RouterName& name,
                                                           Subscriber& subscriber,
                                                           std::uint32_t rank) {
  const common::LogIndex newest = deltas_.empty() ? common::LogIndex() : deltas_.back().to;
  const common::LogIndex have = std::max(subscriber.view.table_index, subscriber.sent);
  const bool waiting = awaits_snapshot(now, subscriber);
  const bool has_update = have < newest && !waiting && !routers_poll_;
  if (!subscriber.hello_pending && !has_update) {
    return std::nullopt;
  }
  if (!subscriber.hello_pending && now < subscriber.next_update) {
    next_due_ = std::min(next_due_, subscriber.next_update);
    return std::nullopt;
  }
  const bool gets_no_changes = gets_changes_by_polls(subscriber);
  const bool gets_snapshot = !gets_no_changes && !deltas_reach(have, state);
  if (gets_snapshot && !may_send_snapshot(now, state, subscriber)) {
    return std::nullopt;
  }
  routing::TableUpdate update;
  update.cell = cell_;
  update.term = term_;
  update.echo_clock_us = subscriber.clock_us;
  update.clock_id = subscriber.clock_id;
  update.current_index = state.applied();
  update.as_of_clock_us = as_of_clock_us(subscriber, now);
  update.limits = limits_.limits;
  update.limits_are_complete = limits_.is_complete;
  update.suspects = suspects_;
  update.queues_are_known = crowded_.has_value();
  if (crowded_.has_value()) {
    update.crowded = *crowded_;
  }
  update.peers_are_listed = relays_.is_outdated(name);
  if (update.peers_are_listed) {
    update.peers = relays_.peers_of(name);
  }
  update.router_rank = rank;
  update.router_count = static_cast<std::uint32_t>(subscribers_.size());
  update.hello_interval_ms = whole_milliseconds(hello_interval());
  update.poll_interval_ms = routers_poll_ ? whole_milliseconds(options_.poll_interval) : 0;
  if (gets_no_changes) {
    update.base_index = update.current_index = subscriber.view.table_index;
    update.as_of_clock_us = routing::kLeaseOnly;
  } else if (!gets_snapshot) {
    update.base_index = have;
    update.deltas = deltas_after(have);
    subscriber.snapshot_in_flight = false;
  } else {
    renew_snapshot(state);
    update.deltas = snapshot_;
    update.current_index = snapshot_index_;
    if (snapshot_index_ != state.applied()) {
      // The snapshot lacks changes that are acknowledged already, so it confirms nothing. The
      // router states that it has it, and the answer brings the changes since then.
      update.echo_clock_us = 0;
      update.as_of_clock_us = 0;
    }
    subscriber.snapshot_in_flight = true;
    if (snapshots_counted_.has_value()) {
      ++*snapshots_counted_;
    }
  }
  update.deltas.set_compressible(subscriber.reads_compressed);
  if (!update.deltas.empty()) {
    subscriber.sent = update.current_index;
    subscriber.sent_at = now;
    if (!subscriber.behind_since.has_value()) {
      subscriber.behind_since = now;
      subscriber.unconfirmed = update.current_index;
    }
  }
  subscriber.hello_pending = false;
  subscriber.next_update = now + paced_interval(subscribers_.size(), update_rate_);
  return OutgoingTable{name, std::move(update)};
}

bool TableDistributor::gets_changes_by_polls(const Subscriber& subscriber) const {
  const common::LogIndex newest = deltas_.empty() ? common::LogIndex() : deltas_.back().to;
  const common::LogIndex has = subscriber.view.table_index;
  const bool keeps_up = subscriber.applied_at_earlier.value > 0 && has.value > 0 &&
                        has >= subscriber.applied_at_earlier;
  return routers_poll_ && subscriber.polls && keeps_up && has < newest;
}

void TableDistributor::renew_snapshot(const ownership::CellState& state) {
  const std::size_t reused_for = state.backends().size() / options_.backends_per_snapshot_delta;
  const bool leads_on = !snapshot_.empty() && deltas_reach(snapshot_index_, state);
  if (leads_on &&
      static_cast<std::size_t>(deltas_.cend() - first_after(snapshot_index_)) <= reused_for) {
    return;
  }
  snapshot_ = {state.table_snapshot()};
  snapshot_index_ = state.applied();
}

void TableDistributor::update_polling() {
  const common::Duration interval = paced_interval(subscribers_.size(), update_rate_);
  const bool has_slack = 2 * interval <= options_.longest_update_interval;
  routers_poll_ = interval > options_.longest_update_interval || (routers_poll_ && !has_slack);
}

std::int64_t TableDistributor::as_of_clock_us(const Subscriber& subscriber,
                                              common::TimePoint current_as_of) {
  // The router read its clock before its hello arrived here, and a slow clock has counted less time
  // since then, so the result is never later than that moment.
  const Duration since_hello =
      scaled(current_as_of - subscriber.view.last_hello, 1 - kClockRateDifference);
  return subscriber.clock_us + since_hello.count();
}

const TableDistributor::Deltas& TableDistributor::deltas_after(common::LogIndex have) {
  const auto [found, is_new] = delta_lists_.try_emplace(have);
  if (is_new) {
    found->second = Deltas(std::vector<routing::TableDelta>(first_after(have), deltas_.cend()));
  }
  return found->second;
}

common::Duration TableDistributor::hello_interval() const {
  return std::min(paced_interval(subscribers_.size(), options_.hellos_per_second),
                  options_.longest_hello_interval);
}

bool TableDistributor::may_send_snapshot(common::TimePoint now, const ownership::CellState& state,
                                         const Subscriber& subscriber) const {
  const bool is_offered = subscriber.awaits_offer && is_requested(state);
  if (is_offered || awaits_snapshot(now, subscriber)) {
    return false;
  }
  const std::size_t in_flight =
      snapshots_counted_.has_value() ? *snapshots_counted_ : snapshots_in_flight(now);
  return in_flight < options_.concurrent_snapshots;
}

bool TableDistributor::awaits_snapshot(common::TimePoint now, const Subscriber& subscriber) const {
  return subscriber.snapshot_in_flight && subscriber.sent_at.has_value() &&
         now - *subscriber.sent_at < options_.snapshot_timeout;
}

std::size_t TableDistributor::snapshots_in_flight(common::TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(subscribers_.begin(), subscribers_.end(),
                    [&](const auto& item) { return awaits_snapshot(now, item.second); }));
}

std::deque<routing::TableDelta>::const_iterator TableDistributor::first_after(
    common::LogIndex have) const {
  // Binary search: thousands of deltas are retained, and every update looks for its first one.
  return std::upper_bound(
      deltas_.begin(), deltas_.end(), have,
      [](common::LogIndex index, const routing::TableDelta& delta) { return index < delta.to; });
}

bool TableDistributor::deltas_reach(common::LogIndex have,
                                    const ownership::CellState& state) const {
  const bool reaches_back = have.value > 0 && (have == state.applied() ||
                                               (!deltas_.empty() && deltas_.front().from <= have));
  const std::size_t maximum =
      std::max(options_.maximum_deltas, state.backends().size() / kBackendsPerDelta);
  return reaches_back && static_cast<std::size_t>(deltas_.cend() - first_after(have)) <= maximum;
}

bool TableDistributor::may_serve(common::TimePoint now, const Subscriber& subscriber) const {
  return now - subscriber.view.last_hello <= options_.table_lease + options_.margin;
}

std::optional<common::LogIndex> TableDistributor::in_force(
    common::TimePoint now, const ownership::CellState& state) const {
  if (now - term_began_ <= options_.table_lease + options_.margin) {
    return std::nullopt;
  }
  common::LogIndex least = state.applied();
  for (const auto& [name, subscriber] : subscribers_) {
    if (may_serve(now, subscriber)) {
      least = std::min(least, subscriber.view.table_index);
    }
  }
  return least;
}

std::optional<TableDistributor::SlowestRouter> TableDistributor::slowest_router(
    common::TimePoint now) const {
  std::optional<SlowestRouter> slowest;
  for (const auto& [name, subscriber] : subscribers_) {
    const Duration age = now - subscriber.behind_since.value_or(now);
    if (age > (slowest.has_value() ? slowest->age : Duration(0))) {
      slowest = SlowestRouter{name, age};
    }
  }
  return slowest;
}

std::vector<RouterView> TableDistributor::routers(common::TimePoint now) const {
  std::vector<RouterView> views;
  for (const auto& [name, subscriber] : subscribers_) {
    if (may_serve(now, subscriber)) {
      views.push_back(subscriber.view);
    }
  }
  return views;
}

}  // namespace planktray::controller
