#include "sim/reach_world.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "controller/core/relay_directory.hpp"
#include "sim/event_queue.hpp"

namespace planktray::sim {
namespace {

using common::BackendId;
using common::Duration;
using common::LogIndex;
using common::ServiceId;
using common::TimePoint;
using router::Answer;
using router::AttemptResult;
using router::Forward;
using router::RequestHandle;
using routing::AttemptEnd;
using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(1);
constexpr Duration kOneWay = milliseconds(1);
constexpr Duration kConnectTimeout = milliseconds(150);
/// Written bytes that stay unacknowledged for this long end their connection.
constexpr Duration kUnacknowledgedTimeout = milliseconds(600);
constexpr Duration kUpdateInterval = milliseconds(100);
/// Routers have a confirmed table after this time.
constexpr Duration kWarmUp = milliseconds(500);
constexpr std::uint32_t kTimeoutMs = 1200;
/// Every request has ended after this time.
constexpr Duration kLongestRequest = milliseconds(1300);
constexpr std::uint32_t kSlots = 4;
constexpr std::size_t kQueue = 12;
constexpr std::size_t kZones = 3;

enum ServiceNumber : std::size_t { kKeyed, kUnsafe, kSafe, kServices };
constexpr std::array<std::size_t, kServices> kTargets = {14, 7, 12};
constexpr std::array<double, kServices> kWorkMs = {60, 78, 150};
constexpr std::array<const char*, kServices> kNames = {"keyed", "unsafe", "safe"};
/// Upper bounds of a uniform draw that chooses the service of a request.
constexpr std::array<double, kServices> kShares = {0.58, 0.79, 1.0};

ServiceId service_id(std::size_t service) { return ServiceId(service + 1); }
common::ZoneName zone_of(std::size_t number) {
  return common::ZoneName("zone-" + std::to_string(number % kZones));
}

struct Backend {
  BackendId id;
  std::size_t service = 0;
  std::size_t running = 0;
};

class ReachWorld {
 public:
  explicit ReachWorld(const ReachOptions& options) : options_(options), random_(options.seed) {
    make_table();
    for (std::size_t i = 0; i < options_.routers; ++i) {
      nodes_.emplace_back();
      start_router(i);
    }
  }

  ReachResult run() {
    const TimePoint begin = now_;
    for (const PathCut& cut : options_.cuts) {
      events_.add(begin + cut.begin, [this, &cut] { begin_cut(cut); });
    }
    for (const RouterOutage& outage : options_.outages) {
      events_.add(begin + outage.begin, [this, &outage] { begin_outage(outage); });
      events_.add(begin + outage.end, [this, &outage] { end_outage(outage); });
    }
    while (now_ < begin + options_.length + kLongestRequest) {
      now_ += kStep;
      events_.run_due(now_);
      send_tables();
      if (now_ < begin + options_.length) {
        ask();
      }
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i].is_running() && now_ >= nodes_[i].core->next_due()) {
          nodes_[i].core->tick(now_);
        }
        flush(i);
      }
    }
    return result_;
  }

 private:
  struct Node {
    std::unique_ptr<router::RouterCore> core;
    std::int64_t read_clock_us = 0;  ///< of its newest hello
    std::uint64_t life = 0;
    bool is_suspended = false;
    bool is_stopping = false;
    bool is_running() const { return core != nullptr && !is_suspended; }
    bool accepts_callers() const { return is_running() && !is_stopping; }
    std::map<std::string, std::size_t> idle_connections;
  };
  /// One attempt that has not ended for its router.
  struct Attempt {
    std::string address;
    RequestHandle request = 0;
    bool is_written = false;
    bool is_new_connection = false;
    bool is_relayed = false;
  };
  struct AttemptKey {
    std::size_t place = 0;
    std::uint64_t life = 0;  ///< of the router's process, which numbers its attempts anew
    router::AttemptId attempt = 0;
    auto operator<=>(const AttemptKey&) const = default;
  };
  AttemptKey key_of(std::size_t place, router::AttemptId attempt) const {
    return {place, nodes_[place].life, attempt};
  }
  /// What was seen of one request.
  struct Story {
    std::size_t router = 0;
    std::size_t service = 0;
    TimePoint sent;
    int runs = 0;
    bool told_not_run = false;
  };

  void violate(const std::string& text) {
    const auto when = std::chrono::duration_cast<milliseconds>(now_ - start_).count();
    result_.violations.push_back("at " + std::to_string(when) + " ms " + text);
  }
  void after(Duration wait, EventQueue::Event event) { events_.add(now_ + wait, std::move(event)); }

  // ------------------------------------------------------------ the leader

  void make_table() {
    table_.is_snapshot = true;
    table_.to = LogIndex(2);
    table_.routes_version = 1;
    std::uint64_t last = 0;
    for (std::size_t service = 0; service < kServices; ++service) {
      config::RoutedService config;
      config.name = common::ServiceName(kNames[service]);
      config.keyed = service == kKeyed;
      table_.routed_services.push_back({service_id(service), config});
      config::Route route;
      route.name = kNames[service];
      route.host = kNames[service];
      route.path_prefix = "/";
      route.kind.repeatable = service != kUnsafe;
      route.timeout_ms = kTimeoutMs;
      route.objective_ms = 400;
      route.maximum_attempts = 2;
      route.parts = {{config.name, 1}};
      table_.routes.push_back(route);
      for (std::size_t i = 0; i < kTargets[service]; ++i) {
        add_backend(service, BackendId(++last), i);
      }
    }
    const std::uint32_t keys = config::kKeyCount / kTargets[kKeyed];
    for (std::uint32_t i = 0; i < kTargets[kKeyed]; ++i) {
      const std::uint32_t end = i + 1 == kTargets[kKeyed] ? config::kKeyCount : (i + 1) * keys;
      table_.ranges.push_back({service_id(kKeyed), i * keys, end - 1, BackendId(i + 1)});
    }
  }

  void add_backend(std::size_t service, BackendId id, std::size_t number) {
    routing::BackendRoute route;
    route.id = id;
    route.incarnation = common::Incarnation("i-" + std::to_string(id.value));
    route.address = "backend-" + std::to_string(id.value);
    route.zone = zone_of(number);
    route.pool = common::PoolName(kNames[service]);
    route.slots = kSlots;
    route.self_registered = true;
    backends_[route.address] = {id, service, 0};
    table_.backends.push_back(std::move(route));
  }

  void send_tables() {
    const bool leader_is_gone =
        now_ >= start_ + options_.leader_gone_from && now_ < start_ + options_.leader_back_at;
    if (now_ < next_update_ || leader_is_gone) {
      return;
    }
    next_update_ = now_ + kUpdateInterval;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!nodes_[i].is_running()) {
        continue;
      }
      routing::TableUpdate update;
      update.cell = options_.router.cell;
      update.term = common::Term(1);
      update.echo_clock_us = nodes_[i].read_clock_us;
      update.router_rank = static_cast<std::uint32_t>(i);
      update.router_count = static_cast<std::uint32_t>(nodes_.size());
      const common::RouterName name = name_of(i);
      update.peers_are_listed = has_relays(i) && relays_.is_outdated(name);
      if (update.peers_are_listed) {
        update.peers = relays_.peers_of(name);
      }
      update.base_index = nodes_[i].core->table().index();
      update.current_index = table_.to;
      if (update.base_index < table_.to) {
        update.deltas = {table_};
      }
      nodes_[i].core->on_table_update(now_, update);
    }
  }

  // ------------------------------------------------------------ cuts

  /// The cut between a router and the back ends of a service at present; nullptr: none.
  const PathCut* cut_of(std::size_t router, std::size_t service) const {
    for (const PathCut& cut : options_.cuts) {
      const bool lasts = now_ >= start_ + cut.begin && now_ < start_ + cut.end;
      if (lasts && concerns(cut, router, service)) {
        return &cut;
      }
    }
    return nullptr;
  }
  static bool concerns(const PathCut& cut, std::size_t router, std::size_t service) {
    const auto has = [](const std::vector<std::size_t>& list, std::size_t value) {
      return std::find(list.begin(), list.end(), value) != list.end();
    };
    return has(cut.routers, router) && (cut.services.empty() || has(cut.services, service));
  }
  /// Whether nothing passes on open connections.
  static bool breaks_open_connections(const PathCut* cut) {
    return cut != nullptr && (cut->kind == CutKind::kSilent || cut->kind == CutKind::kReset);
  }

  void begin_cut(const PathCut& cut) {
    if (cut.kind != CutKind::kReset) {
      return;
    }
    for (const std::size_t router : cut.routers) {
      for (const auto& [address, backend] : backends_) {
        if (concerns(cut, router, backend.service)) {
          nodes_[router].idle_connections.erase(address);
        }
      }
    }
    const auto attempts = attempts_;
    for (const auto& [key, attempt] : attempts) {
      const auto backend = backends_.find(attempt.address);
      if (!attempt.is_relayed && backend != backends_.end() &&
          concerns(cut, key.place, backend->second.service)) {
        end_attempt(key, broken_result(attempt));
      }
    }
  }

  // ------------------------------------------------------------ outages

  void begin_outage(const RouterOutage& outage) {
    Node& node = nodes_[outage.router];
    switch (outage.kind) {
      case OutageKind::kKilled:
        return kill(outage.router);
      case OutageKind::kSuspended:
        node.is_suspended = true;
        return;
      case OutageKind::kStopped:
        node.is_stopping = true;
        node.core->stop_relaying(now_);
        return;
    }
  }

  void end_outage(const RouterOutage& outage) {
    Node& node = nodes_[outage.router];
    if (outage.kind == OutageKind::kSuspended) {
      node.is_suspended = false;
      return;
    }
    if (outage.kind == OutageKind::kStopped) {
      if (!node.core->is_drained()) {
        violate("a planned stop cuts requests off");
      }
      kill(outage.router);
    }
    node = Node();
    start_router(outage.router);
  }

  /// Ends a router's process: its attempts are lost, and those that it relayed for others break.
  void kill(std::size_t place) {
    nodes_[place].core.reset();
    relays_.remove(name_of(place));
    std::erase_if(attempts_, [place](const auto& item) { return item.first.place == place; });
    std::vector<AttemptKey> broken;
    for (const auto& [key, relayed] : relayed_) {
      if (key.first == place) {
        broken.push_back(relayed.origin);
      }
    }
    std::erase_if(relayed_, [place](const auto& item) { return item.first.first == place; });
    for (const AttemptKey& origin : broken) {
      after(kOneWay, [this, origin] { end_attempt(origin, lost_peer(true)); });
    }
  }

  static AttemptResult lost_peer(bool was_written) {
    AttemptResult result;
    result.end = was_written ? AttemptEnd::kBroken : AttemptEnd::kNotSent;
    result.peer_failed = true;
    return result;
  }

  // ------------------------------------------------------------ callers

  void ask() {
    const double expected =
        options_.requests_per_second * std::chrono::duration<double>(kStep).count();
    if (common::chance(random_, expected)) {
      ask_one();
    }
  }

  void ask_one() {
    const double draw = common::uniform_real(random_);
    const auto service = static_cast<std::size_t>(
        std::find_if(kShares.begin(), kShares.end(), [&](double until) { return draw < until; }) -
        kShares.begin());
    const std::size_t place = common::uniform(random_, 0, nodes_.size() - 1);
    if (!nodes_[place].accepts_callers()) {
      return;
    }
    router::CallerRequest request;
    request.handle = ++last_request_;
    request.method = "GET";
    request.timeout_ms = kTimeoutMs;
    request.route = router::RouteCall{kNames[service], "/x", std::nullopt};
    if (service == kKeyed) {
      request.route->key =
          static_cast<std::uint32_t>(common::uniform(random_, 0, config::kKeyCount - 1));
    }
    stories_[request.handle] = {place, service, now_, 0, false};
    if (FirstTries* tries = tries_of(stories_[request.handle])) {
      ++tries->sent;
    }
    nodes_[place].core->on_request(now_, request);
    flush(place);
  }

  /// The count that a request belongs to by its router and its time; nullptr: none.
  FirstTries* tries_of(const Story& story) {
    bool is_counted = story.sent >= start_ + kWarmUp;
    for (const PathCut& cut : options_.cuts) {
      const TimePoint begin = start_ + cut.begin;
      const TimePoint end = start_ + cut.end;
      if (story.sent >= begin + options_.contact && story.sent < end) {
        const bool is_cut = concerns(cut, story.router, story.service);
        return is_cut ? &result_.at_cut_routers : &result_.elsewhere;
      }
      is_counted = is_counted && (story.sent < begin || story.sent >= end + options_.contact);
    }
    return is_counted ? &result_.without_cut : nullptr;
  }

  void on_answer(const Answer& answer) {
    Story& story = stories_.at(answer.handle);
    FirstTries* tries = tries_of(story);
    if (answer.outcome == routing::Outcome::kNotRun) {
      story.told_not_run = true;
      if (story.runs > 0) {
        violate("request " + std::to_string(answer.handle) + " is called not run, and it has run");
      }
    }
    if (tries == nullptr) {
      return;
    }
    if (answer.outcome == routing::Outcome::kAnswered) {
      ++tries->served;
    } else if (answer.outcome == routing::Outcome::kNotRun) {
      ++tries->refused;
      tries->time_to_refusal += now_ - story.sent;
    }
  }

  // ------------------------------------------------------------ routers

  static common::RouterName name_of(std::size_t place) {
    return common::RouterName("r" + std::to_string(place));
  }
  static std::string relay_address(std::size_t place) { return "relay-" + std::to_string(place); }
  static std::size_t place_of(const std::string& relay_address) {
    return std::stoul(relay_address.substr(relay_address.find('-') + 1));
  }
  bool has_relays(std::size_t place) const {
    const auto& without = options_.without_relays;
    return std::find(without.begin(), without.end(), place) == without.end();
  }

  void start_router(std::size_t place) {
    router::RouterOptions options = options_.router;
    options.name = name_of(place);
    options.relay_address = has_relays(place) ? relay_address(place) : "";
    options.zone = zone_of(place);
    nodes_[place].life = ++lives_;
    nodes_[place].core = std::make_unique<router::RouterCore>(
        options, common::RandomEngine(options_.seed * 1000 + lives_), now_);
  }

  void flush(std::size_t place) {
    Node& node = nodes_[place];
    if (!node.is_running()) {
      return;
    }
    for (router::RouterOutput output = node.core->take_output(); !output.empty();
         output = node.core->take_output()) {
      for (const router::AttemptId attempt : output.cancels) {
        attempts_.erase(key_of(place, attempt));
      }
      for (const Answer& answer : output.answers) {
        const auto relayed = relayed_.find({place, answer.handle});
        if (relayed == relayed_.end()) {
          on_answer(answer);
        } else {
          answer_relay(place, relayed, answer);
        }
      }
      for (const routing::PathProbe& probe : output.path_probes) {
        probe_path(place, probe);
      }
      for (const Forward& forward : output.forwards) {
        send(place, forward);
      }
      if (output.hello.has_value()) {
        node.read_clock_us = output.hello->clock_us;
        relays_.on_hello(*output.hello);
      }
    }
  }

  void probe_path(std::size_t place, const routing::PathProbe& probe) {
    ++result_.probes;
    const bool is_peer = probe.backend.value == 0;
    const PathCut* cut = is_peer ? nullptr : cut_of(place, backends_.at(probe.address).service);
    const Duration wait = cut == nullptr ? 2 * kOneWay : failure_time(*cut);
    const bool is_reachable = is_peer ? nodes_[place_of(probe.address)].core != nullptr
                                      : cut == nullptr && !has_ended(probe.backend);
    after(wait, [this, place, probe, is_reachable] {
      if (!nodes_[place].is_running()) {
        return;
      }
      nodes_[place].core->on_path_probed(now_, probe, is_reachable);
      flush(place);
    });
  }

  bool has_ended(BackendId id) const {
    const auto& ended = options_.ended_backends;
    return std::find(ended.begin(), ended.end(), id.value) != ended.end();
  }

  /// Time until a new connection fails.
  static Duration failure_time(const PathCut& cut) {
    const bool hangs = cut.kind == CutKind::kSilent || cut.kind == CutKind::kHanging;
    return hangs ? kConnectTimeout : 2 * kOneWay;
  }

  // ------------------------------------------------------------ attempts

  void send(std::size_t place, const Forward& forward) {
    Node& node = nodes_[place];
    const AttemptKey key = key_of(place, forward.attempt);
    Attempt& attempt = attempts_[key];
    attempt = {forward.address, request_of(place, forward.handle), false, false, false};
    if (!forward.peer.empty()) {
      attempt.is_relayed = true;
      return relay(key, forward);
    }
    const PathCut* cut = cut_of(place, backends_.at(forward.address).service);
    std::size_t& idle = node.idle_connections[forward.address];
    if (idle > 0) {
      --idle;
      return write(key, cut);
    }
    attempt.is_new_connection = true;
    if (cut != nullptr || has_ended(forward.backend)) {
      AttemptResult result;
      result.end = AttemptEnd::kNotSent;
      const Duration wait = cut == nullptr ? 2 * kOneWay : failure_time(*cut);
      return after(wait, [this, key, result] { end_attempt(key, result); });
    }
    after(2 * kOneWay, [this, key] {
      const auto found = attempts_.find(key);
      if (found != attempts_.end()) {
        write(key, cut_of(key.place, backends_.at(found->second.address).service));
      }
    });
  }

  // ------------------------------------------------------------ relays

  /// The request of a caller that a router handles under a number of its own.
  RequestHandle request_of(std::size_t place, RequestHandle handle) const {
    const auto relayed = relayed_.find({place, handle});
    return relayed == relayed_.end() ? handle : relayed->second.request;
  }

  void relay(const AttemptKey& key, const Forward& forward) {
    ++result_.relayed;
    result_.relayed_twice += relayed_.contains({key.place, forward.handle}) ? 1 : 0;
    nodes_[key.place].core->on_attempt_started(key.attempt);
    nodes_[key.place].core->on_attempt_written(key.attempt);
    after(kOneWay, [this, key, forward, request = attempts_.at(key).request] {
      if (!attempts_.contains(key)) {
        return;  // cancelled
      }
      const std::size_t peer = place_of(forward.peer);
      if (nodes_[peer].is_suspended) {
        return;  // the machine accepts the bytes, and nobody reads them
      }
      if (!nodes_[peer].is_running()) {
        return end_attempt(key, lost_peer(false));
      }
      router::CallerRequest call;
      call.handle = ++last_request_;
      call.method = "GET";
      call.timeout_ms = static_cast<std::uint32_t>(forward.time_left / milliseconds(1));
      call.route = router::RouteCall{"", "/x", std::nullopt};
      call.relay = router::RelayCall{forward.backend, forward.repeatable, forward.table_index};
      relayed_[{peer, call.handle}] = {key, request};
      nodes_[peer].core->on_request(now_, call);
      flush(peer);
    });
  }

  using RelayKey = std::pair<std::size_t, RequestHandle>;
  struct Relayed {
    AttemptKey origin;
    RequestHandle request = 0;
  };
  void answer_relay(std::size_t place, std::map<RelayKey, Relayed>::iterator relayed,
                    const Answer& answer) {
    AttemptResult result;
    if (answer.outcome == routing::Outcome::kNotRun) {
      result.end = AttemptEnd::kNotSent;
      result.relay_refusal = answer.relay_refusal;
    } else if (answer.outcome == routing::Outcome::kAnswered) {
      result = answered_.at(key_of(place, answer.attempt));
    }
    result.peer_load = static_cast<std::uint32_t>(nodes_[place].core->peer_requests());
    after(kOneWay, [this, key = relayed->second.origin, result] { end_attempt(key, result); });
    relayed_.erase(relayed);
  }

  void write(const AttemptKey& key, const PathCut* cut) {
    Attempt& attempt = attempts_.at(key);
    attempt.is_written = true;
    nodes_[key.place].core->on_attempt_started(key.attempt);
    nodes_[key.place].core->on_attempt_written(key.attempt);
    if (breaks_open_connections(cut)) {
      return after(kUnacknowledgedTimeout, [this, key] {
        const auto found = attempts_.find(key);
        if (found != attempts_.end()) {
          end_attempt(key, broken_result(found->second));
        }
      });
    }
    after(kOneWay, [this, key] { arrive(key); });
  }

  static AttemptResult broken_result(const Attempt& attempt) {
    AttemptResult result;
    result.end = attempt.is_written ? AttemptEnd::kBroken : AttemptEnd::kNotSent;
    result.connection_ended = attempt.is_written;
    return result;
  }

  void arrive(const AttemptKey& key) {
    const auto found = attempts_.find(key);
    if (found == attempts_.end()) {
      return;
    }
    const std::string address = found->second.address;
    Backend& backend = backends_.at(address);
    if (backend.running >= kSlots + kQueue) {
      AttemptResult result;
      result.end = AttemptEnd::kRefused;
      result.refusal = routing::Refusal::kShed;
      return reply(key, address, result);
    }
    run_request(found->second.request, backend);
    const double queued = static_cast<double>(backend.running) / kSlots;
    const Duration work(
        static_cast<Duration::rep>(kWorkMs[backend.service] * 1000 * std::max(1.0, queued) *
                                   (0.6 + 0.8 * common::uniform_real(random_))));
    after(work, [this, key, address] {
      --backends_.at(address).running;
      AttemptResult result;
      result.end = AttemptEnd::kAnswered;
      reply(key, address, result);
    });
  }

  void run_request(RequestHandle request, Backend& backend) {
    Story& story = stories_.at(request);
    ++backend.running;
    ++story.runs;
    if (story.runs > 1 && story.service == kUnsafe) {
      violate("request " + std::to_string(request) + " runs again");
    }
    if (story.told_not_run) {
      violate("request " + std::to_string(request) + " runs, and was called not run");
    }
  }

  /// The back end answers; the answer is lost where nothing passes.
  void reply(const AttemptKey& key, const std::string& address, AttemptResult result) {
    if (breaks_open_connections(cut_of(key.place, backends_.at(address).service))) {
      return;
    }
    after(kOneWay, [this, key, result]() mutable {
      const auto found = attempts_.find(key);
      if (found != attempts_.end()) {
        result.is_new_connection = found->second.is_new_connection;
        ++nodes_[key.place].idle_connections[found->second.address];
        end_attempt(key, result);
      }
    });
  }

  void end_attempt(const AttemptKey& key, const AttemptResult& result) {
    const Node& node = nodes_[key.place];
    if (!node.is_running() || node.life != key.life || attempts_.erase(key) == 0) {
      return;  // cancelled, or the router does nothing at present
    }
    answered_[key] = result;
    nodes_[key.place].core->on_attempt_done(now_, key.attempt, result);
    flush(key.place);
  }

  ReachOptions options_;
  common::RandomEngine random_;
  ReachResult result_;
  const TimePoint start_ = TimePoint(std::chrono::seconds(100));
  TimePoint now_ = start_;
  TimePoint next_update_;
  EventQueue events_;
  routing::TableDelta table_;
  std::map<std::string, Backend> backends_;  ///< by address
  std::vector<Node> nodes_;
  std::map<AttemptKey, Attempt> attempts_;
  std::map<AttemptKey, AttemptResult> answered_;  ///< results of ended attempts
  std::map<RelayKey, Relayed> relayed_;           ///< by the peer and its number of the request
  controller::RelayDirectory relays_;
  std::map<RequestHandle, Story> stories_;
  RequestHandle last_request_ = 0;
  std::uint64_t lives_ = 0;
};

}  // namespace

double FirstTries::share() const {
  return sent == 0 ? 0 : static_cast<double>(served) / static_cast<double>(sent);
}

ReachResult run_reach_world(const ReachOptions& options) { return ReachWorld(options).run(); }

}  // namespace planktray::sim
