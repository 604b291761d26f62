#pragma once
/// Three controllers that exchange messages without delay.

#include <doctest/doctest.h>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "controller/core/controller_core.hpp"

namespace planktray::controller::testing {

inline TimePoint at_ms(std::int64_t value) { return common::from_microseconds(value * 1000); }

inline constexpr std::size_t kCellReplicas = 3;

struct Cell {
  std::array<std::unique_ptr<ControllerCore>, kCellReplicas> replicas;
  std::array<bool, kCellReplicas> cut{};
  std::vector<Completion> completions;
  std::vector<ownership::GrantOrder> grants;
  std::int64_t time = 0;

  common::ZoneName backend_zone;  ///< of the back end "instance"

  /// @param zones of the replicas, all of which the platform knows; empty: zones are not stated.
  explicit Cell(const std::vector<std::string>& zones = {}) {
    consensus::Membership members;
    for (std::size_t i = 0; i < kCellReplicas; ++i) {
      const std::string name = "c" + std::to_string(i);
      members.members.push_back({common::ReplicaId(i + 1), name, name + ":1", name + ":2", true});
    }
    for (std::size_t i = 0; i < kCellReplicas; ++i) {
      ControllerOptions options;
      options.name = members.members[i].name;
      options.operator_address = members.members[i].operator_address;
      if (!zones.empty()) {
        options.zone = common::ZoneName(zones[i]);
        options.zones = {common::ZoneName(zones[0])};
      }
      replicas[i] = std::make_unique<ControllerCore>(options, common::ReplicaId(i + 1),
                                                     consensus::DurableState(),
                                                     common::RandomEngine(i + 1), at_ms(0));
      REQUIRE(replicas[i]->create_cell(at_ms(0), members).has_value());
    }
    run_for(1500);
  }

  void run_for(std::int64_t length) {
    for (const std::int64_t end = time + length; time < end; ++time) {
      for (std::size_t i = 0; i < kCellReplicas; ++i) {
        replicas[i]->tick(at_ms(time));
      }
      exchange();
    }
  }
  void exchange() {
    for (bool more = true; more;) {
      more = false;
      for (std::size_t i = 0; i < kCellReplicas; ++i) {
        ControllerOutput output = replicas[i]->take_output();
        more = more || !output.empty();
        for (const consensus::PersistRequest& request : output.persist) {
          replicas[i]->on_persisted(at_ms(time), request.sequence);
        }
        for (const consensus::RaftMessage& message : output.peer_messages) {
          const std::size_t to = message.to.value - 1;
          if (!cut[i] && !cut[to]) {
            replicas[to]->on_peer_message(at_ms(time), message);
          }
        }
        if (output.heartbeat_report.has_value() && !cut[i]) {
          replicas[leader()]->on_heartbeat_report(at_ms(time), *output.heartbeat_report);
        }
        if (output.holder_heartbeats.has_value()) {
          const std::size_t to = replicas[i]->raft().leader().value - 1;
          if (!cut[i] && !cut[to]) {
            replicas[to]->on_holder_heartbeats(at_ms(time), *output.holder_heartbeats);
          }
        }
        for (const OutgoingAnswers& answers : output.relayed_answers) {
          const std::size_t to = answers.to.value - 1;
          if (!cut[i] && !cut[to]) {
            replicas[to]->on_relayed_answers(at_ms(time), answers.message);
          }
        }
        completions.insert(completions.end(), output.completions.begin(), output.completions.end());
        grants.insert(grants.end(), output.grants.begin(), output.grants.end());
      }
    }
  }
  std::size_t leader() const {
    std::size_t found = 0;
    for (std::size_t i = 0; i < kCellReplicas; ++i) {
      found = replicas[i]->is_serving(at_ms(time)) ? i : found;
    }
    return found;
  }
  std::size_t follower() const { return (leader() + 1) % kCellReplicas; }

  /// Sends a heartbeat of the back end "instance".
  /// @return whether it was acknowledged within `wait` milliseconds.
  bool heartbeat(std::size_t replica, std::uint64_t sequence, bool draining,
                 std::int64_t wait = 50) {
    Heartbeat heartbeat;
    heartbeat.incarnation = common::Incarnation("instance");
    heartbeat.address = "10.0.0.1:80";
    heartbeat.service = "s";
    heartbeat.zone = backend_zone;
    heartbeat.sequence = sequence;
    heartbeat.draining = draining;
    completions.clear();
    const OperatorRequestId request = replicas[replica]->new_request();
    replicas[replica]->heartbeat(at_ms(time), request, heartbeat);
    exchange();
    run_for(wait);
    for (const Completion& completion : completions) {
      const auto* command = std::get_if<CommandCompleted>(&completion);
      if (command != nullptr && command->request == request) {
        return command->index.has_value();
      }
    }
    return false;
  }
};

}  // namespace planktray::controller::testing
