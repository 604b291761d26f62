#include "controller/core/range_controller.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace planktray::controller {
namespace {

using ownership::BackendRecord;
using ownership::CellState;

/// Minimum time between plans while nothing has changed.
constexpr Duration kMinPlanInterval = std::chrono::milliseconds(10);
/// After a plan, the next one is delayed by this for each range, so that changes in quick
/// succession are planned together: a plan visits every range, and with 420 ranges took 7 ms on a
/// leader with 0.15 of a core.
constexpr Duration kPlanDelayPerRange = std::chrono::microseconds(150);
constexpr Duration kMaxPlanDelay = std::chrono::milliseconds(150);
/// The same for each back end, as a plan visits these, too.
constexpr Duration kPlanDelayPerBackend = std::chrono::microseconds(10);

Duration delay_after_plan(const CellState& state) {
  std::size_t ranges = 0;
  for (const auto& [id, service] : state.routed_services()) {
    ranges += service.ranges.records().size();
  }
  return std::min<Duration>(
      kPlanDelayPerRange * static_cast<std::int64_t>(ranges) +
          kPlanDelayPerBackend * static_cast<std::int64_t>(state.backends().size()),
      kMaxPlanDelay);
}

/// Returns the options with the noise rate of loads that are smoothed with this half-life. The
/// noise rate is the variance of a smoothed load divided by the load: ln 2 / (2 half-lives), in
/// 1/s.
ownership::RangePlannerOptions with_noise_rate(ownership::RangePlannerOptions planner,
                                               Duration half_life) {
  planner.noise_rate = std::log(2.0) / (2.0 * std::chrono::duration<double>(half_life).count());
  return planner;
}

}  // namespace

RangeController::RangeController(RangeOptions options)
    : options_(options),
      heartbeats_(options.heartbeat),
      grants_(options.grant),
      planner_(with_noise_rate(options.planner, options.load_half_life)),
      loads_(options.load_half_life),
      times_(options.speed_sample_weight),
      limits_(options.limits),
      backoffs_(options.backoffs),
      admission_(options.admission) {}

void RangeController::begin_term(TimePoint now, const CellState& state,
                                 common::LogIndex term_start) {
  heartbeats_.begin_term(now);
  grants_.begin_term(now, state, term_start);
  loads_.clear(now);
  times_.clear();
  limits_.begin_term();
  backoffs_.begin_term();
  admission_.begin_term(now);
  crowded_.reset();
  next_limits_ = now;
  capacities_ = {};
  earliest_plan_ = now;
  planned_state_ = common::LogIndex();
  next_plan_ = now;
  next_balance_ = now + options_.balance_interval;
  next_join_ = now + options_.join_interval;
  target_counts_.clear();
  next_warmth_ = now + options_.warmth_interval;
  term_began_ = now;
  zones_returned_.clear();
}

std::optional<ownership::AnsweredOrder> RangeController::on_order_reply(
    TimePoint now, const CellState& state, ownership::OrderId id,
    const ownership::OrderReply& reply) {
  const auto order = grants_.on_reply(now, id, reply);
  const BackendRecord* record = order.has_value() ? state.find_backend(order->backend) : nullptr;
  const bool accepted = reply.outcome == ownership::OrderOutcome::kAccepted;
  if (record != nullptr && accepted) {
    heartbeats_.note_answer(now, record->incarnation);
  }
  const bool is_renewal = accepted && reply.handover.empty();
  if (!is_renewal) {
    next_plan_ = now;  // keys may have become free, or must be taken away
  }
  return order;
}

void RangeController::on_holdings_report(TimePoint now, const CellState& state,
                                         common::BackendId backend,
                                         const ownership::HoldingsReport& report) {
  grants_.on_holdings_report(now, state, backend, report);
  if (!report.released.empty()) {
    next_plan_ = now;  // keys may have become free
  }
}

bool RangeController::is_eligible(TimePoint now, const CellState& state,
                                  const BackendRecord& backend) const {
  return backend.has_fenced_grants() && !backend.leaving && !backend.ended &&
         !state.is_evacuated(backend) && !heartbeats_.is_silent(now, backend.incarnation) &&
         !is_beside_owner(now, state, backend);
}

bool RangeController::is_beside_owner(TimePoint now, const CellState& state,
                                      const BackendRecord& backend) const {
  if (!state.is_shared_address(backend.address) || state.owns_keys(backend.id)) {
    return false;
  }
  const std::vector<common::BackendId> candidates = state.candidates_at(backend.address);
  return std::any_of(candidates.begin(), candidates.end(), [&](common::BackendId id) {
    const BackendRecord* other = state.find_backend(id);
    return id != backend.id && state.owns_keys(id) &&
           !heartbeats_.is_silent(now, other->incarnation);
  });
}

double RangeController::demand(const CellState& state, common::BackendId owner) const {
  double sum = 0;
  for (const auto& [id, service] : state.routed_services()) {
    for (const auto& [first, range] : service.ranges.records()) {
      sum += range.owner == owner ? loads_.demand(id, range.keys) : 0;
    }
  }
  return sum;
}

std::optional<FleetLimits::Published> RangeController::record_limits(
    TimePoint now, const CellState& state, const routing::RouterHello& hello) {
  limits_.add_reports(now, hello.limits);
  if (now < next_limits_) {
    return std::nullopt;
  }
  next_limits_ = now + options_.limits_interval;
  return published_limits(state);
}

FleetLimits::Published RangeController::published_limits(const CellState& state) const {
  if (limits_.empty()) {
    return {};
  }
  return limits_.published([&](common::BackendId id, double per_second) -> std::optional<double> {
    const BackendRecord* backend = state.find_backend(id);
    if (backend == nullptr || !state.owns_keys(id) ||
        loads_.observed_time() < options_.demand_time) {
      return std::nullopt;
    }
    const double admitted =
        std::max(options_.admitted_share * per_second, options_.minimum_admitted_rate);
    const double wanted = demand(state, id);
    return wanted > admitted ? admitted / wanted : 1.0;
  });
}

void RangeController::update_admission(TimePoint now, const CellState& state) {
  std::map<common::BackendId, double> demands;
  for (const auto& [id, service] : state.routed_services()) {
    for (const auto& [first, range] : service.ranges.records()) {
      demands[range.owner] += loads_.rate(id, range.keys);
    }
  }
  admission_.update(now, [&](common::BackendId id) -> OwnerAdmission::Owner {
    const BackendRecord* backend = state.find_backend(id);
    const auto demand = demands.find(id);
    if (backend == nullptr || demand == demands.end()) {
      return {};
    }
    return {demand->second, std::max<std::uint32_t>(1, backend->slots)};
  });
  if (loads_.observed_time() >= options_.demand_time) {
    crowded_ = admission_.crowded_owners();
  }
}

std::set<common::PoolName> RangeController::mostly_healthy(const CellState& state,
                                                           const BackendCheck& is_degraded) {
  std::map<common::PoolName, std::pair<std::size_t, std::size_t>> counts;  // degraded, all
  for (const auto& [id, backend] : state.backends()) {
    if (backend.has_fenced_grants() && !backend.leaving && !state.is_evacuated(backend)) {
      auto& [degraded, all] = counts[backend.pool];
      degraded += is_degraded(backend) ? 1 : 0;
      ++all;
    }
  }
  std::set<common::PoolName> healthy;
  for (const auto& [pool, count] : counts) {
    if (2 * count.first <= count.second) {
      healthy.insert(pool);
    }
  }
  return healthy;
}

RangeController::BackendCheck RangeController::degraded_check(TimePoint now,
                                                              const CellState& state) const {
  const auto is_cold = [](const BackendRecord& backend) { return backend.cold; };
  const auto is_avoided = [this, now](const BackendRecord& backend) {
    return backoffs_.is_avoided(now, backend.id);
  };
  std::set<common::PoolName> willing;
  if (!backoffs_.empty()) {
    willing = mostly_healthy(state, is_avoided);
  }
  return [warm = mostly_healthy(state, is_cold), willing = std::move(willing),
          is_avoided](const BackendRecord& backend) {
    return (backend.cold && warm.contains(backend.pool)) ||
           (willing.contains(backend.pool) && is_avoided(backend));
  };
}

ownership::SetWarmth RangeController::warmth_changes(TimePoint now, const CellState& state) {
  ownership::SetWarmth changes;
  if (now < next_warmth_) {
    return changes;
  }
  next_warmth_ = now + options_.warmth_interval;
  for (const auto& [id, backend] : state.backends()) {
    if (!backend.has_fenced_grants()) {
      continue;
    }
    const auto returned = zones_returned_.find(backend.zone);
    const TimePoint known_since =
        returned == zones_returned_.end() ? term_began_ : std::max(term_began_, returned->second);
    const auto warmth =
        heartbeats_.warmth(now, backend.incarnation, known_since + options_.warmth_settle);
    if (warmth == membership::Warmth::kCold && !backend.cold) {
      changes.cooled.push_back(id);
    } else if (warmth == membership::Warmth::kWarm && backend.cold) {
      changes.warmed.push_back(id);
    }
  }
  return changes;
}

ownership::OwnerLimit RangeController::limit_owners(const CellState& state,
                                                    const BackendCheck& may_own) const {
  const auto is_renewed = [&](const BackendRecord& backend) {
    return backend.has_contract(ownership::OwnershipContract::kFencedGrant) && may_own(backend);
  };
  return {state, ownership::renewable_owners(options_.grant), is_renewed};
}

bool RangeController::is_settled(TimePoint now, const CellState& state,
                                 const ownership::RoutedServiceRecord& service,
                                 const ownership::OwnerLimit& owner_limit) {
  const auto& records = service.ranges.records();
  const bool has_no_owner = records.size() == 1 && records.begin()->second.owner.value == 0;
  if (!has_no_owner || owner_limit.is_reached(common::PoolName(service.config.name.value))) {
    return true;
  }
  const auto targets = static_cast<std::size_t>(
      std::count_if(state.backends().begin(), state.backends().end(), [&](const auto& item) {
        return item.second.pool.value == service.config.name.value &&
               is_eligible(now, state, item.second);
      }));
  TargetCount& count = target_counts_[service.id];
  if (targets != count.targets) {
    count = {targets, now};
  }
  return targets > 0 && now - count.changed >= options_.settle_time;
}

bool RangeController::may_be_removed(TimePoint now, const BackendRecord& backend) const {
  return (backend.leaving && heartbeats_.is_silent(now, backend.incarnation)) ||
         heartbeats_.is_removable(now, backend.incarnation);
}

std::vector<common::BackendId> RangeController::removable(TimePoint now, const CellState& state,
                                                          bool include_silent) const {
  std::vector<common::BackendId> removable;
  for (const auto& [id, backend] : state.backends()) {
    if (!backend.has_fenced_grants()) {
      continue;
    }
    const bool has_ended = backend.ended || (include_silent && may_be_removed(now, backend));
    if (has_ended && !state.owns_keys(id)) {
      removable.push_back(id);
    }
  }
  return removable;
}

ownership::ApplyRangePlan RangeController::plan(TimePoint now, const CellState& state) {
  const bool update_loads = now >= next_balance_;
  const bool balance = update_loads && !grants_.is_busy();
  const bool changed = state.applied() != planned_state_;
  if (!update_loads && !changed && now < next_plan_) {
    return {};
  }
  if (!update_loads && now < earliest_plan_) {
    next_plan_ = earliest_plan_;
    return {};
  }
  earliest_plan_ = now + delay_after_plan(state);
  if (update_loads) {
    next_balance_ = now + options_.balance_interval;
    loads_.fold(now);
    capacities_ = times_.capacities(state);
    update_admission(now, state);
    limits_.expire(now, [&](common::BackendId id) { return state.find_backend(id) != nullptr; });
    backoffs_.update(now);
  }
  planned_state_ = state.applied();
  ownership::RangePlannerInput input{state, loads_, {},      {},
                                     {},    {},     balance, balance && now >= next_join_};
  input.max_load = [&](const BackendRecord& backend) -> std::optional<double> {
    const auto limit = limits_.limit_of(backend.id);
    return limit.has_value() ? std::optional(*limit * options_.limit_share) : std::nullopt;
  };
  const BackendCheck is_degraded = degraded_check(now, state);
  const auto may_own = [&](const BackendRecord& backend) {
    return is_eligible(now, state, backend) && !is_degraded(backend);
  };
  const ownership::OwnerLimit owner_limit = limit_owners(state, may_own);
  input.is_eligible = [&](const BackendRecord& backend) {
    return owner_limit.admits(backend) && may_own(backend);
  };
  input.must_drain = [&](const BackendRecord& backend) {
    return backend.leaving || state.is_evacuated(backend) || is_degraded(backend);
  };
  input.capacity = [&](const BackendRecord& backend) { return capacities_.of(backend.id); };
  input.may_assign = [&](common::ServiceId service, const ownership::RangeRecord& record) {
    const auto found = state.routed_services().find(service);
    if (!is_settled(now, state, found->second, owner_limit)) {
      return ownership::GrantManager::Availability();
    }
    return grants_.may_assign(now, state, service, record);
  };
  input.can_notify = [&](common::BackendId id) {
    return answers_.is_deferred(id) || !ownership::has_heartbeat_grants(state, id);
  };
  if (input.join) {
    next_join_ = now + options_.join_interval;
  }
  ownership::ApplyRangePlan plan = planner_.plan(input);
  for (const ownership::RangeMove& move : grants_.withdrawals(now, state)) {
    plan.moves.push_back(move);
  }
  for (const ownership::RangeJoin& range : grants_.ranges_to_fence(now, state)) {
    plan.joins.push_back(range);
  }
  plan.removed = removable(now, state, update_loads);
  next_plan_ = std::min(next_balance_, std::max(grants_.next_due(), now + kMinPlanInterval));
  return plan;
}

ownership::GrantTerms RangeController::wanted_terms(TimePoint now, const CellState& state) const {
  const Duration hold = grants_.wanted_hold(state);
  const bool is_default = hold == options_.grant.hold_time;
  const auto hold_ms = std::chrono::duration_cast<std::chrono::milliseconds>(hold).count();
  return {grants_.holders_in_doubt(now), is_default ? 0U : static_cast<std::uint32_t>(hold_ms)};
}

TimePoint RangeController::next_due() const {
  return std::min({next_plan_, next_balance_, grants_.next_due(), answers_.next_due()});
}

}  // namespace planktray::controller
