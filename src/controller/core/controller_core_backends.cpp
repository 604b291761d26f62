/// Back ends with fenced grants in ControllerCore: their heartbeats, departures and ends, and the
/// plans for the key ranges they own.

#include <algorithm>
#include <functional>
#include <utility>

#include "controller/core/controller_core.hpp"

namespace planktray::controller {

using common::ErrorCode;
using ownership::Command;

namespace {

/// A follower reports the heartbeats that it has answered this often.
constexpr Duration kReportInterval = std::chrono::milliseconds(250);

/// News go to the leader after this time, together: back ends that are replaced come dozens at a
/// time, and their senders wait for the answer.
constexpr Duration kNewsDelay = std::chrono::milliseconds(5);
/// A follower that has not seen the news committed by then says so, and its sender asks another
/// one. Senders give a heartbeat up after a second.
constexpr Duration kNewsTimeout = std::chrono::milliseconds(800);

membership::BackendNews news_of(const Heartbeat& heartbeat) {
  return {heartbeat.incarnation, heartbeat.address,  heartbeat.service,
          heartbeat.zone,        heartbeat.slots,    heartbeat.sequence,
          heartbeat.cold_ms,     heartbeat.draining, false};
}

ownership::RegisterBackend registration_of(const membership::BackendNews& news,
                                           ownership::OwnershipContract contract) {
  ownership::RegisterBackend registration;
  registration.machine = common::MachineName(news.incarnation.value);
  registration.address = news.address;
  registration.zone = news.zone;
  registration.pool = common::PoolName(news.service);
  registration.incarnation = news.incarnation;
  registration.contract = static_cast<std::uint8_t>(contract);
  registration.slots = news.slots;
  registration.cold = news.cold_ms > 0;
  registration.leaving = news.draining;
  return registration;
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
      // Only the leader can say what a back end is to hold.
      return heartbeat.holdings.has_value()
                 ? complete_now(tl::unexpected(not_leader("take heartbeat")))
                 : relay_news(now, request, news_of(heartbeat));
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
    const auto contract = heartbeat.holdings.has_value()
                              ? ownership::OwnershipContract::kReportedGrant
                              : ownership::OwnershipContract::kFencedGrant;
    const bool is_holder = heartbeat.holdings.has_value();
    return submit_heartbeat(now, request, is_holder ? heartbeat.incarnation : common::Incarnation(),
                            Command(registration_of(news_of(heartbeat), contract)));
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

void ControllerCore::relay_news(TimePoint now, OperatorRequestId request,
                                membership::BackendNews news) {
  if (raft_.is_leader() || raft_.leader().value == 0) {
    return fail_request(request, false, not_leader("take heartbeat"));
  }
  // Redirected, the sender would wait for one call more, and the leader would read, answer and
  // close a connection for each: 1,000 a second beside a release, a third of a full leader's time.
  relayed_[request] = {news.incarnation, news.draining, news.departed, now + kNewsTimeout};
  news_.push_back(std::move(news));
  ++counters_.updates_relayed;
  next_report_ = std::min(next_report_, now + kNewsDelay);
  step(now);
}

bool ControllerCore::is_committed(const RelayedNews& news) const {
  const ownership::BackendRecord* known = state_.find_incarnation(news.incarnation);
  const bool has_what_it_said = known != nullptr && (known->leaving || !news.draining);
  return state_.has_departed(news.incarnation) || (!news.departed && has_what_it_said);
}

void ControllerCore::answer_relayed(TimePoint now) {
  for (auto next = relayed_.begin(); next != relayed_.end();) {
    const auto& [request, news] = *next;
    if (is_committed(news)) {
      output_.completions.emplace_back(CommandCompleted{request, state_.applied()});
    } else if (now >= news.until) {
      fail_request(request, false,
                   {ErrorCode::kTimeout, "take heartbeat", options_.name,
                    "the leader has not committed it in time"});
    } else {
      ++next;
      continue;
    }
    next = relayed_.erase(next);
  }
}

void ControllerCore::report_heartbeats(TimePoint now) {
  if ((heard_.empty() && news_.empty()) || now < next_report_) {
    return;
  }
  next_report_ = now + kReportInterval;
  output_.heartbeat_report = membership::HeartbeatReport{options_.cell, std::exchange(heard_, {}),
                                                         std::exchange(news_, {})};
}

void ControllerCore::take_news(TimePoint now, const membership::BackendNews& news) {
  if (state_.has_departed(news.incarnation)) {
    return;
  }
  const ownership::BackendRecord* known = state_.find_incarnation(news.incarnation);
  const common::BackendId id = known == nullptr ? common::BackendId() : known->id;
  if (news.departed) {
    (void)propose(now, ownership::MarkLeaving{id, true, true, false, news.incarnation});
    return;
  }
  const bool is_late = !ranges_.note_heartbeat(now, news.incarnation, news.sequence,
                                               std::chrono::milliseconds(news.cold_ms));
  if (is_late && !news.draining) {
    return;
  }
  if (known == nullptr) {
    (void)propose(now, registration_of(news, ownership::OwnershipContract::kFencedGrant));
    return;
  }
  ranges_.note_alive(now, id);
  if (news.draining && !known->leaving) {
    (void)propose(now, ownership::MarkLeaving{id, true, false});
  }
}

std::string ControllerCore::heartbeat_address(TimePoint now,
                                              const common::Incarnation& sender) const {
  std::vector<std::string> followers;
  for (const consensus::Member& member : raft_.membership().members) {
    const bool is_other = raft_.is_leader() && member.id != raft_.self();
    if (is_other && is_present(now, member.id, options_.replace_after)) {
      followers.push_back(member.operator_address);
    }
  }
  if (followers.empty()) {
    return options_.operator_address;
  }
  return followers[std::hash<std::string>{}(sender.value) % followers.size()];
}

void ControllerCore::on_heartbeat_report(TimePoint now, const membership::HeartbeatReport& report) {
  if (report.cell != options_.cell || !is_serving(now)) {
    return;
  }
  for (const membership::BackendNews& news : report.news) {
    take_news(now, news);
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
  step(now);
}

void ControllerCore::deregister(TimePoint now, OperatorRequestId request,
                                const common::Incarnation& incarnation) {
  if (!is_serving(now)) {
    membership::BackendNews news;
    news.incarnation = incarnation;
    news.departed = true;
    return relay_news(now, request, std::move(news));
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

void ControllerCore::mark_stated_departure(TimePoint now, common::BackendId id) {
  const ownership::BackendRecord* backend = state_.find_backend(id);
  const bool is_news =
      backend != nullptr && !backend->leaving && !backend->ended && backend->has_fenced_grants();
  if (!is_news || !is_serving(now) || !marking_.insert(id).second) {
    return;
  }
  if (!propose(now, ownership::MarkLeaving{id, true}).has_value()) {
    marking_.erase(id);  // the next report tries again
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
