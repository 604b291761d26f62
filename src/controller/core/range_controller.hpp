#pragma once
/// The leader's work for back ends that register themselves and hold fenced grants: tracks their
/// heartbeats, issues orders to them and makes the next plan to propose.

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
#include "ownership/owner_limit.hpp"
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
  /// Weight of one measured request in the smoothed speed of a target. The standard deviation of a
  /// request's time is about its mean, so 25 requests give the speed to within a fifth.
  double speed_sample_weight = 0.04;
  /// How often the smoothed loads are updated and keys may be moved for balance.
  Duration balance_interval = std::chrono::milliseconds(300);
  /// How often adjacent ranges of one owner are merged.
  Duration join_interval = std::chrono::milliseconds(2500);
  /// The first owners of a service are chosen once no back end has joined it for this long.
  Duration settle_time = std::chrono::milliseconds(1600);
  /// The answer to a heartbeat of a holder, which learns its grants from the answer, is deferred
  /// for this long, so that updates reach the holder at once. Well below the one second after which
  /// the sender gives the heartbeat up.
  Duration answer_delay = std::chrono::milliseconds(500);
  /// The same for a heartbeat that announces that its sender is leaving and waits for the
  /// acknowledgement: long enough for the plan that drains the back end.
  Duration leaving_answer_delay = std::chrono::milliseconds(60);
  /// How often back ends are checked for having turned cold or warm.
  Duration warmth_interval = std::chrono::milliseconds(200);
  /// A heartbeat that arrives sooner than this after the evacuation of its zone ended, or after the
  /// leader was elected, does not prove that its sender is warm: followers report heartbeats up to
  /// 250 ms after receiving them.
  Duration warmth_settle = std::chrono::milliseconds(400);
  FleetLimitsOptions limits;
  FleetBackoffsOptions backoffs;
  OwnerAdmissionOptions admission;
  /// Fraction of a limit that all routers together plan to send.
  double admitted_share = 0.5;
  /// Fraction of a limit that the keys assigned to its back end may demand. Below the admitted
  /// share, so that demand may grow by a quarter before callers are refused.
  double limit_share = 0.4;
  /// Minimum admitted rate in requests per second: only an answer can report the end of a limit of
  /// 0.
  double minimum_admitted_rate = 0.1;
  /// How often the admitted shares are recomputed: a fifth of the time within which routers must
  /// have received a limit. Each computation visits all keys of limited owners.
  Duration limits_interval = std::chrono::milliseconds(200);
  /// Demand counts as known once loads cover this time; a shorter time contains too few requests of
  /// a target.
  Duration demand_time = std::chrono::milliseconds(1000);
};

class RangeController {
 public:
  explicit RangeController(RangeOptions options);

  /// @param term_start index of the first entry of the leader's term.
  void begin_term(TimePoint now, const ownership::CellState& state, common::LogIndex term_start);
  /// @return the requests of the heartbeats that have not been answered.
  std::vector<OperatorRequestId> end_term() {
    grants_.end_term();
    return answers_.cancel_all();
  }

  /// Records the loads, queue lengths and backoffs that a router reports.
  void record_loads(TimePoint now, const routing::RouterHello& hello) {
    loads_.add(hello.key_loads);
    times_.add(hello.target_times);
    admission_.add_reports(now, hello.target_times);
    backoffs_.on_hello(now, hello);
  }
  /// Returns the owners whose queues are too long, if recomputed since the last call.
  std::optional<std::vector<routing::AdmittedShare>> take_crowded() {
    return std::exchange(crowded_, std::nullopt);
  }
  /// Records the limits of back ends that a router reports.
  /// @return the limits to publish to routers, if it is time to recompute them.
  std::optional<FleetLimits::Published> record_limits(TimePoint now,
                                                      const ownership::CellState& state,
                                                      const routing::RouterHello& hello);
  /// @return false for a late heartbeat, which is no evidence of the back end's current state.
  bool record_heartbeat(TimePoint now, const common::Incarnation& incarnation,
                        std::uint64_t sequence, Duration cold_for) {
    return heartbeats_.note_heartbeat(now, incarnation, sequence, cold_for);
  }
  /// Records that a sign of life of the back end has just arrived.
  void record_alive(TimePoint now, common::BackendId backend) { grants_.note_alive(now, backend); }
  /// Records that the evacuation of the zone has ended.
  void record_zone_return(TimePoint now, const common::ZoneName& zone) {
    zones_returned_[zone] = now;
  }
  /// Returns the back ends whose heartbeats show them to be cold or warm, contrary to the state;
  /// empty until the next check is due.
  ownership::SetWarmth warmth_changes(TimePoint now, const ownership::CellState& state);
  /// Makes an order to the owner due immediately, which tells who has its address.
  void verify_owner(TimePoint now, common::BackendId owner) { grants_.verify_owner(now, owner); }
  /// @return the order, or nullopt if it is no longer known.
  std::optional<ownership::AnsweredOrder> on_order_reply(TimePoint now,
                                                         const ownership::CellState& state,
                                                         ownership::OrderId id,
                                                         const ownership::OrderReply& reply);

  /// Records the holdings that a back end reports.
  void on_holdings_report(TimePoint now, const ownership::CellState& state,
                          common::BackendId backend, const ownership::HoldingsReport& report);
  /// Defers the answer to the heartbeat of such a back end until there is an update for it.
  /// @param waited since a follower received the heartbeat; counts towards the deferral.
  /// @return the request of an older heartbeat, which will not be answered any more.
  std::optional<OperatorRequestId> defer_heartbeat(TimePoint now, common::BackendId backend,
                                                   OperatorRequestId request, Duration waited) {
    return answers_.defer(backend, request, now, now + options_.answer_delay - waited);
  }
  /// The same, once the content of the heartbeat has been committed.
  std::optional<OperatorRequestId> defer_committed(TimePoint now, TimePoint received,
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
  /// Makes the next plan if one is due; it may be empty.
  ownership::ApplyRangePlan plan(TimePoint now, const ownership::CellState& state);
  /// The grant terms that should be replicated for the next leader.
  ownership::GrantTerms wanted_terms(TimePoint now, const ownership::CellState& state) const;
  using BackendCheck = std::function<bool(const ownership::BackendRecord&)>;
  /// Returns a check whether an owner should give its keys up although it stays: it is cold or has
  /// asked routers to back off, and at most half of its service's targets are in that condition.
  /// This call visits all back ends; the check itself does not.
  BackendCheck degraded_check(TimePoint now, const ownership::CellState& state) const;
  /// When the next action is due, if no input arrives before.
  TimePoint next_due() const;
  const ownership::GrantManager& grants() const { return grants_; }
  /// True if the back end has sent no heartbeat for so long that it is assigned no keys.
  bool is_silent(TimePoint now, const common::Incarnation& incarnation) const {
    return heartbeats_.is_silent(now, incarnation);
  }

 private:
  /// Names of the services for which `is_degraded` holds for at most half of the targets: there,
  /// degraded targets should own no keys.
  static std::set<common::PoolName> mostly_healthy(const ownership::CellState& state,
                                                   const BackendCheck& is_degraded);
  bool is_eligible(TimePoint now, const ownership::CellState& state,
                   const ownership::BackendRecord& backend) const;
  /// Returns true if another back end that has not fallen silent owns keys at the same address. The
  /// process there answers orders to both, which shows which of the two is running.
  bool is_beside_owner(TimePoint now, const ownership::CellState& state,
                       const ownership::BackendRecord& backend) const;
  /// Requests per second for the keys that the back end owns.
  double demand(const ownership::CellState& state, common::BackendId owner) const;
  /// Recomputes which owners are crowded.
  void update_admission(TimePoint now, const ownership::CellState& state);
  FleetLimits::Published published_limits(const ownership::CellState& state) const;
  /// True if the service has owners already, or may get its first ones.
  bool is_settled(TimePoint now, const ownership::CellState& state,
                  const ownership::RoutedServiceRecord& service,
                  const ownership::OwnerLimit& owner_limit);
  /// Returns the limit of owners that get renewals by orders.
  /// @param may_own returns true if the back end may get keys.
  ownership::OwnerLimit limit_owners(const ownership::CellState& state,
                                     const BackendCheck& may_own) const;
  /// True if the back end has sent no heartbeat for so long that it may be removed.
  bool may_be_removed(TimePoint now, const ownership::BackendRecord& backend) const;
  /// Back ends that own nothing and have ended or, with `include_silent`, fallen silent.
  std::vector<common::BackendId> removable(TimePoint now, const ownership::CellState& state,
                                           bool include_silent) const;

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
  ownership::Capacities capacities_;  ///< as of the last update of loads
  common::LogIndex planned_state_;    ///< the state that the last plan was made from
  TimePoint next_plan_;
  TimePoint earliest_plan_;  ///< no plan before this, except for balance
  TimePoint next_balance_;
  TimePoint next_join_;
  TimePoint next_warmth_;
  TimePoint next_limits_;
  TimePoint term_began_;
  std::map<common::ZoneName, TimePoint> zones_returned_;  ///< ends of evacuations in this term
  struct TargetCount {
    std::size_t targets = 0;
    TimePoint changed;
  };
  /// Eligible targets of services without owners.
  std::map<common::ServiceId, TargetCount> target_counts_;
};

}  // namespace planktray::controller
