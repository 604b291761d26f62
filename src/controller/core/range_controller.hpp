#pragma once
/// The leader's work for back ends that register themselves and hold fenced grants: who is heard,
/// which orders go out, and which plan is proposed next.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "controller/core/fleet_backoffs.hpp"
#include "controller/core/fleet_limits.hpp"
#include "controller/core/holder_answers.hpp"
#include "controller/core/owner_admission.hpp"
#include "membership/heartbeat_monitor.hpp"
#include "ownership/cell_state.hpp"
#include "ownership/grant_manager.hpp"
#include "ownership/key_loads.hpp"
#include "ownership/range_planner.hpp"
#include "ownership/target_times.hpp"

namespace planktray::controller {

using common::Duration;
using common::TimePoint;

struct RangeOptions {
  membership::HeartbeatOptions heartbeat;
  ownership::GrantOptions grant;
  ownership::RangePlannerOptions planner;
  Duration load_half_life = std::chrono::milliseconds(800);
  /// Weight of one measured request in the smoothed speed of a target. A request's time scatters by
  /// about its own mean, so 25 requests tell a speed to a fifth.
  double speed_sample_weight = 0.04;
  /// How often loads are folded and keys may be moved for balance.
  Duration balance_interval = std::chrono::milliseconds(300);
  /// Neighbouring ranges of one owner become one this often.
  Duration join_interval = std::chrono::milliseconds(2500);
  /// The first owners of a service are chosen when no back end has joined it for this long.
  Duration settle_time = std::chrono::milliseconds(1600);
  /// A heartbeat of a back end that hears in the answer what it holds is kept for this long, so
  /// that news reach it at once. Well below the second after which its sender gives it up.
  Duration answer_delay = std::chrono::milliseconds(500);
  /// The same for one that has just said it is leaving, which waits for the acknowledgement: time
  /// enough for the plan that empties it.
  Duration leaving_answer_delay = std::chrono::milliseconds(60);
  /// Which back ends are cold is looked through this often.
  Duration warmth_interval = std::chrono::milliseconds(200);
  /// A heartbeat that comes sooner than this after its zone was taken back, or after the leader
  /// was elected, does not show that its sender is warm: followers report heartbeats up to 250 ms
  /// after they came.
  Duration warmth_settle = std::chrono::milliseconds(400);
  FleetLimitsOptions limits;
  FleetBackoffsOptions backoffs;
  OwnerAdmissionOptions admission;
  /// Part of a limit that all routers together plan to send.
  double admitted_share = 0.5;
  /// Part of a limit that its back end is given keys for. Below what is admitted, so that demand
  /// may vary by a quarter before callers are refused.
  double limit_share = 0.4;
  /// Least rate that is admitted, in requests a second: the end of a limit of 0 has to be heard.
  double least_admitted = 0.1;
  /// What is admitted is worked out anew this often: a fifth of the time in which routers have to
  /// have heard of a limit, and a look at all keys of limited owners each time.
  Duration limits_interval = std::chrono::milliseconds(200);
  /// Demand is known when loads cover this time; a shorter one holds too few requests of a target.
  Duration demand_time = std::chrono::milliseconds(1000);
};

class RangeController {
 public:
  explicit RangeController(RangeOptions options);

  void begin_term(TimePoint now, const ownership::CellState& state);
  /// @return the heartbeats that were kept for an answer.
  std::vector<OperatorRequestId> end_term() {
    grants_.end_term();
    return answers_.cancel_all();
  }

  void note_loads(TimePoint now, const routing::RouterHello& hello) {
    loads_.add(hello.key_loads);
    times_.add(hello.target_times);
    admission_.add_reports(now, hello.target_times);
    backoffs_.take(now, hello);
  }
  /// Owners whose queues are too long, where that was worked out anew since the last call.
  std::optional<std::vector<routing::AdmittedShare>> take_crowded() {
    return std::exchange(crowded_, std::nullopt);
  }
  /// Takes what a router has heard of limits that back ends name.
  /// @return what routers are to be told of limits, where it is time to work that out anew.
  std::optional<FleetLimits::Told> note_limits(TimePoint now, const ownership::CellState& state,
                                               const routing::RouterHello& hello);
  /// @return false for a late heartbeat that says nothing about now.
  bool note_heartbeat(TimePoint now, const common::Incarnation& incarnation, std::uint64_t sequence,
                      Duration cold_for) {
    return heartbeats_.note_heartbeat(now, incarnation, sequence, cold_for);
  }
  /// The back end has just been heard of.
  void note_alive(TimePoint now, common::BackendId backend) { grants_.note_alive(now, backend); }
  /// Requests may go to the zone's back ends again.
  void note_zone_returned(TimePoint now, const common::ZoneName& zone) {
    zones_returned_[zone] = now;
  }
  /// Back ends that heartbeats show to be cold or warm otherwise than the state says; empty between
  /// two looks.
  ownership::SetWarmth warmth_changes(TimePoint now, const ownership::CellState& state);
  /// @return the back end the order was for, or nothing where the order is not known any more.
  std::optional<common::BackendId> on_order_reply(TimePoint now, const ownership::CellState& state,
                                                  ownership::OrderId id,
                                                  const ownership::OrderReply& reply);

  /// Takes what a back end says it holds.
  void take_report(TimePoint now, const ownership::CellState& state, common::BackendId backend,
                   const ownership::HoldingsReport& report);
  /// Keeps the heartbeat of such a back end until there is something to say.
  /// @return the request of an older one, which is not answered any more.
  std::optional<OperatorRequestId> keep_heartbeat(TimePoint now, common::BackendId backend,
                                                  OperatorRequestId request) {
    return answers_.defer(backend, request, now, now + options_.answer_delay);
  }
  /// The same, once what the heartbeat said has been committed.
  std::optional<OperatorRequestId> keep_committed(TimePoint now, TimePoint received,
                                                  common::BackendId backend,
                                                  OperatorRequestId request) {
    return answers_.defer(backend, request, received, now + options_.leaving_answer_delay);
  }
  std::vector<HolderAnswer> collect_answers(TimePoint now, const ownership::CellState& state) {
    return answers_.collect(now, state, grants_);
  }
  /// Makes the orders that are due.
  void collect_orders(TimePoint now, const ownership::CellState& state,
                      std::vector<ownership::GrantOrder>& grants,
                      std::vector<ownership::ReleaseOrder>& releases) {
    grants_.collect(now, state, grants, releases);
  }
  /// Makes the next plan where one is due; it may be empty.
  ownership::ApplyRangePlan plan(TimePoint now, const ownership::CellState& state);
  /// What the state should tell the next leader.
  ownership::GrantTerms wanted_terms(TimePoint now, const ownership::CellState& state) const;
  using BackendCheck = std::function<bool(const ownership::BackendRecord&)>;
  /// Whether an owner is to give its keys up though it stays: it is cold or keeps routers away, and
  /// most others of its service do not. Goes through all back ends; the check itself does not.
  BackendCheck spared_check(TimePoint now, const ownership::CellState& state) const;
  /// When there is something to do, if nothing happens before.
  TimePoint next_due() const;
  const ownership::GrantManager& grants() const { return grants_; }
  /// True where the back end was not heard for so long that it gets no keys.
  bool is_silent(TimePoint now, const common::Incarnation& incarnation) const {
    return heartbeats_.is_silent(now, incarnation);
  }

 private:
  /// Services with more targets for which `is_poor` is false than true, by name: there, the poor
  /// ones own no keys.
  static std::set<common::PoolName> mostly_good(const ownership::CellState& state,
                                                const BackendCheck& is_poor);
  bool is_eligible(TimePoint now, const ownership::CellState& state,
                   const ownership::BackendRecord& backend) const;
  /// Requests a second for the keys that the back end owns.
  double demand(const ownership::CellState& state, common::BackendId owner) const;
  /// Works out anew which owners are crowded.
  void fold_admission(TimePoint now, const ownership::CellState& state);
  FleetLimits::Told limits_told(const ownership::CellState& state) const;
  bool is_settled(TimePoint now, const ownership::CellState& state,
                  const ownership::RoutedServiceRecord& service);
  /// True where it has not been heard for so long that it may be dropped.
  bool is_unheard(TimePoint now, const ownership::BackendRecord& backend) const;
  /// Back ends that own nothing and have ended, or, where that is looked for, fell silent.
  std::vector<common::BackendId> forgotten(TimePoint now, const ownership::CellState& state,
                                           bool look_for_silent) const;

  RangeOptions options_;
  membership::HeartbeatMonitor heartbeats_;
  ownership::GrantManager grants_;
  HolderAnswers answers_;
  ownership::RangePlanner planner_;
  ownership::KeyLoads loads_;
  ownership::TargetTimes times_;
  FleetLimits limits_;
  FleetBackoffs backoffs_;
  OwnerAdmission admission_;
  std::optional<std::vector<routing::AdmittedShare>> crowded_;
  ownership::Capacities capacities_;  ///< as of the last fold of loads
  common::LogIndex planned_state_;
  TimePoint next_plan_;
  TimePoint rested_at_;  ///< no plan before, but for balance
  TimePoint next_balance_;
  TimePoint next_join_;
  TimePoint next_warmth_;
  TimePoint next_limits_;
  TimePoint term_began_;
  std::map<common::ZoneName, TimePoint> zones_returned_;  ///< in this term
  struct Joined {
    std::size_t targets = 0;
    TimePoint changed;
  };
  std::map<common::ServiceId, Joined> joined_;
};

}  // namespace planktray::controller
