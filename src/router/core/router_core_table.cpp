/// RouterCore and its controllers: the table that they bring, hellos, and the search for a leader.

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "router/core/router_core.hpp"

namespace planktray::router {
namespace {

/// After so many hellos without an answer, every controller is asked.
constexpr int kHellosWithoutAnswer = 2;
/// Controllers that a router knows at most.
constexpr std::size_t kMostControllers = 24;

}  // namespace

void RouterCore::add_controller(const std::string& address) {
  const bool is_known =
      std::find(controllers_.begin(), controllers_.end(), address) != controllers_.end();
  if (!is_known && controllers_.size() < kMostControllers) {
    controllers_.push_back(address);
  }
}

void RouterCore::on_controller_list(TimePoint now, const routing::ControllerList& list) {
  if (list.cell != options_.cell) {
    return;
  }
  for (const std::string& address : list.addresses) {
    add_controller(address);
  }
  if (!list.leader.empty()) {
    freshness_.on_answered();
  }
  if (list.leader.empty() || list.term <= leader_term_) {
    return;  // an old word, or the leader that is known: it may be slow
  }
  ++counters_.leader_announcements;
  leader_ = list.leader;
  leader_term_ = list.term;
  leader_heard_ = now;
  const Duration wait(static_cast<Duration::rep>(common::uniform(
      random_, 0, static_cast<std::uint64_t>(options_.leader_search.announcement_spread.count()))));
  next_hello_ = std::min(next_hello_, now + wait);
}

void RouterCore::on_table_update(TimePoint now, const routing::TableUpdate& update,
                                 const std::string& from) {
  if (update.cell != options_.cell) {
    return;
  }
  freshness_.on_answered();
  const bool ring_changed = !update.by_follower && take_leaders_word(now, update, from);
  std::vector<Departure> departures = departures_in(now, update);
  const auto known_until = freshness_.as_of();
  const bool installed = table_.apply(update);
  const bool is_up_to_date = table_.index() >= update.current_index;
  if (is_up_to_date && update.echo_clock_us > 0) {
    confirmed_until_ = std::max(
        confirmed_until_, common::from_microseconds(update.echo_clock_us) + options_.table_lease);
  }
  // A sender that does not tell more has at least read the hello that it echoes.
  const std::int64_t as_of = std::max(update.as_of_clock_us, update.echo_clock_us);
  if (is_up_to_date && as_of > 0) {
    freshness_.on_confirmed(now, common::from_microseconds(as_of));
  }
  if (update.by_follower) {
    ++counters_.follower_updates;
    helper_ = from;
  }
  plan_inquiry(now);
  const bool has_changes = installed && !update.deltas.empty();
  if (has_changes || ring_changed) {
    ++counters_.table_updates;
    subsets_.clear();
    note_targets(now);
  }
  if (!update.by_follower) {
    report_lacks(now, has_changes && update.deltas.front().is_snapshot, update.current_index);
  }
  if (has_changes) {
    note_departures(departures, known_until);
    output_.departures = std::move(departures);
    redispatch_all(now);
  }
  review_writes(now);
}

std::vector<Departure> RouterCore::departures_in(TimePoint now,
                                                 const routing::TableUpdate& update) const {
  std::map<BackendId, bool> takes_work;  // the last word of the update
  for (const routing::TableDelta& delta : update.deltas) {
    if (delta.is_snapshot) {
      for (const auto& item : table_.backends()) {
        takes_work[item.first] = false;
      }
    }
    for (const routing::BackendRoute& backend : delta.backends) {
      takes_work[backend.id] = backend.takes_work();
    }
    for (const BackendId id : delta.removed_backends) {
      takes_work[id] = false;
    }
  }
  std::vector<Departure> departures;
  for (const auto& [id, takes] : takes_work) {
    const routing::BackendRoute* present = table_.find_backend(id);
    if (!takes && present != nullptr && present->takes_work()) {
      departures.push_back(
          {id, present->address, present->incarnation, freshness_.age(now), update.current_index});
    }
  }
  return departures;
}

void RouterCore::note_departures(const std::vector<Departure>& departures,
                                 std::optional<TimePoint> known_until) {
  for (const Departure& departure : departures) {
    writes_.on_leaving(departure.backend, known_until);
  }
  for (const auto& [id, backend] : table_.backends()) {
    if (backend.takes_work()) {
      writes_.on_taking(id);
    } else {
      writes_.on_leaving(id, std::nullopt);  // nothing new where it was noted above or before
    }
  }
  writes_.keep_only([this](BackendId id) { return table_.find_backend(id) != nullptr; });
}

bool RouterCore::take_leaders_word(TimePoint now, const routing::TableUpdate& update,
                                   const std::string& from) {
  if (update.term >= leader_term_) {
    leader_ = from;
    leader_term_ = update.term;
    leader_heard_ = now;
  }
  hello_interval_ = std::max<Duration>(options_.hello_interval,
                                       std::chrono::milliseconds(update.hello_interval_ms));
  const std::uint32_t count = std::max<std::uint32_t>(1, update.router_count);
  const bool changed = update.router_rank != router_rank_ || count != router_count_;
  fleet_size_.on_count(now, count);
  if (update.echo_clock_us > 0) {
    limited_.on_leader_list(now, common::from_microseconds(update.echo_clock_us), update.limits,
                            update.limits_are_complete);
    if (update.queues_are_known) {
      crowded_.on_leader_list(now, update.crowded);
    }
    suspects_.on_leader_list(now, common::from_microseconds(update.echo_clock_us), update.term,
                             update.suspects);
  }
  router_rank_ = update.router_rank;
  router_count_ = count;
  return changed;
}

void RouterCore::plan_inquiry(TimePoint now) {
  // Not by whether the leader is heard: its words may be seconds old when they come.
  if (!freshness_.is_aging(now)) {
    next_inquiry_ = TimePoint::max();
  }
}

void RouterCore::report_lacks(TimePoint now, bool is_snapshot, common::LogIndex current) {
  const bool lacked_update = std::exchange(lacks_update_, table_.index() < current);
  if (is_snapshot || (lacks_update_ && !lacked_update)) {
    next_hello_ = now;  // the leader waits for it to arrive; or an update was lost
  } else if (lacks_update_) {
    // It has been told, and takes a while: each update until then would say the same.
    hasten_hello(now);
  }
}

void RouterCore::hasten_hello(TimePoint now) {
  next_hello_ = std::min(next_hello_, std::max(now, last_hello_ + options_.hello_interval));
}

void RouterCore::make_hello(TimePoint now) {
  next_hello_ = now + hello_interval_;
  last_hello_ = now;
  const bool leader_is_known =
      leader_heard_.has_value() && now - *leader_heard_ < kHellosWithoutAnswer * hello_interval_;
  // With a follower that keeps the table young, nobody else need be asked.
  const bool has_helper = !helper_.empty() && !freshness_.is_aging(now);
  output_.hello_to_all = !leader_is_known && !has_helper;
  output_.hello_to = {leader_};
  freshness_.on_asked(now);
  if (leader_is_known && next_inquiry_ == TimePoint::max()) {
    next_inquiry_ = now + options_.leader_search.answer_timeout;
    inquiry_interval_ = options_.leader_search.inquiry_interval;
  }
  routing::RouterHello hello = plain_hello(now);
  report_ended(now, hello);
  report_stated_departures(hello);
  report_backoffs(now, hello);
  if (now >= next_load_) {
    next_load_ = now + options_.load_interval;
    for (const auto& [ref, count] : loads_) {
      hello.loads.push_back({ref.service, ref.shard, count});
    }
    loads_.clear();
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

routing::RouterHello RouterCore::plain_hello(TimePoint now) {
  routing::RouterHello hello;
  hello.cell = options_.cell;
  hello.router = options_.name;
  hello.address = options_.address;
  hello.clock_us = common::to_microseconds(now);
  hello.table_index = table_.index();
  hello.serving = is_serving(now);
  hello.lacks_update = lacks_update_;
  hello.limits = limited_.reports(now, routing::kMaxLimits);
  suspects_.report(now, routing::kMaxSuspects, hello);
  return hello;
}

void RouterCore::inquire(TimePoint now) {
  next_inquiry_ = now + inquiry_interval_;
  inquiry_interval_ =
      std::min(2 * inquiry_interval_, options_.leader_search.longest_inquiry_interval);
  freshness_.on_asked(now);
  output_.hello_to_all = false;
  if (!helper_.empty()) {
    // It has answered the last question; silence to this one has all asked again.
    output_.hello = plain_hello(now);
    output_.hello_to = {std::exchange(helper_, "")};
    ++counters_.leader_queries;
    return;
  }
  std::vector<std::string> others;
  std::copy_if(controllers_.begin(), controllers_.end(), std::back_inserter(others),
               [this](const std::string& address) { return address != leader_; });
  if (others.empty()) {
    return;
  }
  ++counters_.leader_queries;
  const auto first = common::uniform(random_, 0, others.size() - 1);
  std::rotate(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(first), others.end());
  others.resize(std::min(others.size(), options_.leader_search.inquired_controllers));
  output_.hello = plain_hello(now);
  output_.hello_to = std::move(others);
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
  // Every n-th of the lightest would be lost; a random part with its weight raised keeps the sum.
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
      continue;  // only owners of keys are chosen by the leader
    }
    service.targets.take_samples([&](BackendId backend, const routing::WorkSamples& samples) {
      const double mean_us = samples.count > 0 ? samples.sum_us / samples.count : 0;
      hello.target_times.push_back({backend, static_cast<std::uint32_t>(mean_us), samples.count,
                                    samples.reports, samples.waiting});
    });
  }
}

}  // namespace planktray::router
