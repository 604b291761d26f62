/// RouterCore: table updates from controllers, hellos to them, and the search for the leader.

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "router/core/router_core.hpp"

namespace planktray::router {
namespace {

/// Number of unanswered hellos after which hellos go to every controller.
constexpr int kUnansweredHellos = 2;
/// For this long after the first offer of a snapshot only controllers of the own zone are asked.
constexpr Duration kOwnZoneOfferWait = std::chrono::milliseconds(100);
/// An offer without another one for this long is forgotten.
constexpr Duration kOfferValidity = std::chrono::milliseconds(3000);
/// A requested snapshot that has not arrived after this time is requested again.
constexpr Duration kSnapshotRequestInterval = std::chrono::milliseconds(1500);

}  // namespace

std::vector<std::string> RouterCore::controllers() const {
  std::vector<std::string> controllers = directory_.all();
  if (!leader_.empty() && !directory_.contains(leader_)) {
    controllers.push_back(leader_);
  }
  return controllers;
}

void RouterCore::on_controller_list(TimePoint now, const routing::ControllerList& list) {
  if (list.cell != options_.cell) {
    return;
  }
  if (directory_.update(list)) {
    polls_.keep_only(directory_.members());
  }
  if (!list.leader.empty()) {
    freshness_.on_answered();
  }
  if (list.offers_snapshot) {
    consider_offer(now, list);
  }
  if (list.leader.empty() || list.term <= leader_term_) {
    return;  // outdated, or names the known leader, which may be slow to answer
  }
  ++counters_.leader_announcements;
  leader_ = list.leader;
  leader_term_ = list.term;
  leader_last_seen_ = now;
  const Duration wait(static_cast<Duration::rep>(common::uniform(
      random_, 0, static_cast<std::uint64_t>(options_.leader_search.announcement_spread.count()))));
  next_hello_ = std::min(next_hello_, now + wait);
}

void RouterCore::consider_offer(TimePoint now, const routing::ControllerList& list) {
  if (now >= offer_expires_) {
    // The first offer after a time without any.
    first_offer_ = now;
  }
  offer_expires_ = now + kOfferValidity;
  const bool is_preferred =
      list.sender_zone == options_.zone || now - first_offer_ >= kOwnZoneOfferWait;
  if (now < next_snapshot_request_ || !is_preferred) {
    return;
  }
  next_snapshot_request_ = now + kSnapshotRequestInterval;
  freshness_.on_asked(now);
  output_.hello = make_basic_hello(now);
  output_.hello->wants_snapshot = true;
  output_.hello_to = {list.sender};
  output_.hello_to_all = false;
}

void RouterCore::on_table_update(TimePoint now, const routing::TableUpdate& update,
                                 const std::string& from) {
  if (update.cell != options_.cell) {
    return;
  }
  // The times of an update for an earlier process of this name are those of another clock.
  if (update.clock_id != 0 && update.clock_id != clock_id_) {
    return;
  }
  freshness_.on_answered();
  const bool rank_or_count_changed = !update.by_follower && apply_leader_state(now, update, from);
  std::vector<Departure> departures = departures_in(now, update);
  const auto known_until = freshness_.as_of();
  const bool installed = table_.apply(update);
  const bool is_up_to_date = table_.index() >= update.current_index;
  if (is_up_to_date && update.echo_clock_us > 0) {
    confirmed_until_ = std::max(
        confirmed_until_, common::from_microseconds(update.echo_clock_us) + options_.table_lease);
  }
  // A sender that states no later time has at least read the hello that it echoes.
  const std::int64_t as_of = std::max(update.as_of_clock_us, update.echo_clock_us);
  const bool confirms_age = update.as_of_clock_us != routing::kLeaseOnly;
  if (is_up_to_date && confirms_age && as_of > 0) {
    freshness_.on_confirmed(now, common::from_microseconds(as_of));
    if (freshness_.as_of() != known_until) {
      confirmed_by_ = from;
    }
  }
  if (update.by_follower) {
    ++counters_.follower_updates;
    last_follower_ = from;
    polls_.on_zone(from, update.sender_zone);
    polls_.on_answered(from);
  }
  stop_queries_if_fresh(now);
  const bool has_changes = installed && !update.deltas.empty();
  if (has_changes || rank_or_count_changed) {
    ++counters_.table_updates;
    subsets_.clear();
  }
  const routing::TargetChanges changes =
      has_changes ? routing::changes_in(update) : routing::TargetChanges();
  if (!changes.empty()) {
    update_targets(now, changes);
  }
  const bool is_snapshot = has_changes && update.deltas.front().is_snapshot;
  if (!update.by_follower) {
    report_missing_update(now, is_snapshot, update.current_index);
  } else if (is_snapshot) {
    next_hello_ = now;  // only the leader confirms the table for serving
  }
  if (has_changes) {
    update_write_guard(departures, known_until, changes);
    splits_.keep_only([this](const std::string& name) { return table_.routes().has_route(name); });
    output_.departures = std::move(departures);
    redispatch_all(now);
  }
  review_writes(now);
}

std::vector<Departure> RouterCore::departures_in(TimePoint now,
                                                 const routing::TableUpdate& update) const {
  std::map<BackendId, bool> accepts_work;  // after the last delta of the update
  for (const routing::TableDelta& delta : update.deltas) {
    if (delta.is_snapshot) {
      for (const auto& item : table_.backends()) {
        accepts_work[item.first] = false;
      }
    }
    for (const routing::BackendRoute& backend : delta.backends) {
      accepts_work[backend.id] = backend.accepts_work();
    }
    for (const BackendId id : delta.removed_backends) {
      accepts_work[id] = false;
    }
  }
  std::vector<Departure> departures;
  for (const auto& [id, takes] : accepts_work) {
    const routing::BackendRoute* present = table_.find_backend(id);
    if (!takes && present != nullptr && present->accepts_work()) {
      departures.push_back(
          {id, present->address, present->incarnation, freshness_.age(now), update.current_index});
    }
  }
  return departures;
}

void RouterCore::update_write_guard(const std::vector<Departure>& departures,
                                    std::optional<TimePoint> known_until,
                                    const routing::TargetChanges& changes) {
  for (const Departure& departure : departures) {
    writes_.on_leaving(departure.backend, known_until);
  }
  for_each_changed(changes, [this](BackendId id, const routing::BackendRoute& backend) {
    if (backend.accepts_work()) {
      writes_.on_accepting_work(id);
    } else {
      writes_.on_leaving(id, std::nullopt);  // no effect if it was already leaving
    }
  });
  writes_.keep_only([this](BackendId id) { return table_.find_backend(id) != nullptr; });
}

bool RouterCore::apply_leader_state(TimePoint now, const routing::TableUpdate& update,
                                    const std::string& from) {
  if (update.term >= leader_term_) {
    leader_ = from;
    leader_term_ = update.term;
    leader_last_seen_ = now;
  }
  hello_interval_ = std::max<Duration>(options_.hello_interval,
                                       std::chrono::milliseconds(update.hello_interval_ms));
  polls_.set_interval(now, std::chrono::milliseconds(update.poll_interval_ms));
  const std::uint32_t count = std::max<std::uint32_t>(1, update.router_count);
  const bool changed = update.router_rank != router_rank_ || count != router_count_;
  fleet_size_.on_count(now, count);
  if (update.echo_clock_us > 0) {
    limited_.on_leader_list(now, common::from_microseconds(update.echo_clock_us), update.limits,
                            update.limits_are_complete);
    if (update.queues_are_known) {
      crowded_.on_leader_list(now, update.crowded);
    }
    if (update.peers_are_listed) {
      peers_.set_list(update.peers);
    }
    suspects_.on_leader_list(now, common::from_microseconds(update.echo_clock_us), update.term,
                             update.suspects);
  }
  router_rank_ = update.router_rank;
  router_count_ = count;
  return changed;
}

void RouterCore::stop_queries_if_fresh(TimePoint now) {
  // Decided by the age of the table, as the leader's updates may be seconds old on arrival.
  if (!freshness_.is_aging(now)) {
    next_query_ = TimePoint::max();
  }
}

void RouterCore::report_missing_update(TimePoint now, bool is_snapshot, common::LogIndex current) {
  const bool lacked_update = std::exchange(lacks_update_, table_.index() < current);
  if (is_snapshot || (lacks_update_ && !lacked_update)) {
    next_hello_ = now;  // the leader waits for an acknowledgement, or an update was lost
  } else if (lacks_update_) {
    // The leader has the report but needs time to react; until then, each update shows the same
    // gap, so hellos keep to their minimum interval.
    expedite_hello(now);
  }
}

void RouterCore::expedite_hello(TimePoint now) {
  next_hello_ = std::min(next_hello_, std::max(now, last_hello_ + options_.hello_interval));
}

void RouterCore::make_hello(TimePoint now) {
  next_hello_ = now + hello_interval_;
  last_hello_ = now;
  const bool leader_is_known = leader_last_seen_.has_value() &&
                               now - *leader_last_seen_ < kUnansweredHellos * hello_interval_;
  // A follower that keeps the table fresh makes queries to other controllers unnecessary.
  const bool follower_is_current = !last_follower_.empty() && !freshness_.is_aging(now);
  output_.hello_to_all = false;
  output_.hello_to = {leader_};
  if (leader_is_known || follower_is_current) {
    search_interval_ = options_.hello_interval;
  } else {
    search_for_leader(now);
  }
  freshness_.on_asked(now);
  if (leader_is_known && next_query_ == TimePoint::max()) {
    next_query_ = now + options_.leader_search.answer_timeout;
    query_interval_ = options_.leader_search.query_interval;
  }
  routing::RouterHello hello = make_basic_hello(now);
  report_ended(now, hello);
  report_stated_departures(hello);
  report_backoffs(now, hello);
  if (now >= next_load_) {
    next_load_ = now + options_.load_interval;
    for (const auto& [ref, count] : shard_loads_) {
      hello.loads.push_back({ref.service, ref.shard, count});
    }
    shard_loads_.clear();
    report_key_loads(hello);
    if (hello.loads.size() > options_.maximum_reported_shards) {
      const auto end =
          hello.loads.begin() + static_cast<std::ptrdiff_t>(options_.maximum_reported_shards);
      std::partial_sort(hello.loads.begin(), end, hello.loads.end(),
                        [](const auto& a, const auto& b) { return a.requests > b.requests; });
      hello.loads.erase(end, hello.loads.end());
    }
  }
  output_.hello = std::move(hello);
}

routing::RouterHello RouterCore::make_basic_hello(TimePoint now) {
  routing::RouterHello hello;
  hello.cell = options_.cell;
  hello.router = options_.name;
  hello.address = options_.address;
  hello.clock_us = common::to_microseconds(now);
  hello.clock_id = clock_id_;
  hello.table_index = table_.index();
  hello.serving = is_serving(now);
  hello.lacks_update = lacks_update_;
  hello.limits = limited_.reports(now, routing::kMaxLimits);
  suspects_.report(now, routing::kMaxSuspects, hello);
  hello.relay_address = relays_for_peers_ ? options_.relay_address : "";
  hello.zone = options_.zone;
  hello.unreachable = paths_.lost();
  hello.peers_digest = peers_.digest();
  hello.leader_term = leader_term_;
  hello.controllers_index = directory_.index();
  hello.reads_compressed = true;
  hello.requests_snapshots = true;
  hello.polls_followers = polls_.next_due() != TimePoint::max();
  return hello;
}

void RouterCore::search_for_leader(TimePoint now) {
  // A fleet that sends hellos to all controllers at once, at the rate at which one leader is sent
  // hellos, leaves them no time to elect a leader.
  const bool are_few = directory_.all().size() <= options_.leader_search.queried_controllers;
  output_.hello_to_all = are_few;
  output_.hello_to = are_few ? std::vector<std::string>() : some_of(directory_.all());
  next_hello_ = now + search_interval_;
  search_interval_ = std::min(2 * search_interval_, options_.leader_search.max_query_interval);
}

std::vector<std::string> RouterCore::some_of(std::vector<std::string> controllers) {
  // A shuffled choice: addresses that have gone may stand side by side.
  const std::size_t count =
      std::min(controllers.size(), options_.leader_search.queried_controllers);
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(controllers[i], controllers[common::uniform(random_, i, controllers.size() - 1)]);
  }
  controllers.resize(count);
  return controllers;
}

void RouterCore::query_controllers(TimePoint now) {
  next_query_ = now + query_interval_;
  query_interval_ = std::min(2 * query_interval_, options_.leader_search.max_query_interval);
  freshness_.on_asked(now);
  output_.hello_to_all = false;
  if (!last_follower_.empty()) {
    // The follower answered the last query; if it does not answer this one, all others are queried
    // again.
    output_.hello = make_basic_hello(now);
    output_.hello_to = {std::exchange(last_follower_, "")};
    ++counters_.leader_queries;
    return;
  }
  std::vector<std::string> others = without_leader(directory_.all());
  if (others.empty()) {
    return;
  }
  ++counters_.leader_queries;
  output_.hello = make_basic_hello(now);
  output_.hello_to = some_of(std::move(others));
}

void RouterCore::poll_follower(TimePoint now) {
  freshness_.on_asked(now);
  ++counters_.follower_polls;
  output_.hello = make_basic_hello(now);
  // Seeds that are no members have no table.
  const bool knows_members = !directory_.members().empty();
  output_.hello_to = polls_.begin_poll(
      now, without_leader(knows_members ? directory_.members() : directory_.all()), random_);
  output_.hello_to_all = false;
}

std::vector<std::string> RouterCore::without_leader(std::vector<std::string> controllers) const {
  std::erase(controllers, leader_);
  return controllers;
}

void RouterCore::report_key_loads(routing::RouterHello& hello) {
  for (const auto& [place, count] : key_loads_) {
    hello.key_loads.push_back({place.first, place.second, count});
  }
  key_loads_.clear();
  report_target_times(hello);
  if (hello.key_loads.size() <= options_.maximum_reported_keys) {
    return;
  }
  // Dropping the lightest keys would lose their load; a random sample with scaled counts keeps the
  // sum.
  const double kept_share = static_cast<double>(options_.maximum_reported_keys) /
                            static_cast<double>(hello.key_loads.size());
  std::erase_if(hello.key_loads,
                [&](const auto& /*load*/) { return !common::chance(random_, kept_share); });
  for (routing::KeyLoad& load : hello.key_loads) {
    load.requests = static_cast<std::uint32_t>(std::lround(load.requests / kept_share));
  }
}

void RouterCore::report_backoffs(TimePoint now, routing::RouterHello& hello) const {
  backoffs_.for_each(now, [&](BackendId id, TimePoint end) {
    if (hello.backoffs.size() < routing::kMaxBackoffs) {
      const Duration left = std::min<Duration>(end - now, options_.backoffs.longest);
      hello.backoffs.push_back(
          {id, static_cast<std::uint32_t>(left / std::chrono::milliseconds(1))});
    }
  });
}

void RouterCore::report_target_times(routing::RouterHello& hello) {
  for (auto& [id, service] : routed_) {
    const auto* route = table_.routes().find_service(id);
    if (route == nullptr || !route->route.config.keyed) {
      continue;  // the leader chooses targets of keyed services only
    }
    service.targets.take_samples([&](BackendId backend, const routing::WorkSamples& samples) {
      const double mean_us = samples.count > 0 ? samples.sum_us / samples.count : 0;
      hello.target_times.push_back({backend, static_cast<std::uint32_t>(mean_us), samples.count,
                                    samples.reports, samples.waiting});
    });
  }
}

}  // namespace planktray::router
