#include "sim/grant_world.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "controller/core/holder_answers.hpp"
#include "sim/event_queue.hpp"

namespace planktray::sim {
namespace {

using common::BackendId;
using common::Duration;
using common::Epoch;
using common::LogIndex;
using common::TimePoint;
using ownership::GrantOrder;
using ownership::KeyRange;
using ownership::OrderOutcome;
using ownership::OrderReply;
using ownership::RangeRecord;
using ownership::ReleaseOrder;
using std::chrono::milliseconds;

/// Keys are followed in blocks: every range of a run begins and ends at their borders.
constexpr std::size_t kBlocks = 16;
constexpr std::uint32_t kBlockKeys = config::kKeyCount / kBlocks;
constexpr Duration kStep = milliseconds(5);
constexpr double kSlowestClock = 0.98;
/// The longest that an unanswered order stays under way before it is taken.
constexpr std::uint64_t kLongestDelayMs = 12'000;
constexpr Duration kGrantTimeout = milliseconds(500);
constexpr Duration kReleaseTimeout = milliseconds(3000);
constexpr Duration kConnectTimeout = milliseconds(400);
/// A heartbeat without an answer is given up after this time, and the next one follows.
constexpr Duration kHeartbeatTimeout = milliseconds(1000);
/// A holder that is still releasing keys sends its next heartbeat within this time.
constexpr std::uint64_t kReleasingBeatMs = 100;
/// Probability that a plan counts with a holder that has ended, and not only with those that run.
constexpr double kSilentChosen = 0.1;
/// How long the leader keeps a heartbeat that it has no news for.
constexpr Duration kAnswerDelay = milliseconds(500);

/// One process that holds keys, as the platform's page describes it.
struct Holder {
  BackendId id;
  std::string address;
  bool up = true;
  double clock_rate = 1.0;
  TimePoint cut_until;
  TimePoint late_until;
  struct Block {
    Epoch highest;  ///< fence seen
    TimePoint held_until;
    TimePoint working_until;   ///< after a release: what runs ends then, or with the lease
    bool must_report = false;  ///< released, and not told yet in a heartbeat that was answered
    bool is_in_use(TimePoint now) const { return held_until > now || working_until > now; }
  };
  std::array<Block, kBlocks> blocks;
  bool reports = false;  ///< it hears of its keys in the answers to its heartbeats
  std::uint64_t sequence = 0;
  std::uint64_t answered = 0;                 ///< sequence of the last heartbeat that was answered
  TimePoint sent;                             ///< when the newest heartbeat was sent
  std::array<bool, kBlocks> told_released{};  ///< in the heartbeat that is under way
};

/// A heartbeat of a holder that says what it holds.
struct SentHeartbeat {
  BackendId holder;
  std::uint64_t sequence = 0;
  TimePoint sent;
  ownership::HoldingsReport report;
  bool is_copy = false;
};

std::size_t first_block(const KeyRange& keys) { return keys.first / kBlockKeys; }
std::size_t last_block(const KeyRange& keys) { return keys.last / kBlockKeys; }

class GrantWorld {
 public:
  explicit GrantWorld(const GrantWorldOptions& options)
      : options_(options),
        random_(options.seed),
        manager_(options.grant),
        monitor_(options.heartbeat) {
    start_service();
    for (std::size_t i = 0; i < options_.holders; ++i) {
      add_holder("10.0.0." + std::to_string(i + 1) + ":80", i < options_.reporting_holders);
    }
    lead();
  }

  GrantWorldResult run() {
    while (now_ < TimePoint(options_.length)) {
      now_ += kStep;
      events_.run_due(now_);
      make_trouble();
      if (leads_) {
        work();
      }
    }
    return result_;
  }

 private:
  bool has(GrantFault fault) const {
    return std::find(options_.faults.begin(), options_.faults.end(), fault) !=
           options_.faults.end();
  }
  /// True at a step about once in `every`.
  bool strikes(GrantFault fault, Duration every) {
    const double probability =
        static_cast<double>(kStep.count()) / static_cast<double>(every.count());
    return has(fault) && common::chance(random_, probability);
  }
  Duration between(std::uint64_t low_ms, std::uint64_t high_ms) {
    return milliseconds(common::uniform(random_, low_ms, high_ms));
  }
  void at(TimePoint when, EventQueue::Event event) { events_.add(when, std::move(event)); }

  // ------------------------------------------------------------ the log

  void apply(const ownership::Command& command) {
    earlier_state_ = state_;
    state_.apply(LogIndex(++index_), command);
  }
  /// Commits after a while; what a leader that has ended proposed may be lost.
  void propose(ownership::Command command) {
    proposing_ = true;
    const std::uint64_t term = result_.leaders;
    at(now_ + between(2, 30), [this, term, command = std::move(command)] {
      if (term == result_.leaders) {
        proposing_ = false;
      }
      if (term == result_.leaders || common::chance(random_, 0.5)) {
        apply(command);
      }
    });
  }
  const ownership::KeyRangeMap& ranges() const {
    return state_.routed_services().at(service_).ranges;
  }
  void start_service() {
    config::RouteChange change;
    change.version = 1;
    change.replaces_all = true;
    config::RoutedService keyed;
    keyed.name = common::ServiceName("keyed");
    keyed.keyed = true;
    change.services.push_back(keyed);
    apply(ownership::ChangeRoutes{change});
    service_ = state_.routed_services().begin()->first;
  }
  /// @param up false: its process had ended before its registration arrived.
  void add_holder(const std::string& address, bool reports, bool up = true) {
    ownership::RegisterBackend registration;
    const std::string name = "life-" + std::to_string(holders_.size() + 1);
    registration.machine = common::MachineName(name);
    registration.address = address;
    registration.pool = common::PoolName("keyed");
    registration.incarnation = common::Incarnation(name);
    registration.contract =
        static_cast<std::uint8_t>(reports ? ownership::OwnershipContract::kReportedGrant
                                          : ownership::OwnershipContract::kFencedGrant);
    apply(registration);
    auto holder = std::make_unique<Holder>();
    holder->reports = reports;
    holder->id = BackendId(index_);
    holder->address = address;
    holder->up = up;
    if (has(GrantFault::kSlowClocks)) {
      holder->clock_rate = kSlowestClock + (1.0 - kSlowestClock) * common::uniform_real(random_);
    }
    holders_.push_back(std::move(holder));
    if (reports) {
      send_heartbeat(BackendId(index_));
    }
    if (leads_) {
      verify_owners_at(address);
    }
  }
  /// As ControllerCore does after a registration.
  void verify_owners_at(const std::string& address) {
    const std::vector<BackendId> candidates = state_.candidates_at(address);
    for (const BackendId id : candidates) {
      if (candidates.size() > 1) {
        manager_.verify_owner(now_, id);
      }
    }
  }

  // ------------------------------------------------------------ troubles

  void lead() {
    ++result_.leaders;
    leads_ = true;
    proposing_ = false;
    manager_ = ownership::GrantManager(options_.grant);
    // It applies the last entry of the term before only after its election.
    manager_.begin_term(now_, earlier_state_, LogIndex(++index_));
    state_.skip(LogIndex(index_));
    monitor_.begin_term(now_);
    answers_.cancel_all();
    kept_.clear();
  }
  void make_trouble() {
    if (leads_ && strikes(GrantFault::kLeaderChanges, milliseconds(9000))) {
      leads_ = false;
      at(now_ + between(300, 1500), [this] { lead(); });
    }
    Holder& holder = *holders_[common::uniform(random_, 0, holders_.size() - 1)];
    if (strikes(GrantFault::kCutHolders, milliseconds(4000))) {
      holder.cut_until = now_ + between(500, 9000);
    }
    if (strikes(GrantFault::kLateOrders, milliseconds(5000))) {
      holder.late_until = now_ + between(500, 6000);
    }
    if (holder.up && strikes(GrantFault::kLateRegistrations, milliseconds(5000))) {
      ++result_.registered_late;
      add_holder(holder.address, holder.reports, false);
    }
    if (holder.up && strikes(GrantFault::kRestarts, milliseconds(15'000))) {
      holder.up = false;
      at(now_ + between(500, 6000), [this, address = holder.address, reports = holder.reports] {
        add_holder(address, reports);
      });
    }
  }

  // ------------------------------------------------------------ the leader

  void work() {
    std::vector<GrantOrder> grants;
    std::vector<ReleaseOrder> releases;
    manager_.collect(now_, state_, grants, releases);
    for (const GrantOrder& order : grants) {
      send(order, kGrantTimeout);
    }
    for (const ReleaseOrder& order : releases) {
      send(order, kReleaseTimeout);
    }
    for (const controller::HolderAnswer& answer : answers_.collect(now_, state_, manager_)) {
      send_answer(answer);
    }
    if (proposing_) {
      return;
    }
    const ownership::GrantTerms terms{manager_.holders_in_doubt(now_), 0};
    if (terms != state_.grant_terms()) {
      return propose(ownership::SetGrantTerms{terms});
    }
    ownership::ApplyRangePlan plan = make_plan();
    if (!plan.empty()) {
      propose(plan);
    }
  }
  BackendId any_holder() {
    std::vector<BackendId> live;
    for (const auto& holder : holders_) {
      const ownership::BackendRecord* record = state_.find_backend(holder->id);
      // Most holders that have ended are known to be silent.
      const bool is_offered = holder->up || !has(GrantFault::kLateRegistrations) ||
                              common::chance(random_, kSilentChosen);
      if (record != nullptr && !record->ended && is_offered) {
        live.push_back(holder->id);
      }
    }
    return live.empty() ? BackendId() : live[common::uniform(random_, 0, live.size() - 1)];
  }
  /// Gives free keys to anybody, and begins to move some now and then.
  ownership::ApplyRangePlan make_plan() {
    ownership::ApplyRangePlan plan;
    plan.moves = manager_.withdrawals(now_, state_);
    const bool moves_some = plan.moves.empty() && common::chance(random_, 0.02);
    for (const auto& [first, record] : ranges().records()) {
      const auto verdict = manager_.may_assign(now_, state_, service_, record);
      if (verdict.free) {
        plan.assignments.push_back(
            {service_, part_of(record.keys), record.fence, any_holder(), verdict.handover});
      } else if (moves_some && !record.moving && common::chance(random_, 0.3)) {
        plan.moves.push_back({service_, part_of(record.keys), record.fence, any_holder()});
      }
    }
    if (plan.empty() && common::chance(random_, 0.005)) {
      plan.joins = joinable();
    }
    for (const ownership::RangeJoin& range : manager_.ranges_to_fence(now_, state_)) {
      plan.joins.push_back(range);
    }
    result_.owners_changed += plan.assignments.size();
    return plan;
  }
  KeyRange part_of(const KeyRange& keys) {
    const std::size_t first = common::uniform(random_, first_block(keys), last_block(keys));
    const std::size_t last = common::uniform(random_, first, last_block(keys));
    return {static_cast<std::uint32_t>(first) * kBlockKeys,
            static_cast<std::uint32_t>(last + 1) * kBlockKeys - 1};
  }
  std::vector<ownership::RangeJoin> joinable() const {
    const auto& records = ranges().records();
    for (auto next = records.begin(); next != records.end();) {
      const RangeRecord& left = (next++)->second;
      const bool joins = next != records.end() && left.owner.value != 0 && !left.moving &&
                         !next->second.moving && next->second.owner == left.owner;
      if (joins) {
        return {{service_, {left.keys.first, next->second.keys.last}, left.owner}};
      }
    }
    return {};
  }

  // ------------------------------------------------------------ heartbeats

  void send_heartbeat(BackendId id) {
    Holder& holder = *find_holder(id);
    if (!holder.up) {
      return;
    }
    SentHeartbeat heartbeat{id, ++holder.sequence, now_, {}};
    for (std::size_t i = 0; i < kBlocks; ++i) {
      const auto first = static_cast<std::uint32_t>(i) * kBlockKeys;
      const KeyRange keys{first, first + kBlockKeys - 1};
      const Holder::Block& block = holder.blocks[i];
      holder.told_released[i] = block.must_report && !block.is_in_use(now_);
      if (block.is_in_use(now_)) {
        heartbeat.report.held.push_back({keys, block.highest});
      } else if (holder.told_released[i]) {
        heartbeat.report.released.push_back({keys, "handover"});
      }
    }
    TimePoint arrival = now_ + between(1, 40);
    if (now_ < holder.late_until) {
      arrival = now_ + between(0, kLongestDelayMs);
    } else if (now_ < holder.cut_until) {
      arrival = holder.cut_until + between(1, 40);
    }
    holder.sent = now_;
    at(arrival, [this, heartbeat] { take_heartbeat(heartbeat); });
    if (has(GrantFault::kRelays) && common::chance(random_, 0.2)) {
      SentHeartbeat copy = heartbeat;
      copy.is_copy = true;
      at(now_ + between(0, kLongestDelayMs), [this, copy] { take_heartbeat(copy); });
    }
    at(now_ + kHeartbeatTimeout, [this, id, sequence = heartbeat.sequence] {
      if (find_holder(id)->sequence == sequence) {
        send_heartbeat(id);
      }
    });
  }
  void take_heartbeat(const SentHeartbeat& heartbeat) {
    const ownership::BackendRecord* record = state_.find_backend(heartbeat.holder);
    if (!leads_ || record == nullptr) {
      return;
    }
    if (!monitor_.note_heartbeat(now_, record->incarnation, heartbeat.sequence, Duration(0))) {
      ++result_.late_heartbeats;
      return;
    }
    ++result_.reports;
    result_.relayed_again += heartbeat.is_copy ? 1 : 0;
    manager_.on_holdings_report(now_, state_, heartbeat.holder, heartbeat.report);
    const std::uint64_t request = ++requests_;
    kept_[request] = heartbeat;
    answers_.defer(heartbeat.holder, request, now_, now_ + kAnswerDelay);
  }
  void send_answer(const controller::HolderAnswer& answer) {
    const SentHeartbeat heartbeat = kept_.at(answer.request);
    kept_.erase(answer.request);
    const bool is_lost = has(GrantFault::kLostAnswers) && common::chance(random_, 0.05);
    const bool is_late = now_ < find_holder(heartbeat.holder)->late_until;
    const Duration delay = is_late ? between(1, kLongestDelayMs) : between(1, 40);
    if (!is_lost) {
      at(now_ + delay,
         [this, heartbeat, holdings = answer.holdings] { take_answer(heartbeat, holdings); });
    }
  }
  void take_answer(const SentHeartbeat& heartbeat, const ownership::GrantedHoldings& holdings) {
    Holder& holder = *find_holder(heartbeat.holder);
    const bool is_for_newest =
        holder.sequence == heartbeat.sequence || !options_.match_relayed_answers;
    const bool is_answered = holder.answered == holder.sequence;
    if (!holder.up || !is_for_newest || is_answered || now_ < holder.cut_until) {
      return;  // it has given this heartbeat up, or has an answer
    }
    holder.answered = holder.sequence;
    ++result_.answers_taken;
    const double hold = static_cast<double>(holdings.hold_time.count()) / holder.clock_rate;
    const TimePoint end = holder.sent + Duration(static_cast<Duration::rep>(hold));
    bool is_releasing = false;
    for (std::size_t i = 0; i < kBlocks; ++i) {
      Holder::Block& block = holder.blocks[i];
      block.must_report = block.must_report && !holder.told_released[i];
      const auto key = static_cast<std::uint32_t>(i) * kBlockKeys;
      const auto row = std::find_if(holdings.ranges.begin(), holdings.ranges.end(),
                                    [key](const auto& candidate) {
                                      return candidate.keys.contains({key, key});
                                    });
      if (row != holdings.ranges.end()) {
        take_row(holder, i, row->fence, end);
      } else if (block.held_until > now_) {
        release_block(block);
      }
      is_releasing = is_releasing || block.must_report;
    }
    const Duration rest = is_releasing
                              ? between(10, kReleasingBeatMs)
                              : std::max<Duration>(milliseconds(1), options_.heartbeat_interval -
                                                                        (now_ - holder.sent));
    at(now_ + rest, [this, id = holder.id, sequence = holder.sequence] {
      if (find_holder(id)->sequence == sequence) {
        send_heartbeat(id);
      }
    });
  }
  void take_row(Holder& holder, std::size_t i, Epoch fence, TimePoint end) {
    Holder::Block& block = holder.blocks[i];
    if (block.highest > fence || end <= now_) {
      return;
    }
    ++result_.grants_taken;
    judge(holder, i, fence);
    block.highest = fence;
    block.held_until = end;
    block.must_report = false;
    taken_[i][holder.id] = std::max(taken_[i][holder.id], fence);
  }
  void release_block(Holder::Block& block) {
    ++result_.reported_releases;
    block.working_until = std::min(block.held_until, now_ + between(0, 400));
    block.held_until = now_;
    block.must_report = true;
  }

  // ------------------------------------------------------------ orders

  Holder* find_holder(BackendId id) {
    const auto found = std::find_if(holders_.begin(), holders_.end(),
                                    [id](const auto& holder) { return holder->id == id; });
    return found == holders_.end() ? nullptr : found->get();
  }
  bool has_successor(const Holder& holder) const {
    return std::any_of(holders_.begin(), holders_.end(), [&](const auto& other) {
      return other->up && other->address == holder.address && other->id != holder.id;
    });
  }
  void reply(TimePoint when, std::uint64_t id, const OrderReply& answer) {
    const std::uint64_t term = result_.leaders;
    at(when, [this, term, id, answer] {
      if (term != result_.leaders || !leads_) {
        return;
      }
      const auto order = manager_.on_reply(now_, id, answer);
      if (order.has_value() && answer.outcome == OrderOutcome::kReplaced) {
        mark_ended(order->backend);
      }
    });
  }
  void mark_ended(BackendId id) {
    ++result_.replaced;
    ownership::MarkLeaving ending;
    ending.backend = id;
    ending.ended = true;
    at(now_ + between(2, 30), [this, ending] { apply(ending); });
  }
  template <typename Order>
  void send(const Order& order, Duration timeout) {
    const Holder& holder = *find_holder(order.backend);
    if (now_ < holder.cut_until || (!holder.up && !has_successor(holder))) {
      return reply(now_ + kConnectTimeout, order.id, {OrderOutcome::kNotSent, ""});
    }
    if (!holder.up) {
      return reply(now_ + milliseconds(2), order.id, {OrderOutcome::kReplaced, ""});
    }
    const bool is_late = now_ < holder.late_until;
    const bool is_lost = has(GrantFault::kLostAnswers) && common::chance(random_, 0.02);
    const Duration delay = is_late ? between(0, kLongestDelayMs) : between(1, 40);
    const TimePoint sent = now_;
    at(now_ + delay, [this, order, is_late, is_lost] {
      result_.taken_late += is_late ? 1 : 0;
      const OrderReply answer = take(order);
      if (!is_late && !is_lost) {
        reply(now_ + between(1, 5), order.id, answer);
      }
    });
    if (is_late || is_lost) {
      reply(sent + timeout, order.id, {OrderOutcome::kUnanswered, ""});
    }
  }
  OrderReply take(const GrantOrder& order) {
    Holder& holder = *find_holder(order.backend);
    if (!holder.up) {
      return {OrderOutcome::kUnanswered, ""};
    }
    for (std::size_t i = first_block(order.keys); i <= last_block(order.keys); ++i) {
      if (holder.blocks[i].highest > order.fence) {
        return {OrderOutcome::kFenced, ""};
      }
    }
    ++result_.grants_taken;
    const double hold = static_cast<double>(order.hold_time.count()) / holder.clock_rate;
    for (std::size_t i = first_block(order.keys); i <= last_block(order.keys); ++i) {
      judge(holder, i, order.fence);
      holder.blocks[i].highest = order.fence;
      holder.blocks[i].held_until = now_ + Duration(static_cast<Duration::rep>(hold));
      taken_[i][holder.id] = std::max(taken_[i][holder.id], order.fence);
    }
    return {OrderOutcome::kAccepted, ""};
  }
  OrderReply take(const ReleaseOrder& order) {
    Holder& holder = *find_holder(order.backend);
    if (!holder.up) {
      return {OrderOutcome::kUnanswered, ""};
    }
    ++result_.releases;
    for (std::size_t i = first_block(order.keys); i <= last_block(order.keys); ++i) {
      holder.blocks[i].highest = std::max(holder.blocks[i].highest, order.fence);
      holder.blocks[i].held_until = now_;
    }
    return {OrderOutcome::kAccepted, "handover"};
  }

  // ------------------------------------------------------------ the promises

  void judge(const Holder& taker, std::size_t block, Epoch fence) {
    const auto describe = [&](const char* what, BackendId other) {
      result_.violations.push_back(
          "at " + std::to_string(common::to_microseconds(now_) / 1000) + " ms holder " +
          std::to_string(taker.id.value) + " takes block " + std::to_string(block) +
          " under fence " + std::to_string(fence.value) + what + std::to_string(other.value));
    };
    for (const auto& other : holders_) {
      if (other->id != taker.id && other->up && other->blocks[block].is_in_use(now_)) {
        describe(" while it is held by ", other->id);
      }
    }
    for (const auto& [other, highest] : taken_[block]) {
      if (other != taker.id && highest >= fence) {
        describe(", not above that of ", other);
      }
    }
  }

  GrantWorldOptions options_;
  common::RandomEngine random_;
  TimePoint now_;
  EventQueue events_;
  ownership::CellState state_;
  ownership::CellState earlier_state_;  ///< without the last entry
  std::uint64_t index_ = 0;
  common::ServiceId service_;
  ownership::GrantManager manager_;
  membership::HeartbeatMonitor monitor_;
  controller::HolderAnswers answers_;
  std::map<std::uint64_t, SentHeartbeat> kept_;  ///< by the request that was kept for an answer
  std::uint64_t requests_ = 0;
  bool leads_ = false;
  bool proposing_ = false;
  std::vector<std::unique_ptr<Holder>> holders_;
  std::array<std::map<BackendId, Epoch>, kBlocks> taken_;
  GrantWorldResult result_;
};

}  // namespace

GrantWorldResult run_grant_world(const GrantWorldOptions& options) {
  return GrantWorld(options).run();
}

const std::vector<GrantMutant>& all_grant_mutants() {
  static const std::vector<GrantMutant> kMutants = {
      {"no-wait-for-answered", "answered orders run out before keys pass on",
       [](GrantWorldOptions& options) { options.grant.wait_for_answered = false; }},
      {"no-wait-for-unanswered", "so do orders that may still be taken",
       [](GrantWorldOptions& options) { options.grant.wait_for_unanswered = false; }},
      {"no-grant-wait-after-election", "a new leader counts the orders of the one before",
       [](GrantWorldOptions& options) { options.grant.wait_after_election = false; }},
      {"release-with-old-fence", "a release refuses older orders that are under way",
       [](GrantWorldOptions& options) { options.grant.release_with_new_fence = false; }},
      {"trust-holder-clocks", "a holder's clock may be slow",
       [](GrantWorldOptions& options) {
         options.grant.clock_error = 0;
         options.grant.margin = Duration(0);
       }},
      {"heartbeats-prove-all", "a heartbeat says nothing of the answers of leaders before",
       [](GrantWorldOptions& options) {
         options.reporting_holders = options.holders;
         options.grant.wait_for_earlier_answers = false;
       }},
      {"reported-keys-are-free", "keys that a heartbeat lists are held or worked on",
       [](GrantWorldOptions& options) {
         options.reporting_holders = options.holders;
         options.grant.respect_reported_holds = false;
       }},
      {"late-heartbeats-count", "a heartbeat that comes after a newer one says nothing",
       [](GrantWorldOptions& options) {
         options.reporting_holders = options.holders;
         options.heartbeat.refuse_late = false;
       }},
      {"answers-to-any-heartbeat", "a relayed answer is for the heartbeat that it names",
       [](GrantWorldOptions& options) {
         options.reporting_holders = options.holders;
         options.match_relayed_answers = false;
       }},
      {"trust-reporting-clocks", "a holder's clock may be slow, answers to heartbeats or not",
       [](GrantWorldOptions& options) {
         options.reporting_holders = options.holders;
         options.grant.clock_error = 0;
         options.grant.margin = Duration(0);
       }}};
  return kMutants;
}

}  // namespace planktray::sim
