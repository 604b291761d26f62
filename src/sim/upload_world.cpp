#include "sim/upload_world.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <set>
#include <utility>

#include "link/link_scheduler.hpp"
#include "sim/event_queue.hpp"

namespace planktray::sim {
namespace {

using common::BackendId;
using common::Duration;
using common::LogIndex;
using common::ServiceId;
using common::TimePoint;
using router::Answer;
using router::AttemptId;
using router::AttemptResult;
using router::Forward;
using router::RequestHandle;
using routing::AttemptEnd;
using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(2);
constexpr Duration kOneWay = milliseconds(2);
constexpr Duration kWork = milliseconds(340);
constexpr Duration kSettleTime = milliseconds(3);
/// A connection is up after one way there and back; one in ten has lost a packet.
constexpr Duration kSlowConnection = milliseconds(140);
constexpr double kSlowConnections = 0.1;
/// Spread of sizes, as the standard deviation of their logarithm.
constexpr double kSizeSpread = 0.6;
constexpr const char* kService = "intake";
const ServiceId kServiceId(1);

/// The leader's log of tables, and when it has acknowledged what.
class Leader {
 public:
  Leader(const UploadOptions& options, common::RandomEngine& random)
      : options_(options), random_(random) {
    routing::TableDelta first;
    first.is_snapshot = true;
    first.routes_version = 1;
    config::RoutedService service;
    service.name = common::ServiceName(kService);
    service.keyed = options.keyed;
    first.routed_services = {{kServiceId, service}};
    config::Route route;
    route.name = "upload";
    route.host = "h";
    route.path_prefix = "/";
    route.kind.repeatable = false;
    route.objective_ms = static_cast<std::uint32_t>(options.objective / milliseconds(1));
    route.maximum_attempts = 2;
    route.parts = {{service.name, 1}};
    first.routes = {route};
    for (std::size_t i = 0; i < options.backends; ++i) {
      first.backends.push_back(new_backend());
      owners_.push_back(first.backends.back().id);
      first.ranges.push_back(range_of(i));
    }
    commit(first);
  }

  void run(TimePoint now) {
    while (!moves_.empty() && moves_.begin()->first <= now) {
      routing::TableDelta moved;
      moved.ranges = {range_of(moves_.begin()->second)};
      moves_.erase(moves_.begin());
      commit(moved);
    }
    if (now < next_replacement_) {
      return;
    }
    if (next_replacement_.time_since_epoch().count() > 0) {
      replace(now);
    }
    next_replacement_ = now + options_.replace_interval;
  }

  routing::TableUpdate update_for(LogIndex from, std::int64_t clock_us) const {
    routing::TableUpdate update;
    update.cell = options_.router.cell;
    update.term = common::Term(1);
    update.echo_clock_us = clock_us;
    update.as_of_clock_us = clock_us;
    update.router_count = static_cast<std::uint32_t>(options_.routers);
    update.base_index = from;
    update.current_index = LogIndex(log_.size());
    for (std::size_t i = from.value; i < log_.size(); ++i) {
      update.deltas.push_back(log_[i]);
    }
    return update;
  }

  /// When the back end's leaving was acknowledged; nothing where it was not.
  std::optional<TimePoint> left_at(BackendId id) const {
    const auto found = leavings_.find(id);
    return found == leavings_.end() ? std::nullopt : std::optional(found->second);
  }
  std::uint64_t replaced() const { return leavings_.size(); }

 private:
  routing::BackendRoute new_backend() {
    routing::BackendRoute route;
    route.id = BackendId(++last_backend_);
    route.address = "b" + std::to_string(last_backend_);
    route.incarnation = common::Incarnation("i-" + std::to_string(last_backend_));
    route.zone = common::ZoneName("z");
    route.pool = common::PoolName(kService);
    route.slots = 6;
    route.self_registered = true;
    backends_[route.id] = route;
    return route;
  }

  routing::KeyRangeRoute range_of(std::size_t part) const {
    const auto parts = static_cast<std::uint32_t>(options_.backends);
    const std::uint32_t width = config::kKeyCount / parts;
    const auto first = static_cast<std::uint32_t>(part) * width;
    const std::uint32_t last = part + 1 == parts ? config::kKeyCount - 1 : first + width - 1;
    return {kServiceId, first, last, owners_[part]};
  }

  void replace(TimePoint now) {
    const std::size_t part = common::uniform(random_, 0, owners_.size() - 1);
    const BackendId old = owners_[part];
    routing::TableDelta joined;
    joined.backends = {new_backend()};
    owners_[part] = joined.backends.front().id;
    commit(joined);
    routing::TableDelta left;
    left.backends = {backends_.at(old)};
    left.backends.front().draining = true;
    commit(left);
    leavings_[old] = now;
    moves_.emplace(now + options_.key_move_time, part);
  }

  void commit(routing::TableDelta delta) {
    delta.from = LogIndex(log_.size());
    delta.to = LogIndex(log_.size() + 1);
    log_.push_back(std::move(delta));
  }

  const UploadOptions& options_;
  common::RandomEngine& random_;
  std::vector<routing::TableDelta> log_;
  std::map<BackendId, routing::BackendRoute> backends_;
  std::vector<BackendId> owners_;            ///< of each part of the keys; those that take new work
  std::map<BackendId, TimePoint> leavings_;  ///< when each was acknowledged
  std::multimap<TimePoint, std::size_t> moves_;  ///< parts whose owner is told then
  std::uint64_t last_backend_ = 0;
  TimePoint next_replacement_;
};

class UploadWorld {
 public:
  explicit UploadWorld(const UploadOptions& options)
      : options_(options), random_(options.seed), leader_(options_, random_) {
    for (std::size_t i = 0; i < options_.routers; ++i) {
      router::RouterOptions router = options_.router;
      router.name = common::RouterName("r" + std::to_string(i));
      router.zone = common::ZoneName("z");
      routers_.push_back(std::make_unique<Router>(
          router, common::RandomEngine(options_.seed * 1000 + i), now_, options_));
    }
  }

  UploadResult run() {
    const TimePoint begin = now_ + kWarmUp;
    const TimePoint end = begin + options_.length;
    while (now_ < end + options_.stated_time) {
      now_ += kStep;
      events_.run_due(now_);
      leader_.run(now_);
      if (now_ >= begin && now_ < end) {
        ask();
      }
      for (std::size_t i = 0; i < routers_.size(); ++i) {
        run_link(i);
        if (now_ >= routers_[i]->core.next_due()) {
          routers_[i]->core.tick(now_);
        }
        flush(i);
      }
    }
    result_.replaced = leader_.replaced();
    for (const auto& router : routers_) {
      const router::RouterCounters& counters = router->core.counters();
      result_.recalled += counters.recalled;
      result_.held += counters.held_writes;
      result_.cut += counters.aborted_writes;
    }
    return result_;
  }

 private:
  static constexpr Duration kWarmUp = std::chrono::seconds(1);

  /// An attempt on its way to its back end.
  struct Transfer {
    Forward forward;
    std::size_t bytes = 0;
    link::BodyId body = 0;  ///< 0: its connection is not up
    bool is_held = false;
    std::size_t unused = 0;  ///< bytes of a piece that came while it was held
  };
  struct Router {
    Router(const router::RouterOptions& router, common::RandomEngine random, TimePoint now,
           const UploadOptions& options)
        : core(router, random, now), link(options.link_bytes_per_second, now) {}
    router::RouterCore core;
    link::LinkScheduler link;
    std::map<AttemptId, Transfer> transfers;
  };
  struct Caller {
    TimePoint began;
    std::size_t bytes = 0;
  };

  void after(Duration wait, EventQueue::Event event) { events_.add(now_ + wait, std::move(event)); }

  bool is_odd_phase() const { return (now_.time_since_epoch() / options_.phase) % 2 == 1; }

  // ------------------------------------------------------------ callers

  void ask() {
    const double load = is_odd_phase() ? options_.burst_load : options_.load;
    const double seconds = std::chrono::duration<double>(kStep).count();
    const double expected = load * options_.link_bytes_per_second * seconds / options_.mean_bytes;
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      if (common::chance(random_, expected)) {
        send_request(i);
      }
    }
  }

  std::size_t draw_bytes() {
    // Of a normal distribution, by the sum of twelve draws.
    double normal = -6;
    for (int i = 0; i < 12; ++i) {
      normal += common::uniform_real(random_);
    }
    const double drawn =
        options_.mean_bytes * std::exp(kSizeSpread * normal - kSizeSpread * kSizeSpread / 2);
    return static_cast<std::size_t>(std::min(drawn, options_.most_bytes));
  }

  void send_request(std::size_t place) {
    ++result_.requests;
    router::CallerRequest request;
    request.handle = ++last_request_;
    request.method = "POST";
    request.timeout_ms = static_cast<std::uint32_t>(options_.stated_time / milliseconds(1));
    request.route = router::RouteCall{"h", "/x", std::nullopt};
    if (options_.keyed) {
      request.route->key =
          static_cast<std::uint32_t>(common::uniform(random_, 0, config::kKeyCount - 1));
    }
    request.body_bytes = draw_bytes();
    callers_[request.handle] = {now_, request.body_bytes};
    routers_[place]->core.on_request(now_, request);
    flush(place);
  }

  void on_answer(const Answer& answer) {
    const auto found = callers_.find(answer.handle);
    if (found == callers_.end()) {
      return;
    }
    if (answer.outcome == routing::Outcome::kAnswered) {
      ++result_.answered;
      result_.in_objective += now_ - found->second.began <= options_.objective ? 1 : 0;
    } else if (answer.outcome == routing::Outcome::kNotRun) {
      ++result_.refused;
    } else {
      ++result_.unknown;
    }
    callers_.erase(found);
  }

  // ------------------------------------------------------------ routers and links

  void flush(std::size_t place) {
    Router& router = *routers_[place];
    for (router::RouterOutput output = router.core.take_output(); !output.empty();
         output = router.core.take_output()) {
      for (const AttemptId attempt : output.cancels) {
        cancel(router, attempt);
      }
      for (const router::WriteDecision& decision : output.write_decisions) {
        carry_out(place, decision);
      }
      for (const Answer& answer : output.answers) {
        on_answer(answer);
      }
      for (const Forward& forward : output.forwards) {
        connect(place, forward);
      }
      if (output.hello.has_value()) {
        say_hello(place, *output.hello);
      }
    }
  }

  void say_hello(std::size_t place, const routing::RouterHello& hello) {
    after(kOneWay, [this, place, hello, late = leaders_delay()] {
      const routing::TableUpdate update = leader_.update_for(hello.table_index, hello.clock_us);
      after(kOneWay + late, [this, place, update] {
        routers_[place]->core.on_table_update(now_, update, "leader");
        flush(place);
      });
    });
  }

  Duration leaders_delay() {
    if (!is_odd_phase()) {
      return Duration(0);
    }
    const auto most = static_cast<std::uint64_t>(options_.slowest_word.count());
    if (!options_.leader_falls_behind) {
      return Duration(static_cast<Duration::rep>(common::uniform(random_, 0, most)));
    }
    const Duration into_phase = now_.time_since_epoch() % options_.phase;
    return options_.slowest_word * into_phase.count() / options_.phase.count();
  }

  void connect(std::size_t place, const Forward& forward) {
    Transfer transfer;
    transfer.forward = forward;
    transfer.bytes = callers_.at(forward.handle).bytes;
    routers_[place]->transfers[forward.attempt] = transfer;
    const bool is_slow = common::chance(random_, kSlowConnections);
    after((is_slow ? kSlowConnection : 2 * kOneWay) + kSettleTime,
          [this, place, attempt = forward.attempt] { begin_body(place, attempt); });
  }

  void begin_body(std::size_t place, AttemptId attempt) {
    Router& router = *routers_[place];
    const auto found = router.transfers.find(attempt);
    if (found == router.transfers.end()) {
      return;  // taken back
    }
    if (found->second.bytes <= link::kLargeBodyBytes) {
      router.link.note_small(now_, found->second.bytes);
      return finish_body(place, attempt);
    }
    found->second.body =
        router.link.add(now_, found->second.bytes,
                        options_.in_order ? link::BodyRank::kPromised : link::BodyRank::kShared);
  }

  void run_link(std::size_t place) {
    Router& router = *routers_[place];
    for (const link::Piece& piece : router.link.take(now_)) {
      const auto found =
          std::find_if(router.transfers.begin(), router.transfers.end(),
                       [&](const auto& item) { return item.second.body == piece.body; });
      if (found == router.transfers.end()) {
        continue;
      }
      if (found->second.is_held) {
        found->second.unused = piece.bytes;
      } else {
        write_piece(place, found->first, piece.bytes);
      }
    }
  }

  void write_piece(std::size_t place, AttemptId attempt, std::size_t bytes) {
    Router& router = *routers_[place];
    router.core.on_attempt_started(attempt);
    if (router.link.passed(router.transfers.at(attempt).body, bytes)) {
      finish_body(place, attempt);
    }
  }

  void carry_out(std::size_t place, const router::WriteDecision& decision) {
    if (decision.verdict == router::WriteVerdict::kHold) {
      routers_[place]->transfers.at(decision.attempt).is_held = true;
    } else if (decision.verdict == router::WriteVerdict::kResume) {
      resume(place, decision.attempt);
    }
  }

  void resume(std::size_t place, AttemptId attempt) {
    Transfer& transfer = routers_[place]->transfers.at(attempt);
    transfer.is_held = false;
    const std::size_t unused = std::exchange(transfer.unused, 0);
    if (unused > 0) {
      write_piece(place, attempt, unused);
    }
  }

  void finish_body(std::size_t place, AttemptId attempt) {
    Router& router = *routers_[place];
    const Forward forward = router.transfers.at(attempt).forward;
    router.transfers.erase(attempt);
    router.core.on_attempt_written(attempt);
    after(kOneWay, [this, place, forward] { arrive(place, forward); });
  }

  void cancel(Router& router, AttemptId attempt) {
    const auto found = router.transfers.find(attempt);
    if (found == router.transfers.end()) {
      return;
    }
    router.link.remove(found->second.body);
    router.transfers.erase(found);
  }

  void arrive(std::size_t place, const Forward& forward) {
    const BackendId id(std::stoull(forward.address.substr(1)));
    if (const auto left = leader_.left_at(id)) {
      const Duration since = now_ - *left;
      ++(since > options_.promised ? result_.late : result_.after_leaving);
      result_.latest = std::max(result_.latest, since);
    }
    after(kWork, [this, place, attempt = forward.attempt] {
      AttemptResult result;
      result.end = AttemptEnd::kAnswered;
      routers_[place]->core.on_attempt_done(now_, attempt, result);
      flush(place);
    });
  }

  UploadOptions options_;
  common::RandomEngine random_;
  TimePoint now_ = TimePoint(std::chrono::seconds(100));
  Leader leader_;
  EventQueue events_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::map<RequestHandle, Caller> callers_;
  RequestHandle last_request_ = 0;
  UploadResult result_;
};

}  // namespace

UploadResult run_upload_world(const UploadOptions& options) { return UploadWorld(options).run(); }

}  // namespace planktray::sim
