/// The part of ControllerProcess for its connections to other controllers and to routers.

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "controller/controller_process.hpp"
#include "transport/logging.hpp"

namespace planktray::controller {

using transport::boot_time_now;
using transport::log_error;
using transport::log_event;

namespace {

/// The identity of a process that has sent nothing for this long is forgotten: many intervals
/// between the messages of any process that is running.
constexpr common::Duration kSilentIdentityKept = std::chrono::seconds(60);

}  // namespace

transport::ZmqSocket* ControllerProcess::dealer(const std::string& address) {
  const auto found = dealers_.find(address);
  if (found != dealers_.end()) {
    return found->second.get();
  }
  const std::string identity =
      "controller/" + settings_.options.name + "/" + std::to_string(core_->raft().self().value);
  auto socket = transport::ZmqSocket::connect(
      context_, address, identity,
      [this](const std::string& /*identity*/, const auto& message) { on_message("", message); });
  if (!socket.has_value()) {
    log_error("peer_connect_failed", socket.error());
    return nullptr;
  }
  return (dealers_[address] = std::move(*socket)).get();
}

void ControllerProcess::send_peer(const consensus::RaftMessage& message) {
  const consensus::Member* member = core_->raft().membership().find(message.to);
  if (member != nullptr) {
    if (transport::ZmqSocket* socket = dealer(member->peer_address)) {
      socket->send(transport::WireMessage(message));
    }
    return;
  }
  // A joining replica replies to a leader whose address it does not have yet.
  const auto identity = replica_identities_.find(message.to);
  if (identity != replica_identities_.end()) {
    server_socket_->send(identity->second.identity, transport::WireMessage(message));
  }
}

void ControllerProcess::send_joins(const ControllerOutput& output) {
  if (output.join.has_value()) {
    for (const std::string& address : output.join->to) {
      if (transport::ZmqSocket* socket = dealer(address)) {
        socket->send(transport::WireMessage(output.join->request));
      }
    }
  }
  for (const consensus::JoinRequest& request : output.forwarded_joins) {
    send_to_leader(transport::WireMessage(request));
  }
  for (const OutgoingMembers& members : output.member_lists) {
    const auto identity = replica_identities_.find(members.candidate);
    if (identity != replica_identities_.end()) {
      server_socket_->send(identity->second.identity, transport::WireMessage(members.list));
    }
  }
  for (const RefusedJoin& refused : output.refused_joins) {
    if (join_limit_.allows(boot_time_now())) {
      log_event("join_refused", {{"candidate", refused.candidate},
                                 {"reason", std::string(to_string(refused.reason))}});
    }
  }
}

void ControllerProcess::send_to_leader(const transport::WireMessage& message) {
  send_to_member(core_->raft().leader(), message);
}

void ControllerProcess::send_to_member(common::ReplicaId id,
                                       const transport::WireMessage& message) {
  const consensus::Member* member = core_->raft().membership().find(id);
  if (member != nullptr) {
    if (transport::ZmqSocket* socket = dealer(member->peer_address)) {
      socket->send(message);
    }
  }
}

void ControllerProcess::on_message(const std::string& identity,
                                   const transport::WireMessage& message) {
  const bool is_hello = std::holds_alternative<routing::RouterHello>(message.value);
  const ActivityMeter::Span span(meter_, is_hello ? Activity::kHellos : Activity::kPeers);
  const auto now = boot_time_now();
  if (const auto* raft = std::get_if<consensus::RaftMessage>(&message.value)) {
    if (!identity.empty()) {
      replica_identities_[raft->from] = {identity, now};
    }
    core_->on_peer_message(now, *raft);
  } else if (const auto* join = std::get_if<consensus::JoinRequest>(&message.value)) {
    if (!identity.empty() && !join->is_forwarded) {
      replica_identities_[join->candidate.id] = {identity, now};
    }
    core_->on_join(now, *join);
  } else if (const auto* list = std::get_if<routing::ControllerList>(&message.value)) {
    core_->on_controller_list(*list);
  } else if (const auto* report = std::get_if<membership::HeartbeatReport>(&message.value)) {
    core_->on_heartbeat_report(now, *report);
  } else if (const auto* relayed = std::get_if<ownership::HolderHeartbeats>(&message.value)) {
    core_->on_holder_heartbeats(now, *relayed);
  } else if (const auto* answers = std::get_if<ownership::RelayedAnswers>(&message.value)) {
    core_->on_relayed_answers(now, *answers);
  } else if (const auto* hello = std::get_if<routing::RouterHello>(&message.value)) {
    if (!identity.empty()) {
      router_identities_[hello->router] = {identity, now};
    }
    core_->on_router_hello(now, *hello);
  }
  flush();
}

void ControllerProcess::forget_gone_peers() {
  const std::vector<std::string> known = core_->known_controllers();
  std::erase_if(dealers_, [&](const auto& item) {
    const bool is_gone = std::find(known.begin(), known.end(), item.first) == known.end();
    if (is_gone) {
      closed_dealers_ += item.second->counters();
      log_event("peer_gone", {{"peer", item.first}});
    }
    return is_gone;
  });
  const common::TimePoint oldest = boot_time_now() - kSilentIdentityKept;
  const auto is_silent = [oldest](const auto& item) { return item.second.last_message < oldest; };
  std::erase_if(router_identities_, is_silent);
  std::erase_if(replica_identities_, is_silent);
}

}  // namespace planktray::controller
