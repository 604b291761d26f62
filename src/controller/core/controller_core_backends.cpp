/// The part of ControllerCore for back ends with fenced grants: their heartbeats, deregistrations
/// and ended processes, and the plans for the key ranges that they own.

#include <algorithm>
#include <functional>
#include <utility>

#include "controller/core/controller_core.hpp"

namespace planktray::controller {

using common::ErrorCode;
using ownership::Command;

namespace {

/// How often a follower reports the heartbeats that it has answered.
constexpr Duration kReportInterval = std::chrono::milliseconds(250);

/// What followers relay is sent to the leader together, after this delay for each member of the
/// cell: back ends are replaced by the dozen, and the leader gets as many messages a second however
/// many followers it has. The delay is short, since the senders of the heartbeats wait for the
/// answer.
constexpr Duration kRelayDelayPerMember = std::chrono::microseconds(2500);
/// A follower fails the request if the update is not committed within this time, and the sender
/// tries another controller. Senders give a heartbeat up after one second.
constexpr Duration kRelayTimeout = std::chrono::milliseconds(800);

membership::BackendUpdate update_of(const Heartbeat& heartbeat) {
  return {heartbeat.incarnation, heartbeat.address,  heartbeat.service,
          heartbeat.zone,        heartbeat.slots,    heartbeat.sequence,
          heartbeat.cold_ms,     heartbeat.draining, false};
}

ownership::RegisterBackend registration_of(const membership::BackendUpdate& update,
                                           ownership::OwnershipContract contract) {
  ownership::RegisterBackend registration;
  registration.machine = common::MachineName(update.incarnation.value);
  registration.address = update.address;
  registration.zone = update.zone;
  registration.pool = common::PoolName(update.service);
  registration.incarnation = update.incarnation;
  registration.contract = static_cast<std::uint8_t>(contract);
  registration.slots = update.slots;
  registration.cold = update.cold_ms > 0;
  registration.leaving = update.draining;
  return registration;
}

}  // namespace

void ControllerCore::heartbeat(TimePoint now, OperatorRequestId request,
                               const Heartbeat& heartbeat) {
  ++counters_.heartbeats;
  if (is_serving(now)) {
    accept_heartbeat(now, request, heartbeat);
    return step(now);
  }
  if (heartbeat.holdings.has_value()) {
    return relay_heartbeat(now, request, heartbeat);
  }
  if (!may_answer_for_leader(heartbeat)) {
    return relay_update(now, request, update_of(heartbeat));
  }
  heartbeats_.push_back({heartbeat.incarnation, heartbeat.sequence, heartbeat.cold_ms});
  output_.completions.emplace_back(CommandCompleted{request, state_.applied()});
  step(now);
}

void ControllerCore::accept_heartbeat(TimePoint now, OperatorRequestId request,
                                      const Heartbeat& heartbeat) {
  const auto complete_now = [&] {
    output_.completions.emplace_back(CommandCompleted{request, state_.applied()});
  };
  const bool is_late = !ranges_.record_heartbeat(now, heartbeat.incarnation, heartbeat.sequence,
                                                 std::chrono::milliseconds(heartbeat.cold_ms));
  if (state_.has_departed(heartbeat.incarnation) || (is_late && !heartbeat.draining)) {
    return complete_now();
  }
  const ownership::BackendRecord* known = state_.find_incarnation(heartbeat.incarnation);
  if (known == nullptr) {
    const auto contract = heartbeat.holdings.has_value()
                              ? ownership::OwnershipContract::kReportedGrant
                              : ownership::OwnershipContract::kFencedGrant;
    const bool is_holder = heartbeat.holdings.has_value();
    return submit_heartbeat(now, request, is_holder ? heartbeat.incarnation : common::Incarnation(),
                            Command(registration_of(update_of(heartbeat), contract)));
  }
  ranges_.record_alive(now, known->id);
  const bool is_holder = heartbeat.holdings.has_value() && !is_late &&
                         known->has_contract(ownership::OwnershipContract::kReportedGrant);
  if (is_holder) {
    ranges_.on_holdings_report(now, state_, known->id, *heartbeat.holdings);
  }
  if (heartbeat.draining && !known->leaving) {
    return submit_heartbeat(now, request, is_holder ? known->incarnation : common::Incarnation(),
                            Command(ownership::MarkLeaving{known->id, true, false}));
  }
  if (!is_holder) {
    return complete_now();
  }
  fail_superseded(ranges_.defer_heartbeat(now, known->id, request, heartbeat.waited));
}

void ControllerCore::submit_heartbeat(TimePoint now, OperatorRequestId request,
                                      const common::Incarnation& holder, const Command& command) {
  auto index = propose(now, command);
  if (!index.has_value()) {
    return fail_request(request, false, index.error());
  }
  pending_[*index] = {request, raft_.term(), false, holder, now};
}

void ControllerCore::fail_superseded(std::optional<OperatorRequestId> request) {
  if (request.has_value()) {
    fail_request(*request, false,
                 {ErrorCode::kTimeout, "accept heartbeat", options_.name,
                  "superseded by a newer heartbeat of the same back end"});
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
  // Only the leader can grant keys.
  return follows && !heartbeat.holdings.has_value() && known != nullptr && !known->ended &&
         (known->leaving || !heartbeat.draining);
}

void ControllerCore::relay_update(TimePoint now, OperatorRequestId request,
                                  membership::BackendUpdate update) {
  if (raft_.is_leader() || raft_.leader().value == 0) {
    return fail_request(request, false, not_leader("accept heartbeat"));
  }
  const RelayedUpdate relayed{update.incarnation, update.draining, update.departed,
                              now + kRelayTimeout};
  if (is_committed(relayed)) {
    output_.completions.emplace_back(CommandCompleted{request, state_.applied()});
    return step(now);
  }
  // A redirect would cost the sender another call, and the leader would have to read, answer and
  // close a connection for each sender: 1,000 per second while a service is rolled out, a third of
  // the time of a fully loaded leader.
  relayed_[request] = relayed;
  next_relay_deadline_ = std::min(next_relay_deadline_, now + kRelayTimeout);
  updates_.push_back(std::move(update));
  ++counters_.updates_relayed;
  next_report_ = std::min(next_report_, now + relay_delay());
  step(now);
}

Duration ControllerCore::relay_delay() const {
  return kRelayDelayPerMember * static_cast<std::int64_t>(raft_.membership().members.size());
}

bool ControllerCore::is_committed(const RelayedUpdate& update) const {
  const ownership::BackendRecord* known = state_.find_incarnation(update.incarnation);
  const bool contains_update = known != nullptr && (known->leaving || !update.draining);
  return state_.has_departed(update.incarnation) || (!update.departed && contains_update);
}

void ControllerCore::answer_relayed(TimePoint now) {
  // Heartbeats arrive by the thousand a second: not every one of them looks through all others that
  // wait.
  const bool is_due = state_.applied() != relayed_checked_ || now >= next_relay_deadline_;
  if (!is_due) {
    return;
  }
  relayed_checked_ = state_.applied();
  next_relay_deadline_ = TimePoint::max();
  for (auto next = relayed_.begin(); next != relayed_.end();) {
    const auto& [request, update] = *next;
    if (is_committed(update)) {
      output_.completions.emplace_back(CommandCompleted{request, state_.applied()});
    } else if (now >= update.deadline) {
      fail_request(request, false,
                   {ErrorCode::kTimeout, "accept heartbeat", options_.name,
                    "the leader did not commit the update in time"});
    } else {
      next_relay_deadline_ = std::min(next_relay_deadline_, update.deadline);
      ++next;
      continue;
    }
    next = relayed_.erase(next);
  }
}

void ControllerCore::report_heartbeats(TimePoint now) {
  if ((heartbeats_.empty() && updates_.empty()) || now < next_report_) {
    return;
  }
  next_report_ = now + kReportInterval;
  output_.heartbeat_report =
      membership::HeartbeatReport{options_.cell, std::exchange(heartbeats_, {}),
                                  std::exchange(updates_, {}), raft_.self(), options_.zone};
}

void ControllerCore::apply_relayed(TimePoint now, const membership::BackendUpdate& update) {
  if (state_.has_departed(update.incarnation)) {
    return;
  }
  const ownership::BackendRecord* known = state_.find_incarnation(update.incarnation);
  const common::BackendId id = known == nullptr ? common::BackendId() : known->id;
  if (update.departed) {
    (void)propose(now, ownership::MarkLeaving{id, true, true, false, update.incarnation});
    return;
  }
  const bool is_late = !ranges_.record_heartbeat(now, update.incarnation, update.sequence,
                                                 std::chrono::milliseconds(update.cold_ms));
  if (is_late && !update.draining) {
    return;
  }
  if (known == nullptr) {
    (void)propose(now, registration_of(update, ownership::OwnershipContract::kFencedGrant));
    return;
  }
  ranges_.record_alive(now, id);
  if (update.draining && !known->leaving) {
    (void)propose(now, ownership::MarkLeaving{id, true, false});
  }
}

bool ControllerCore::has_controllers_in_all_zones() const {
  return !options_.zones.empty() && raft_.membership().members.size() >= 2 * options_.zones.size();
}

std::optional<std::string> ControllerCore::heartbeat_address(
    TimePoint now, const common::Incarnation& sender) const {
  const ownership::BackendRecord* backend = state_.find_incarnation(sender);
  const bool is_holder =
      backend != nullptr && backend->has_contract(ownership::OwnershipContract::kReportedGrant);
  if (is_holder && prefers_direct_heartbeats()) {
    const consensus::Member* leader = raft_.membership().find(raft_.leader());
    return leader == nullptr ? options_.operator_address : leader->operator_address;
  }
  const bool keeps_to_zones = backend != nullptr && has_controllers_in_all_zones();
  if (!raft_.is_leader()) {
    const bool is_own_zone = !keeps_to_zones || backend->zone == options_.zone;
    return is_own_zone ? std::optional(options_.operator_address) : std::nullopt;
  }
  std::vector<std::string> followers;
  std::vector<std::string> followers_in_zone;
  for (const consensus::Member& member : raft_.membership().members) {
    if (member.id == raft_.self() || !is_present(now, member.id, options_.replace_after)) {
      continue;
    }
    followers.push_back(member.operator_address);
    const auto zone = follower_zones_.find(member.id);
    if (keeps_to_zones && zone != follower_zones_.end() && zone->second == backend->zone) {
      followers_in_zone.push_back(member.operator_address);
    }
  }
  const auto& chosen_from = followers_in_zone.empty() ? followers : followers_in_zone;
  if (chosen_from.empty()) {
    return options_.operator_address;
  }
  return chosen_from[std::hash<std::string>{}(sender.value) % chosen_from.size()];
}

void ControllerCore::on_heartbeat_report(TimePoint now, const membership::HeartbeatReport& report) {
  if (report.cell != options_.cell || !is_serving(now)) {
    return;
  }
  follower_zones_[report.sender] = report.sender_zone;
  for (const membership::BackendUpdate& update : report.updates) {
    apply_relayed(now, update);
  }
  for (const membership::BackendHeartbeat& heartbeat : report.heartbeats) {
    const bool is_current = ranges_.record_heartbeat(now, heartbeat.incarnation, heartbeat.sequence,
                                                     std::chrono::milliseconds(heartbeat.cold_ms));
    if (!is_current || !ranges_.grants().has_unreachable()) {
      continue;
    }
    if (const auto* known = state_.find_incarnation(heartbeat.incarnation)) {
      ranges_.record_alive(now, known->id);
    }
  }
  step(now);
}

void ControllerCore::deregister(TimePoint now, OperatorRequestId request,
                                const common::Incarnation& incarnation) {
  if (!is_serving(now)) {
    membership::BackendUpdate update;
    update.incarnation = incarnation;
    update.departed = true;
    return relay_update(now, request, std::move(update));
  }
  const ownership::BackendRecord* known = state_.find_incarnation(incarnation);
  if (state_.has_departed(incarnation)) {
    output_.completions.emplace_back(CommandCompleted{request, state_.applied()});
    return;
  }
  // A back end that is not registered is recorded as well: a late heartbeat must not register it.
  const common::BackendId id = known == nullptr ? common::BackendId() : known->id;
  submit(now, request, Command(ownership::MarkLeaving{id, true, true, false, incarnation}), false);
}

void ControllerCore::mark_ended(TimePoint now, common::BackendId id) {
  const ownership::BackendRecord* backend = state_.find_backend(id);
  const bool is_new = backend != nullptr && !backend->ended && backend->has_fenced_grants();
  if (!is_new || !is_serving(now) || !ending_.insert(id).second) {
    return;
  }
  const bool departed = backend->departed;
  if (!propose(now, ownership::MarkLeaving{id, true, departed, true}).has_value()) {
    ending_.erase(id);  // the next report triggers another attempt
  }
}

void ControllerCore::verify_owners_at(TimePoint now, const std::string& address) {
  if (!state_.is_shared_address(address)) {
    return;
  }
  for (const common::BackendId id : state_.candidates_at(address)) {
    ranges_.verify_owner(now, id);
  }
}

void ControllerCore::settle_address(TimePoint now, const ownership::AnsweredOrder& order,
                                    const ownership::OrderReply& reply) {
  const ownership::BackendRecord* asked = state_.find_backend(order.backend);
  const bool is_replaced = reply.outcome == ownership::OrderOutcome::kReplaced;
  if (asked == nullptr || (!is_replaced && !state_.is_shared_address(asked->address))) {
    return;
  }
  const bool is_own_answer = reply.outcome == ownership::OrderOutcome::kAccepted ||
                             reply.outcome == ownership::OrderOutcome::kFenced;
  // Any other incarnation answers kReplaced, so an accepted order needs no name.
  const common::Incarnation running =
      reply.answered_by.value.empty() && is_own_answer ? asked->incarnation : reply.answered_by;
  if (running.value.empty()) {
    return;
  }
  for (const common::BackendId id : state_.candidates_at(asked->address)) {
    // Processes at one address follow each other. One that was known when the order was made is
    // older than the one that answered it. A later registration may belong to its successor.
    const bool was_known = id.value <= order.made_at.value;
    if (was_known && state_.find_backend(id)->incarnation != running) {
      mark_ended(now, id);
    }
  }
}

void ControllerCore::mark_stated_departure(TimePoint now, common::BackendId id) {
  const ownership::BackendRecord* backend = state_.find_backend(id);
  const bool is_new =
      backend != nullptr && !backend->leaving && !backend->ended && backend->has_fenced_grants();
  if (!is_new || !is_serving(now) || !marking_.insert(id).second) {
    return;
  }
  if (!propose(now, ownership::MarkLeaving{id, true}).has_value()) {
    marking_.erase(id);  // the next report triggers another attempt
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
