#pragma once
/// The world of requests on routes. Internal to the route_world files.

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "controller/core/fleet_suspects.hpp"
#include "sim/crash_audit.hpp"
#include "sim/event_queue.hpp"
#include "sim/limit_audit.hpp"
#include "sim/repeat_audit.hpp"
#include "sim/route_world.hpp"

namespace planktray::sim::route_world {

using common::BackendId;
using common::Duration;
using common::Incarnation;
using common::LogIndex;
using common::ServiceId;
using common::TimePoint;
using router::Answer;
using router::AttemptResult;
using router::Forward;
using router::RequestHandle;
using routing::AttemptEnd;
using routing::Refusal;
using std::chrono::milliseconds;

inline constexpr Duration kStep = milliseconds(2);
inline constexpr Duration kOneWay = milliseconds(2);
/// A connection to nobody fails after this time.
inline constexpr Duration kConnectFailure = milliseconds(30);
/// The leader commits and sends what it has learnt within this time.
inline constexpr Duration kCommitTime = milliseconds(40);
/// An owner that falls silent keeps its keys for this long, unless it is known to have ended.
inline constexpr Duration kHold = milliseconds(9000);
/// An address is free again after this time.
inline constexpr Duration kReuseAfter = milliseconds(2000);
inline constexpr std::uint32_t kRanges = 64;
inline constexpr std::uint32_t kRangeKeys = config::kKeyCount / kRanges;
inline constexpr std::size_t kQueue = 12;
inline constexpr std::uint32_t kSlots = 3;
/// Sets the random numbers of limits apart from those of a run's seed.
inline constexpr std::uint64_t kLimitStream = 1'000'003;
inline constexpr std::uint64_t kCrashStream = 2'000'003;
/// Different requests of ordinary callers; each comes again often.
inline constexpr std::uint64_t kOrdinaryDigests = 3000;
/// Digests of requests that crash their targets begin here.
inline constexpr std::uint64_t kCrashingDigests = 1'000'000;
inline constexpr std::uint64_t kCrashingRequests = 3;
/// A target that was crashed is back after this time, as another incarnation.
inline constexpr Duration kBackAfter = milliseconds(3000);
/// A router looks whether a back end listens this long after a connection ended.
inline constexpr Duration kReachDelay = milliseconds(50);
/// Routers have to know within this time, where they reach the leader.
inline constexpr Duration kContact = milliseconds(3000);

enum ServiceNumber : std::size_t { kKeyed, kSmall, kPlain, kServices };
inline constexpr std::array<std::size_t, kServices> kTargets = {24, 8, 12};
inline constexpr std::array<double, kServices> kWorkMs = {60, 80, 80};
inline constexpr std::array<const char*, kServices> kNames = {"keyed", "small", "plain"};

inline ServiceId service_id(std::size_t service) { return ServiceId(service + 1); }

/// One process behind an address.
struct Process {
  BackendId id;
  Incarnation incarnation;
  std::string address;
  std::size_t service = 0;
  std::size_t running = 0;
  TimePoint granted;                           ///< it holds its keys from then on
  std::optional<double> limit = std::nullopt;  ///< requests a second that it names
};

class RouteWorld {
 public:
  explicit RouteWorld(const RouteWorldOptions& options);
  RouteWorldResult run();

 private:
  struct Node {
    std::unique_ptr<router::RouterCore> core;
    TimePoint cut_until;
    TimePoint in_touch_since;
    std::uint64_t life = 0;          ///< replies to an earlier life are lost
    std::int64_t read_clock_us = 0;  ///< of its newest hello that the present leader has read
  };
  /// What was seen of one request.
  struct Story {
    std::size_t service = 0;
    bool repeatable = false;
    int runs = 0;
    bool told_not_run = false;
    std::uint64_t digest = 0;
  };
  /// A request that runs at a back end.
  struct Running {
    std::size_t place = 0;
    std::uint64_t life = 0;
    router::AttemptId attempt = 0;
    std::uint64_t digest = 0;
  };

  bool has(RouteFault fault) const;
  void violate(const std::string& text);
  void after(Duration wait, EventQueue::Event event) { events_.add(now_ + wait, std::move(event)); }
  std::uint64_t uniform(std::uint64_t bound) { return common::uniform(random_, 0, bound - 1); }
  Duration between(std::int64_t first_ms, std::int64_t last_ms);
  // ------------------------------------------------------------ back ends and the leader

  std::string new_address() { return "10.0.0." + std::to_string(++last_address_) + ":80"; }

  Process& start_process(std::size_t service, const std::string& address);
  static routing::BackendRoute route_of(const Process& process);
  routing::TableDelta first_table();
  /// A registered, running back end with keys' service.
  BackendId free_owner();
  routing::KeyRangeRoute give(std::uint32_t range, BackendId owner);
  void publish(routing::TableDelta delta);
  /// The leader learns that a back end has ended: its keys pass on.
  void drop_owner(BackendId id);
  void register_process(const std::string& address, BackendId id);
  /// A third of the owners end in silence; others take their addresses and their work.
  void end_owners();
  /// A tenth of the back ends name a limit for some seconds. Drawn apart from the other troubles,
  /// which so stay those of their seeds.
  void name_limits();
  void make_trouble();
  // ------------------------------------------------------------ routers

  void start_router(Node& node);
  void send_tables();
  /// The leader ends, and the next one begins with nothing but its log.
  void change_leader();
  void ask_crashing();
  void crash(std::size_t place, const Forward& forward, std::uint64_t digest);
  void ask();
  void ask_one();
  void send_request(Node& node, std::size_t service, std::uint32_t key, std::uint64_t digest);
  void flush(Node& node);
  void on_answer(const Answer& answer);
  // ------------------------------------------------------------ a request at a back end

  void reply(Duration wait, std::size_t place, std::uint64_t life, router::AttemptId attempt,
             AttemptResult result);
  static AttemptResult refusal(Refusal reason, const Process& process);
  void arrive(std::size_t place, std::uint64_t life, const Forward& forward);
  void run_request(std::size_t place, std::uint64_t life, const Forward& forward, Process& process);
  RouteWorldOptions options_;
  common::RandomEngine random_;
  common::RandomEngine limit_random_;
  common::RandomEngine crash_random_;
  RepeatAudit audit_;
  LimitAudit limits_;
  CrashAudit crash_audit_;
  controller::FleetSuspects suspects_;  ///< the leader's
  std::map<BackendId, std::vector<Running>> running_;
  std::uint64_t term_ = 1;
  RouteWorldResult result_;
  TimePoint now_ = TimePoint(std::chrono::seconds(100));
  TimePoint next_trouble_ = now_ + milliseconds(3000);
  TimePoint next_limits_ = now_ + milliseconds(2000);
  TimePoint next_leader_ = now_ + milliseconds(9000);
  TimePoint leader_since_;
  TimePoint next_crashing_ = now_ + milliseconds(4000);
  TimePoint next_tables_;
  TimePoint answers_lost_until_;
  EventQueue events_;
  std::map<std::string, Process> at_address_;
  std::map<BackendId, Process> known_;  ///< what the leader has registered
  std::array<BackendId, kRanges> owners_;
  std::vector<routing::TableDelta> deltas_;
  std::vector<Node> nodes_;
  std::map<RequestHandle, Story> stories_;
  std::uint64_t last_address_ = 0;
  std::uint64_t last_backend_ = 0;
  std::uint64_t last_request_ = 0;
  std::uint64_t lives_ = 0;
};

}  // namespace planktray::sim::route_world
