/// The part of ControllerCore for heartbeats of holders that followers receive and the leader
/// decides on.

#include <chrono>
#include <utility>

#include "controller/core/controller_core.hpp"

namespace planktray::controller {

using common::ErrorCode;
using ownership::HeartbeatOutcome;

namespace {

/// A follower fails a heartbeat that is not answered within this time, and the holder tries another
/// controller. Holders give a heartbeat up after one second.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(800);
/// Heartbeats wait for a leader while an election may be under way, and are rejected at once after
/// that: another controller may have contact with one.
constexpr Duration kElectionPatience = std::chrono::milliseconds(1000);

/// Maximum number of messages kept by a leader that is not serving yet: followers send one each.
constexpr std::size_t kMaxEarlyMessages = 64;

ownership::HolderHeartbeat to_message(Heartbeat heartbeat) {
  ownership::HolderHeartbeat message;
  message.update = {heartbeat.incarnation, heartbeat.address,  heartbeat.service,
                    heartbeat.zone,        heartbeat.slots,    heartbeat.sequence,
                    heartbeat.cold_ms,     heartbeat.draining, false};
  message.held = std::move(heartbeat.holdings->held);
  message.released = std::move(heartbeat.holdings->released);
  message.waited_ms = static_cast<std::uint32_t>(heartbeat.waited / std::chrono::milliseconds(1));
  return message;
}

Heartbeat from_message(const ownership::HolderHeartbeat& message) {
  const membership::BackendUpdate& update = message.update;
  Heartbeat heartbeat;
  heartbeat.incarnation = update.incarnation;
  heartbeat.address = update.address;
  heartbeat.service = update.service;
  heartbeat.zone = update.zone;
  heartbeat.slots = update.slots;
  heartbeat.draining = update.draining;
  heartbeat.sequence = update.sequence;
  heartbeat.cold_ms = update.cold_ms;
  heartbeat.waited = std::chrono::milliseconds(message.waited_ms);
  heartbeat.holdings = ownership::HoldingsReport{message.held, message.released};
  return heartbeat;
}

/// Completes `answer` with the outcome of the heartbeat.
void set_outcome(ownership::RelayedAnswer& answer, Completion& completion) {
  const auto set = [&](HeartbeatOutcome outcome) {
    answer.outcome = static_cast<std::uint8_t>(outcome);
  };
  if (auto* granted = std::get_if<HoldingsCompleted>(&completion)) {
    answer.ranges = std::move(granted->holdings.ranges);
    answer.hold_ms = static_cast<std::uint32_t>(
        std::chrono::floor<std::chrono::milliseconds>(granted->holdings.hold_time).count());
    return set(HeartbeatOutcome::kGranted);
  }
  const auto* command = std::get_if<CommandCompleted>(&completion);
  const bool is_accepted = command != nullptr && command->index.has_value();
  set(is_accepted ? HeartbeatOutcome::kAccepted : HeartbeatOutcome::kFailed);
}

}  // namespace

void ControllerCore::relay_heartbeat(TimePoint now, OperatorRequestId request,
                                     const Heartbeat& heartbeat) {
  if (now - leader_known_at_ > kElectionPatience) {
    return fail_request(request, false, not_leader("accept heartbeat"));
  }
  fail_superseded(relay_.add(now, request, heartbeat, now + relay_delay(), now + kAnswerTimeout));
  step(now);
}

void ControllerCore::process_relayed_heartbeats(TimePoint now) {
  if (raft_.leader().value != 0) {
    leader_known_at_ = now;
  }
  if (is_serving(now)) {
    for (const ownership::HolderHeartbeats& early : std::exchange(early_heartbeats_, {})) {
      accept_relayed(now, early);
    }
  } else if (!raft_.is_leader()) {
    early_heartbeats_.clear();
  }
  if (relay_.empty()) {
    return;
  }
  for (const OperatorRequestId request : relay_.take_expired(now)) {
    fail_request(request, false,
                 {ErrorCode::kTimeout, "accept heartbeat", options_.name,
                  "the leader did not answer the heartbeat in time"});
  }
  if (is_serving(now)) {
    for (const HeartbeatRelay::Waiting& waiting : relay_.take_all(now)) {
      accept_heartbeat(now, waiting.request, waiting.heartbeat);
    }
    return;
  }
  if (raft_.is_leader() || raft_.leader().value == 0) {
    return;
  }
  if (relay_leader_ != raft_.leader() || relay_term_ != raft_.term()) {
    relay_leader_ = raft_.leader();
    relay_term_ = raft_.term();
    relay_.resend(now);
  }
  std::vector<Heartbeat> heartbeats = relay_.take_unsent(now);
  if (heartbeats.empty()) {
    return;
  }
  ownership::HolderHeartbeats message{options_.cell, raft_.term(), raft_.self(), options_.zone, {}};
  for (Heartbeat& heartbeat : heartbeats) {
    message.heartbeats.push_back(to_message(std::move(heartbeat)));
  }
  output_.holder_heartbeats = std::move(message);
}

void ControllerCore::on_holder_heartbeats(TimePoint now,
                                          const ownership::HolderHeartbeats& relayed) {
  // A message of another term may have been under way for long; its heartbeats are sent again.
  if (relayed.cell != options_.cell || relayed.term != raft_.term() || !raft_.is_leader()) {
    return;
  }
  if (is_serving(now)) {
    accept_relayed(now, relayed);
  } else if (early_heartbeats_.size() < kMaxEarlyMessages) {
    early_heartbeats_.push_back(relayed);
  }
  step(now);
}

void ControllerCore::accept_relayed(TimePoint now, const ownership::HolderHeartbeats& relayed) {
  follower_zones_[relayed.sender] = relayed.sender_zone;
  for (const ownership::HolderHeartbeat& message : relayed.heartbeats) {
    ++counters_.heartbeats_relayed;
    const OperatorRequestId request = new_request();
    relayed_requests_[request] = {relayed.sender, message.update.incarnation,
                                  message.update.sequence};
    accept_heartbeat(now, request, from_message(message));
  }
}

void ControllerCore::address_relayed_answers(ControllerOutput& output) {
  if (relayed_requests_.empty() || output.completions.empty()) {
    return;
  }
  std::map<common::ReplicaId, ownership::RelayedAnswers> by_follower;
  std::vector<Completion> own;
  for (Completion& completion : output.completions) {
    const auto request =
        std::visit([](const auto& alternative) { return alternative.request; }, completion);
    const auto found = relayed_requests_.find(request);
    if (found == relayed_requests_.end()) {
      own.push_back(std::move(completion));
      continue;
    }
    const RelayedRequest& relayed = found->second;
    ownership::RelayedAnswer answer{relayed.incarnation, relayed.sequence, 0, {}, 0};
    set_outcome(answer, completion);
    by_follower[relayed.follower].answers.push_back(std::move(answer));
    relayed_requests_.erase(found);
  }
  output.completions = std::move(own);
  for (auto& [follower, message] : by_follower) {
    message.cell = options_.cell;
    message.term = raft_.term();
    output.relayed_answers.push_back({follower, std::move(message)});
  }
}

void ControllerCore::on_relayed_answers(TimePoint now, const ownership::RelayedAnswers& relayed) {
  if (relayed.cell != options_.cell || relayed.term != raft_.term()) {
    return;
  }
  for (const ownership::RelayedAnswer& answer : relayed.answers) {
    const auto request = relay_.take_answered(answer.incarnation, answer.sequence);
    if (!request.has_value()) {
      continue;
    }
    switch (static_cast<HeartbeatOutcome>(answer.outcome)) {
      case HeartbeatOutcome::kGranted:
        output_.completions.emplace_back(HoldingsCompleted{
            *request, {answer.ranges, std::chrono::milliseconds(answer.hold_ms)}});
        break;
      case HeartbeatOutcome::kAccepted:
        output_.completions.emplace_back(CommandCompleted{*request, state_.applied()});
        break;
      default:
        fail_request(*request, false,
                     {ErrorCode::kTimeout, "accept heartbeat", options_.name,
                      "the leader did not accept the heartbeat"});
    }
  }
  step(now);
}

bool ControllerCore::prefers_direct_heartbeats() const {
  return state_.backends().size() <= options_.backends_without_relays;
}

}  // namespace planktray::controller
