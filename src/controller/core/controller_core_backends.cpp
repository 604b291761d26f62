/// Back ends with fenced grants in ControllerCore: their heartbeats, departures and ends, and the
/// plans for the key ranges they own.

#include <utility>

#include "controller/core/controller_core.hpp"

namespace planktray::controller {

using common::ErrorCode;
using ownership::Command;

namespace {

ownership::OwnershipContract contract_of(const Heartbeat& heartbeat) {
  return heartbeat.holdings.has_value() ? ownership::OwnershipContract::kReportedGrant
                                        : ownership::OwnershipContract::kFencedGrant;
}

Heartbeat to_heartbeat(const membership::ForwardedHeartbeat& forwarded) {
  Heartbeat heartbeat;
  heartbeat.incarnation = forwarded.incarnation;
  heartbeat.address = forwarded.address;
  heartbeat.service = forwarded.service;
  heartbeat.zone = forwarded.zone;
  heartbeat.slots = forwarded.slots;
  heartbeat.draining = forwarded.draining;
  heartbeat.sequence = forwarded.sequence;
  heartbeat.cold_ms = forwarded.cold_ms;
  return heartbeat;
}

}  // namespace

void ControllerCore::heartbeat(TimePoint now, OperatorRequestId request,
                               const Heartbeat& heartbeat) {
  const auto complete_now = [&](common::Result<common::LogIndex> index) {
    output_.completions.emplace_back(CommandCompleted{request, std::move(index)});
  };
  if (!is_serving(now)) {
    if (may_answer_for_leader(heartbeat)) {
      relay_.note_heard({heartbeat.incarnation, heartbeat.sequence, heartbeat.cold_ms});
      complete_now(state_.applied());
    } else if (can_forward() && !heartbeat.holdings.has_value()) {
      relay_.forward(now, request,
                     {heartbeat.incarnation, heartbeat.address, heartbeat.service, heartbeat.zone,
                      heartbeat.slots, heartbeat.draining, heartbeat.sequence, heartbeat.cold_ms});
    } else {
      return complete_now(tl::unexpected(not_leader("take heartbeat")));
    }
    return step(now);
  }
  const bool is_late = !ranges_.note_heartbeat(now, heartbeat.incarnation, heartbeat.sequence,
                                               std::chrono::milliseconds(heartbeat.cold_ms));
  if (state_.has_departed(heartbeat.incarnation) || (is_late && !heartbeat.draining)) {
    return complete_now(state_.applied());
  }
  const ownership::BackendRecord* known = state_.find_incarnation(heartbeat.incarnation);
  if (known == nullptr) {
    const bool is_holder = heartbeat.holdings.has_value();
    return submit_heartbeat(now, request, is_holder ? heartbeat.incarnation : common::Incarnation(),
                            *news_of(heartbeat));
  }
  const bool is_holder = heartbeat.holdings.has_value() && !is_late &&
                         known->has_contract(ownership::OwnershipContract::kReportedGrant);
  if (is_holder) {
    ranges_.take_report(now, state_, known->id, *heartbeat.holdings);
  }
  if (heartbeat.draining && !known->leaving) {
    return submit_heartbeat(now, request, is_holder ? known->incarnation : common::Incarnation(),
                            *news_of(heartbeat));
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

bool ControllerCore::can_forward() const {
  return !raft_.is_leader() && raft_.membership().find(raft_.leader()) != nullptr;
}

std::optional<Command> ControllerCore::news_of(const Heartbeat& heartbeat) const {
  if (state_.has_departed(heartbeat.incarnation)) {
    return std::nullopt;
  }
  const ownership::BackendRecord* known = state_.find_incarnation(heartbeat.incarnation);
  if (known != nullptr) {
    const bool is_news = heartbeat.draining && !known->leaving;
    return is_news ? std::optional<Command>(ownership::MarkLeaving{known->id, true, false})
                   : std::nullopt;
  }
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
  return Command(std::move(registration));
}

std::optional<Command> ControllerCore::news_of_departure(
    const common::Incarnation& incarnation) const {
  if (state_.has_departed(incarnation)) {
    return std::nullopt;
  }
  // One that is not registered is remembered too: a heartbeat that comes late must not bring it in.
  const ownership::BackendRecord* known = state_.find_incarnation(incarnation);
  const common::BackendId id = known == nullptr ? common::BackendId() : known->id;
  return Command(ownership::MarkLeaving{id, true, true, false, incarnation});
}

void ControllerCore::relay_heartbeats(TimePoint now) {
  const HeartbeatRelay::Ended ended = relay_.collect(now, state_);
  for (const OperatorRequestId request : ended.committed) {
    output_.completions.emplace_back(CommandCompleted{request, state_.applied()});
  }
  for (const OperatorRequestId request : ended.given_up) {
    fail_request(request, false,
                 {ErrorCode::kTimeout, "take heartbeat", options_.name,
                  "the leader has not committed it yet; ask another controller"});
  }
  if (auto report = relay_.take_report(now, options_.cell)) {
    output_.heard = std::move(report);
  }
}

void ControllerCore::on_heartbeat_report(TimePoint now, const membership::HeartbeatReport& report) {
  if (report.cell != options_.cell || !is_serving(now)) {
    return;
  }
  for (const membership::HeardBackend& heard : report.heard) {
    ranges_.note_heartbeat(now, heard.incarnation, heard.sequence,
                           std::chrono::milliseconds(heard.cold_ms));
  }
  for (const membership::ForwardedHeartbeat& forwarded : report.news) {
    take_forwarded(now, forwarded);
  }
  if (!report.news.empty()) {
    step(now);
  }
}

void ControllerCore::take_forwarded(TimePoint now,
                                    const membership::ForwardedHeartbeat& forwarded) {
  std::optional<Command> news;
  if (forwarded.departs) {
    news = news_of_departure(forwarded.incarnation);
  } else {
    const bool is_late = !ranges_.note_heartbeat(now, forwarded.incarnation, forwarded.sequence,
                                                 std::chrono::milliseconds(forwarded.cold_ms));
    if (is_late && !forwarded.draining) {
      return;
    }
    news = news_of(to_heartbeat(forwarded));
  }
  if (news.has_value()) {
    (void)propose(now, *news);  // where that fails, the back end asks again
  }
}

std::string ControllerCore::next_heartbeat_address(TimePoint now) {
  std::vector<const consensus::Member*> others;
  for (const consensus::Member& member : raft_.membership().members) {
    if (raft_.is_leader() && member.id != raft_.self() &&
        is_present(now, member.id, options_.abandon_after)) {
      others.push_back(&member);
    }
  }
  return others.empty() ? options_.operator_address
                        : others[heartbeat_turn_++ % others.size()]->operator_address;
}

void ControllerCore::depart(TimePoint now, OperatorRequestId request,
                            const common::Incarnation& incarnation) {
  if (!is_serving(now) && can_forward()) {
    membership::ForwardedHeartbeat goodbye;
    goodbye.incarnation = incarnation;
    goodbye.departs = true;
    relay_.forward(now, request, std::move(goodbye));
    return step(now);
  }
  if (!is_serving(now)) {
    output_.completions.emplace_back(
        CommandCompleted{request, tl::unexpected(not_leader("take goodbye"))});
    return;
  }
  const auto news = news_of_departure(incarnation);
  if (!news.has_value()) {
    output_.completions.emplace_back(CommandCompleted{request, state_.applied()});
    return;
  }
  submit(now, request, *news, false);
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
