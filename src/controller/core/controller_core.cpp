#include "controller/core/controller_core.hpp"

#include <algorithm>
#include <utility>

namespace planktray::controller {
namespace {

using common::ErrorCode;
using ownership::ApplyPlan;
using ownership::Command;

/// Minimum interval between sweeps over all sessions and subscribers.
constexpr Duration kSweepInterval = std::chrono::milliseconds(10);
/// Bounds of the time between two ticks while no input arrives.
constexpr Duration kMaxTickInterval = std::chrono::milliseconds(250);
constexpr Duration kMinTickInterval = std::chrono::milliseconds(1);
/// A follower that was last up to date longer ago than this sends routers no table: the table would
/// be almost too old on arrival. Half of the shortest age limit that routers apply.
constexpr Duration kMaxFollowerLag = std::chrono::milliseconds(750);

/// A snapshot is taken after an entry for each of this many back ends, or more entries.
constexpr std::uint64_t kBackendsPerSnapshotEntry = 4;

}  // namespace

ControllerCore::ControllerCore(ControllerOptions options, common::ReplicaId self,
                               consensus::DurableState state, common::RandomEngine random,
                               TimePoint now)
    : options_(std::move(options)),
      raft_(options_.raft, self, std::move(state), random, now),
      leases_(options_.cell, options_.lease),
      planner_(options_.planner),
      distributor_(options_.cell, options_.distributor),
      update_pacer_(options_.update_pacer, options_.distributor.updates_per_second),
      suspects_(options_.crash_ledger),
      ranges_(options_.ranges),
      next_balance_(now),
      next_join_(now),
      leader_known_at_(now),
      next_plan_(now) {
  process_raft_output(now);
}

void ControllerCore::tick(TimePoint now) {
  raft_.tick(now);
  step(now);
}

void ControllerCore::on_peer_message(TimePoint now, const consensus::RaftMessage& message) {
  raft_.receive(now, message);
  step(now);
}

void ControllerCore::on_persisted(TimePoint now, std::uint64_t sequence) {
  raft_.persisted(now, sequence);
  step(now);
}

void ControllerCore::on_router_hello(TimePoint now, const routing::RouterHello& hello) {
  if (hello.cell != options_.cell) {
    return;
  }
  if (!is_serving(now)) {
    return answer_as_follower(now, hello);
  }
  ++counters_.hellos;
  distributor_.on_hello(now, hello, state_.applied());
  loads_.add(hello.loads);
  ranges_.record_loads(now, hello);
  if (auto crowded = ranges_.take_crowded()) {
    distributor_.set_crowded(std::move(*crowded));
  }
  if (auto limits = ranges_.record_limits(now, state_, hello)) {
    distributor_.set_limits(std::move(*limits));
  }
  for (const routing::CrashSuspect& blocked : suspects_.on_hello(now, hello)) {
    output_.blocked_requests.push_back(blocked);
  }
  distributor_.set_suspects(suspects_.suspects(now));
  for (const common::BackendId id : hello.ended) {
    mark_ended(now, id);
  }
  for (const common::BackendId id : hello.leaving) {
    mark_stated_departure(now, id);
  }
  auto table = distributor_.answer(now, state_, hello.router);
  const bool offers_snapshot = !table.has_value() && distributor_.offers_snapshot(state_, hello);
  if (table.has_value()) {
    ++counters_.updates_answered;
    output_.tables.push_back(std::move(*table));
  }
  // The leader is the only source of membership changes for a router that no follower answers.
  if (offers_snapshot || hello.controllers_index < raft_.membership_index()) {
    send_controller_list(hello.router, offers_snapshot);
  }
  step(now);
}

routing::ControllerList ControllerCore::controller_list() const {
  routing::ControllerList list;
  list.cell = options_.cell;
  list.term = raft_.term();
  list.sender = options_.peer_address;
  list.sender_zone = options_.zone;
  list.index = raft_.membership_index();
  for (const consensus::Member& member : raft_.membership().members) {
    list.addresses.push_back(member.peer_address);
    if (member.id == raft_.leader()) {
      list.leader = member.peer_address;
    }
  }
  return list;
}

void ControllerCore::answer_as_follower(TimePoint now, const routing::RouterHello& hello) {
  // An overloaded leader may read a router's hello seconds late. Its followers can state as well as
  // the leader what is committed, and as of when.
  const auto current_as_of = raft_.current_as_of();
  const bool follows = !raft_.is_leader() && raft_.leader().value != 0;
  bool is_confirmed = false;
  if (follows && current_as_of.has_value() && now - *current_as_of < kMaxFollowerLag) {
    auto table = distributor_.answer_as_follower(now, *current_as_of, state_, raft_.term(), hello);
    is_confirmed = table.has_value();
    if (is_confirmed) {
      ++counters_.tables_as_follower;
      table->update.sender_zone = options_.zone;
      output_.tables.push_back(std::move(*table));
    }
  }
  const bool knows_leader = raft_.leader().value != 0 && hello.leader_term == raft_.term();
  const bool has_list = hello.controllers_index >= raft_.membership_index();
  // A router that gets no answer at all takes itself to be cut off.
  if (!is_confirmed || !knows_leader || !has_list) {
    send_controller_list(hello.router, distributor_.offers_snapshot(state_, hello));
  }
}

void ControllerCore::send_controller_list(const common::RouterName& router, bool offers_snapshot) {
  routing::ControllerList list = controller_list();
  list.offers_snapshot = offers_snapshot;
  if (!list.addresses.empty()) {
    output_.controllers.push_back({router, std::move(list)});
  }
}

void ControllerCore::on_lease_reply(TimePoint now, const common::MachineName& machine,
                                    common::BackendId backend, const ownership::LeaseReply& reply) {
  leases_.on_lease_reply(now, machine, backend, reply);
  step(now);
}

void ControllerCore::on_release_reply(TimePoint now, common::BackendId backend,
                                      const ownership::ReleaseReply& reply) {
  leases_.on_release_reply(backend, reply);
  sweep_needed_ = true;
  step(now);
}

void ControllerCore::on_order_reply(TimePoint now, ownership::OrderId id,
                                    const ownership::OrderReply& reply) {
  const auto order = ranges_.on_order_reply(now, state_, id, reply);
  if (order.has_value()) {
    settle_address(now, *order, reply);
  }
  if (order.has_value() && reply.is_leaving) {
    mark_stated_departure(now, order->backend);
  }
  step(now);
}

void ControllerCore::on_release_failure(common::BackendId backend) {
  leases_.on_release_failure(backend);
}

void ControllerCore::on_machine_list(TimePoint now, membership::MachineList list) {
  if (list.version >= machines_.version) {
    machines_ = std::move(list);
    sweep_needed_ = true;
  }
  step(now);
}

void ControllerCore::on_idle_share(double idle_share) {
  update_pacer_.on_sample(idle_share);
  distributor_.set_update_rate(update_pacer_.rate());
}

ControllerOutput ControllerCore::take_output() {
  ControllerOutput output = std::exchange(output_, {});
  address_relayed_answers(output);
  return unreadable_state_.has_value() ? ControllerOutput() : output;
}

TimePoint ControllerCore::next_due(TimePoint now) const {
  TimePoint due = std::min(raft_.next_due(), now + kMaxTickInterval);
  if (!raft_.is_leader()) {
    if (!heartbeats_.empty() || !updates_.empty()) {
      due = std::min(due, next_report_);
    }
    due = std::min(due, relay_.next_due());
    return std::max(due, now + kMinTickInterval);
  }
  if (sweep_needed_ || uses_leases()) {
    due = std::min(due, next_sweep_);
  }
  due = std::min({due, ranges_.next_due(), distributor_.next_due()});
  return std::max(due, now + kMinTickInterval);
}

bool ControllerOutput::empty() const {
  return peer_messages.empty() && !join.has_value() && forwarded_joins.empty() &&
         member_lists.empty() && refused_joins.empty() && !heartbeat_report.has_value() &&
         !holder_heartbeats.has_value() && relayed_answers.empty() && persist.empty() &&
         leases.empty() && releases.empty() && grants.empty() && key_releases.empty() &&
         tables.empty() && controllers.empty() && !announcement.has_value() &&
         completions.empty() && changed_backends.empty() && blocked_requests.empty() &&
         keys_moving.empty() && keys_assigned.empty();
}

// ---------------------------------------------------------------- replicated log

void ControllerCore::step(TimePoint now) {
  process_raft_output(now);
  request_join(now);
  report_heartbeats(now);
  answer_relayed(now);
  process_relayed_heartbeats(now);
  if (!is_serving(now)) {
    return;
  }
  if (!std::exchange(announced_, true)) {
    // Routers wait for the answer to a hello before they look for another leader. Until then they
    // keep the table of the former leader, and no change of this term is in force.
    output_.announcement = controller_list();
  }
  if (now >= next_sweep_) {
    sweep(now);
  }
  plan_ranges(now);
  ranges_.collect_orders(now, state_, output_.grants, output_.key_releases);
  answer_holders(now);
  process_raft_output(now);
}

void ControllerCore::sweep(TimePoint now) {
  sweep_needed_ = false;
  next_sweep_ = now + kSweepInterval;
  if (uses_leases()) {
    register_backends(now);
    mark_leaving(now);
    plan(now);
    leases_.collect(now, state_, machines_, output_.leases, output_.releases);
  }
  maintain_members(now);
  commit_grant_terms(now);
  commit_warmth(now);
  for (OutgoingTable& table : distributor_.collect(now, state_)) {
    ++counters_.updates_pushed;
    output_.tables.push_back(std::move(table));
  }
}

bool ControllerCore::uses_leases() const {
  return leases_.sessions() > 0 || !machines_.machines.empty() || !state_.services().empty();
}

void ControllerCore::process_raft_output(TimePoint now) {
  consensus::RaftOutput raft_output = raft_.take_output();
  const bool is_readable = !raft_output.restored.has_value() || restore(raft_output.restored->data);
  if (!is_readable || unreadable_state_.has_value()) {
    return;  // entries that follow must not be applied to another state
  }
  for (const consensus::Entry& entry : raft_output.committed) {
    apply_entry(now, entry);
  }
  std::move(raft_output.messages.begin(), raft_output.messages.end(),
            std::back_inserter(output_.peer_messages));
  std::move(raft_output.persist.begin(), raft_output.persist.end(),
            std::back_inserter(output_.persist));
  for (const std::uint64_t request : raft_output.reads_ready) {
    output_.completions.emplace_back(ReadCompleted{request, {}});
  }
  for (const std::uint64_t request : raft_output.reads_failed) {
    output_.completions.emplace_back(ReadCompleted{request, tl::unexpected(not_leader("read"))});
  }
  update_role(now);
  // A snapshot takes time proportional to the back ends.
  const std::uint64_t snapshot_entries = std::max<std::uint64_t>(
      options_.snapshot_entries, state_.backends().size() / kBackendsPerSnapshotEntry);
  if (applied_since_snapshot_ >= snapshot_entries) {
    take_snapshot();
    process_raft_output(now);
  }
}

bool ControllerCore::restore(const std::string& snapshot) {
  auto restored = ownership::CellState::decode_snapshot(snapshot);
  if (!restored.has_value()) {
    unreadable_state_ = restored.error();
    return false;
  }
  state_ = std::move(*restored);
  distributor_.on_restore();
  return true;
}

void ControllerCore::update_role(TimePoint now) {
  const bool leads = raft_.is_leader();
  if (leading_ && (!leads || raft_.term() != leading_term_)) {
    leading_ = false;
    leases_.end_term();
    for (const OperatorRequestId request : ranges_.end_term()) {
      fail_request(request, false, not_leader("accept heartbeat"));
    }
    fail_pending_requests();
  }
  if (leads && !leading_) {
    leading_ = true;
    announced_ = false;
    leading_term_ = raft_.term();
    ++counters_.elections_won;
    leases_.begin_term(now, raft_.term(), state_);
    ranges_.begin_term(now, state_, raft_.term_start());
    planner_.begin_term();
    loads_.clear();
    distributor_.begin_term(now, raft_.term());
    suspects_.begin_term();
    registering_.clear();
    marking_.clear();
    ending_.clear();
    replaced_.clear();
    admitted_.clear();
    key_moves_.begin_term();
    plan_index_ = common::LogIndex();
    range_plan_index_ = common::LogIndex();
    terms_index_ = common::LogIndex();
    warmth_index_ = common::LogIndex();
    planned_state_ = common::LogIndex();
  }
}

void ControllerCore::apply_entry(TimePoint now, const consensus::Entry& entry) {
  ++counters_.entries_applied;
  ++applied_since_snapshot_;
  if (entry.entry_kind() != consensus::EntryKind::kCommand) {
    state_.skip(entry.index);
    return;
  }
  const auto command = common::decode<Command>(entry.payload, "apply entry", "");
  if (!command.has_value()) {
    state_.skip(entry.index);  // consistent across replicas: all have the same bytes
    return;
  }
  const auto* registration = std::get_if<ownership::RegisterBackend>(&command->value);
  if (registration != nullptr) {
    ++counters_.backends_registered;
    registering_.erase({registration->machine, registration->incarnation});
  }
  if (const auto* leaving = std::get_if<ownership::MarkLeaving>(&command->value)) {
    marking_.erase(leaving->backend);
    ending_.erase(leaving->backend);
  }
  if (const auto* applied_plan = std::get_if<ApplyPlan>(&command->value)) {
    counters_.backends_lost += applied_plan->lost.size();
    counters_.shards_assigned += applied_plan->assignments.size();
    counters_.moves_begun += applied_plan->moves.size();
  }
  if (const auto* evacuation = std::get_if<ownership::EvacuateZone>(&command->value)) {
    if (!evacuation->evacuated) {
      ranges_.record_zone_return(now, evacuation->zone);
    }
  }
  sweep_needed_ = true;
  ownership::ApplyResult result = state_.apply(entry.index, *command);
  if (leading_) {
    for (const routing::ShardRoute& shard : result.delta.shards) {
      leases_.renew_now(shard.owner);
    }
  }
  complete(now, entry, result);
  if (leading_ && registration != nullptr) {
    verify_owners_at(now, registration->address);
  }
  if (leading_) {
    log_key_moves(now, entry.index, *command);
    output_.changed_backends.insert(output_.changed_backends.end(), result.delta.backends.begin(),
                                    result.delta.backends.end());
  }
  distributor_.on_delta(std::move(result.delta));
}

void ControllerCore::log_key_moves(TimePoint now, common::LogIndex index, const Command& command) {
  const auto* plan = std::get_if<ownership::ApplyRangePlan>(&command.value);
  if (plan == nullptr || (plan->moves.empty() && plan->assignments.empty())) {
    return;
  }
  key_moves_.on_applied(now, state_, index, *plan, ranges_.degraded_check(now, state_));
  const auto append = [](auto& to, auto from) { to.insert(to.end(), from.begin(), from.end()); };
  append(output_.keys_moving, key_moves_.take_moving());
  append(output_.keys_assigned, key_moves_.take_assigned());
}

void ControllerCore::complete(TimePoint now, const consensus::Entry& entry,
                              const ownership::ApplyResult& result) {
  const auto found = pending_.find(entry.index);
  if (found == pending_.end()) {
    return;
  }
  const PendingRequest pending = found->second;
  pending_.erase(found);
  const bool is_own = pending.term == entry.term;
  const common::Error lost{ErrorCode::kTimeout, "commit", options_.name,
                           "leadership was lost; retry with the same change id"};
  if (!pending.is_change) {
    const ownership::BackendRecord* holder =
        is_own && !pending.holder.value.empty() ? state_.find_incarnation(pending.holder) : nullptr;
    if (holder != nullptr) {
      return fail_superseded(
          ranges_.defer_committed(now, pending.received, holder->id, pending.request));
    }
    if (!is_own) {
      return fail_request(pending.request, false, lost);
    }
    output_.completions.emplace_back(CommandCompleted{pending.request, entry.index});
    return;
  }
  if (!is_own || !result.answer.has_value()) {
    return fail_request(pending.request, true, lost);
  }
  const bool accepted = result.answer->change_status() == ownership::ChangeStatus::kAccepted;
  ++(accepted ? counters_.changes_accepted : counters_.changes_refused);
  ChangeCompleted& completed = output_.completions.emplace_back().emplace<ChangeCompleted>();
  completed.request = pending.request;
  completed.answer = *result.answer;
}

void ControllerCore::fail_pending_requests() {
  const common::Error lost{ErrorCode::kTimeout, "commit", options_.name,
                           "leadership was lost; retry with the same change id"};
  for (const auto& [index, pending] : std::exchange(pending_, {})) {
    fail_request(pending.request, pending.is_change, lost);
  }
}

void ControllerCore::fail_request(OperatorRequestId request, bool is_change,
                                  const common::Error& error) {
  if (is_change) {
    ChangeCompleted& completed = output_.completions.emplace_back().emplace<ChangeCompleted>();
    completed.request = request;
    completed.answer = tl::unexpected(error);
  } else {
    output_.completions.emplace_back(CommandCompleted{request, tl::unexpected(error)});
  }
}

void ControllerCore::take_snapshot() {
  applied_since_snapshot_ = 0;
  ++counters_.snapshots_taken;
  raft_.compact(state_.applied(), state_.encode_snapshot());
}

common::Result<common::LogIndex> ControllerCore::propose(TimePoint now, const Command& command) {
  return raft_.propose(now, common::encode(command));
}

common::Error ControllerCore::not_leader(const std::string& step_name) const {
  if (raft_.is_leader()) {
    // No other leader is known; naming this replica would redirect the caller back to it.
    return {ErrorCode::kNotLeader, step_name, "",
            "this replica's leadership is not confirmed at present"};
  }
  const consensus::Member* leader = raft_.membership().find(raft_.leader());
  const std::string peer = leader == nullptr ? "" : leader->operator_address;
  return {ErrorCode::kNotLeader, step_name, peer,
          peer.empty() ? "no leader is known" : "send the request to the leader at " + peer};
}

}  // namespace planktray::controller
