/// The part of ControllerCore for back ends under the holder-clock lease contract: their
/// registration and the plans for their shards.

#include <algorithm>
#include <utility>

#include "controller/core/controller_core.hpp"

namespace planktray::controller {

using ownership::ApplyPlan;
using ownership::Command;

namespace {

/// Interval of plans while the state does not change: sessions are lost by the passage of time
/// alone.
constexpr Duration kPlanInterval = std::chrono::milliseconds(20);

}  // namespace

void ControllerCore::register_backends(TimePoint now) {
  for (const ownership::NewIncarnation& seen : leases_.take_new_incarnations()) {
    const membership::Machine* machine = machines_.find(seen.machine);
    const auto& backends = state_.backends();
    const bool known = std::any_of(backends.begin(), backends.end(), [&](const auto& item) {
      return item.second.machine == seen.machine && item.second.incarnation == seen.incarnation;
    });
    if (machine == nullptr || known ||
        !registering_.insert({seen.machine, seen.incarnation}).second) {
      continue;
    }
    (void)propose(now, ownership::RegisterBackend{machine->name, machine->address, machine->zone,
                                                  machine->pool, seen.incarnation});
  }
}

void ControllerCore::mark_leaving(TimePoint now) {
  for (const auto& [id, backend] : state_.backends()) {
    const membership::Machine* machine = machines_.find(backend.machine);
    // A machine that is not listed keeps its mark: the list may be outdated, so absence proves
    // nothing.
    const bool listed_leaving = machine == nullptr ? backend.leaving : machine->leaving;
    const bool leaving =
        listed_leaving || leases_.backend_state(id) == ownership::BackendState::kDraining;
    const bool known = leases_.last_answer(id).has_value() || leaving;
    if (known && leaving != backend.leaving && marking_.insert(id).second) {
      (void)propose(now, ownership::MarkLeaving{id, leaving});
    }
  }
}

void ControllerCore::plan(TimePoint now) {
  const bool balance = now >= next_balance_;
  if (balance) {
    next_balance_ = now + options_.balance_interval;
    loads_.fold(now);
  }
  if (plan_index_ > state_.applied()) {
    return;
  }
  const std::vector<common::BackendId> lost = leases_.lost(now);
  const bool changed = state_.applied() != planned_state_;
  const bool has_updates = !lost.empty() || !leases_.released().empty();
  if (!balance && !changed && !has_updates && now < next_plan_) {
    return;
  }
  next_plan_ = now + kPlanInterval;
  planned_state_ = state_.applied();
  const ownership::PlannerInput input{state_, loads_, lost, leases_.released(), balance};
  ApplyPlan next = planner_.plan(now, input);
  if (next.empty()) {
    return;
  }
  const std::vector<common::BackendId> lost_backends = next.lost;
  const auto index = propose(now, Command(std::move(next)));
  if (index.has_value()) {
    leases_.end_sessions(lost_backends);
    plan_index_ = *index;
  }
}

}  // namespace planktray::controller
