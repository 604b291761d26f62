/// The part of ControllerCore for requests of operators.

#include <algorithm>
#include <utility>

#include "controller/core/controller_core.hpp"

namespace planktray::controller {

using common::ErrorCode;
using ownership::ApplyPlan;
using ownership::Command;

common::Result<void> ControllerCore::create_cell(TimePoint now,
                                                 const consensus::Membership& membership) {
  if (!raft_.membership().members.empty()) {
    if (raft_.membership() == membership) {
      return {};
    }
    return common::fail(ErrorCode::kConflict, "create cell", options_.name,
                        "this data folder already belongs to a cell");
  }
  if (!membership.is_voter(raft_.self())) {
    return common::fail(ErrorCode::kInvalid, "create cell", options_.name,
                        "this replica is not among the members");
  }
  raft_.bootstrap(now, membership, state_.encode_snapshot());
  step(now);
  return {};
}

void ControllerCore::submit(TimePoint now, OperatorRequestId request, const Command& command,
                            bool is_change) {
  auto index = is_serving(now)
                   ? propose(now, command)
                   : common::Result<common::LogIndex>(tl::unexpected(not_leader("accept change")));
  if (index.has_value()) {
    pending_[*index] = {request, raft_.term(), is_change, {}, {}};
  } else {
    fail_request(request, is_change, index.error());
  }
  step(now);
}

void ControllerCore::change_declaration(TimePoint now, OperatorRequestId request,
                                        ownership::ChangeDeclaration change) {
  submit(now, request, Command(std::move(change)), true);
}

void ControllerCore::change_routes(TimePoint now, OperatorRequestId request,
                                   config::RouteChange change) {
  submit(now, request, Command(ownership::ChangeRoutes{std::move(change)}), true);
}

void ControllerCore::drain_machine(TimePoint now, OperatorRequestId request,
                                   ownership::DrainMachine drain) {
  submit(now, request, Command(std::move(drain)), false);
}

void ControllerCore::evacuate_zone(TimePoint now, OperatorRequestId request,
                                   ownership::EvacuateZone evacuation) {
  if (!options_.zones.empty() && !options_.zones.contains(evacuation.zone)) {
    output_.completions.emplace_back(
        CommandCompleted{request, common::fail(ErrorCode::kNotFound, "evacuate zone", options_.name,
                                               "unknown zone " + evacuation.zone.value)});
    return;
  }
  submit(now, request, Command(std::move(evacuation)), false);
}

void ControllerCore::move_shard(TimePoint now, OperatorRequestId request,
                                const common::ServiceKey& service, common::ShardNumber shard,
                                const common::MachineName& to) {
  const ownership::ServiceRecord* record = state_.find_service(service);
  const auto refuse = [&](ErrorCode code, const std::string& message) {
    output_.completions.emplace_back(
        CommandCompleted{request, common::fail(code, "move shard", options_.name, message)});
  };
  if (!is_serving(now)) {
    output_.completions.emplace_back(
        CommandCompleted{request, tl::unexpected(not_leader("move shard"))});
    return;
  }
  if (record == nullptr || shard.value >= record->shards.size()) {
    return refuse(ErrorCode::kNotFound, "the service or the shard does not exist");
  }
  for (const common::BackendId id : record->targets) {
    if (state_.find_backend(id)->machine == to) {
      ApplyPlan plan;
      plan.moves.push_back({record->id, shard, record->shards[shard.value].epoch, id});
      return submit(now, request, Command(std::move(plan)), false);
    }
  }
  refuse(ErrorCode::kInvalid, to.value + " is not a target of the service");
}

common::Result<void> ControllerCore::allow_member(TimePoint now, const std::string& name) {
  if (!is_serving(now)) {
    return tl::unexpected(not_leader("add member"));
  }
  allowed_names_.insert(name);
  return {};
}

common::Result<void> ControllerCore::remove_member(TimePoint now, const std::string& name) {
  if (!is_serving(now)) {
    return tl::unexpected(not_leader("remove member"));
  }
  consensus::Membership next = raft_.membership();
  const auto removed =
      std::erase_if(next.members, [&](const auto& member) { return member.name == name; });
  if (removed != 1) {
    return common::fail(ErrorCode::kNotFound, "remove member", options_.name,
                        "there is not exactly one member of that name");
  }
  auto index = raft_.propose_membership(now, next);
  step(now);
  return index.has_value() ? common::Result<void>() : tl::unexpected(index.error());
}

void ControllerCore::read(TimePoint now, OperatorRequestId request) {
  if (!raft_.is_leader()) {
    output_.completions.emplace_back(ReadCompleted{request, tl::unexpected(not_leader("read"))});
    return;
  }
  raft_.read_barrier(now, request);
  step(now);
}

}  // namespace planktray::controller
