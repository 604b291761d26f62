/// Back ends with fenced grants in ControllerCore: their heartbeats, departures and ends, and the
/// plans for the key ranges they own.

#include <utility>

#include "controller/core/controller_core.hpp"

namespace planktray::controller {

using common::ErrorCode;
using ownership::Command;

namespace {

/// A follower reports the heartbeats that it has answered this often.
constexpr Duration kReportInterval = std::chrono::milliseconds(250);

ownership::OwnershipContract contract_of(const Heartbeat& heartbeat) {
  return heartbeat.holdings.has_value() ? ownership::OwnershipContract::kReportedGrant
                                        : ownership::OwnershipContract::kFencedGrant;
}

}  // namespace

void ControllerCore::heartbeat(TimePoint now, OperatorRequestId request,
                               const Heartbeat& heartbeat) {
  const auto complete_now = [&](common::Result<common::LogIndex> index) {
    output_.completions.emplace_back(CommandCompleted{request, std::move(index)});
  };
  ++counters_.heartbeats;
  if (!is_serving(now)) {
    if (!may_answer_for_leader(heartbeat)) {
      return complete_now(tl::unexpected(not_leader("take heartbeat")));
    }
    heard_.push_back({heartbeat.incarnation, heartbeat.sequence, heartbeat.cold_ms});
    complete_now(state_.applied());
    return step(now);
  }
  const bool is_late = !ranges_.note_heartbeat(now, heartbeat.incarnation, heartbeat.sequence,
                                               std::chrono::milliseconds(heartbeat.cold_ms));
  if (state_.has_departed(heartbeat.incarnation) || (is_late && !heartbeat.draining)) {
    return complete_now(state_.applied());
  }
  const ownership::BackendRecord* known = state_.find_incarnation(heartbeat.incarnation);
  if (known == nullptr) {
    ownership::RegisterBackend registration;
    registration.machine = common::MachineName(heartbeat.incarnation.value);
    registration.address = heartbeat.address;
    registration.zone = heartbeat.zone;
    registration.pool = common::PoolName(heartbeat.service);
    registration.incarnation = heartbeat.incarnation;
    registration.contract = static_cast<std::uint8_t>(contract_of(heartbeat));
    registration.slots = heartbeat.slots;
    registration.cold = heartbeat.cold_ms > 0;
    registration.leaving = heartbeat.draining;
    const bool is_holder = heartbeat.holdings.has_value();
    return submit_heartbeat(now, request, is_holder ? heartbeat.incarnation : common::Incarnation(),
                            Command(std::move(registration)));
  }
  ranges_.note_alive(now, known->id);
  const bool is_holder = heartbeat.holdings.has_value() && !is_late &&
                         known->has_contract(ownership::OwnershipContract::kReportedGrant);
  if (is_holder) {
    ranges_.take_report(now, state_, known->id, *heartbeat.holdings);
  }
  if (heartbeat.draining && !known->leaving) {
    return submit_heartbeat(now, request, is_holder ? known->incarnation : common::Incarnation(),
                            Command(ownership::MarkLeaving{known->id, true, false}));
  }
  if (!is_holder) {
    return complete_now(state_.applied());
  }
  drop_request(ranges_.keep_heartbeat(now, known->id, request));
  step(now);
}

void ControllerCore::submit_heartbeat(TimePoint now, OperatorRequestId request,
                                      const common::Incarnation& holder, const Command& command) {
  auto index = propose(now, command);
  if (!index.has_value()) {
    return fail_request(request, false, index.error());
  }
  pending_[*index] = {request, raft_.term(), false, holder, now};
  step(now);
}

void ControllerCore::drop_request(std::optional<OperatorRequestId> request) {
  if (request.has_value()) {
    fail_request(*request, false,
                 {ErrorCode::kTimeout, "take heartbeat", options_.name,
                  "a newer heartbeat of the same back end has come"});
  }
}

void ControllerCore::answer_holders(TimePoint now) {
  for (HolderAnswer& answer : ranges_.collect_answers(now, state_)) {
    output_.completions.emplace_back(HoldingsCompleted{answer.request, std::move(answer.holdings)});
  }
}

bool ControllerCore::may_answer_for_leader(const Heartbeat& heartbeat) const {
  const bool follows = !raft_.is_leader() && raft_.leader().value != 0;
  const ownership::BackendRecord* known = state_.find_incarnation(heartbeat.incarnation);
  // Only the leader can say what a back end is to hold.
  return follows && !heartbeat.holdings.has_value() && known != nullptr && !known->ended &&
         (known->leaving || !heartbeat.draining);
}

void ControllerCore::report_heartbeats(TimePoint now) {
  if (heard_.empty() || now < next_report_) {
    return;
  }
  next_report_ = now + kReportInterval;
  output_.heard = membership::HeartbeatReport{options_.cell, std::exchange(heard_, {})};
}

void ControllerCore::on_heartbeat_report(TimePoint now, const membership::HeartbeatReport& report) {
  if (report.cell != options_.cell || !is_serving(now)) {
    return;
  }
  for (const membership::HeardBackend& heard : report.heard) {
    const bool is_news = ranges_.note_heartbeat(now, heard.incarnation, heard.sequence,
                                                std::chrono::milliseconds(heard.cold_ms));
    if (!is_news || !ranges_.grants().has_unreachable()) {
      continue;
    }
    if (const auto* known = state_.find_incarnation(heard.incarnation)) {
      ranges_.note_alive(now, known->id);
    }
  }
}

void ControllerCore::depart(TimePoint now, OperatorRequestId request,
                            const common::Incarnation& incarnation) {
  if (!is_serving(now)) {
    output_.completions.emplace_back(
        CommandCompleted{request, tl::unexpected(not_leader("take goodbye"))});
    return;
  }
  const ownership::BackendRecord* known = state_.find_incarnation(incarnation);
  if (state_.has_departed(incarnation)) {
    output_.completions.emplace_back(CommandCompleted{request, state_.applied()});
    return;
  }
  // One that is not registered is remembered too: a heartbeat that comes late must not bring it in.
  const common::BackendId id = known == nullptr ? common::BackendId() : known->id;
  submit(now, request, Command(ownership::MarkLeaving{id, true, true, false, incarnation}), false);
}

void ControllerCore::mark_ended(TimePoint now, common::BackendId id) {
  const ownership::BackendRecord* backend = state_.find_backend(id);
  const bool is_news = backend != nullptr && !backend->ended && backend->has_fenced_grants();
  if (!is_news || !is_serving(now) || !ending_.insert(id).second) {
    return;
  }
  const bool departed = backend->departed;
  if (!propose(now, ownership::MarkLeaving{id, true, departed, true}).has_value()) {
    ending_.erase(id);  // the next report tries again
  }
}

void ControllerCore::plan_ranges(TimePoint now) {
  if (range_plan_index_ > state_.applied()) {
    return;
  }
  ownership::ApplyRangePlan next = ranges_.plan(now, state_);
  if (next.empty()) {
    return;
  }
  const auto index = propose(now, Command(std::move(next)));
  if (index.has_value()) {
    ++counters_.range_plans;
    range_plan_index_ = *index;
  }
}

void ControllerCore::commit_warmth(TimePoint now) {
  if (warmth_index_ > state_.applied()) {
    return;
  }
  ownership::SetWarmth changes = ranges_.warmth_changes(now, state_);
  if (!changes.empty()) {
    warmth_index_ = propose(now, Command(std::move(changes))).value_or(common::LogIndex());
  }
}

void ControllerCore::commit_grant_terms(TimePoint now) {
  const ownership::GrantTerms wanted = ranges_.wanted_terms(now, state_);
  if (wanted != state_.grant_terms() && terms_index_ <= state_.applied()) {
    const auto index = propose(now, Command(ownership::SetGrantTerms{wanted}));
    terms_index_ = index.value_or(common::LogIndex());
  }
}

}  // namespace planktray::controller
