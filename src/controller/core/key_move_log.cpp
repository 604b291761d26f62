#include "controller/core/key_move_log.hpp"

#include <iterator>

namespace planktray::controller {
namespace {

using common::BackendId;
using common::Duration;
using common::TimePoint;
using ownership::BackendRecord;
using ownership::CellState;

/// Moves that began longer ago than this are no longer tracked.
constexpr Duration kMaxTrackedAge = std::chrono::seconds(60);

common::Incarnation incarnation_of(const CellState& state, BackendId id) {
  const BackendRecord* backend = state.find_backend(id);
  return backend == nullptr ? common::Incarnation() : backend->incarnation;
}

MoveCause cause_of(const CellState& state, BackendId owner,
                   const KeyMoveLog::IsDegraded& is_degraded) {
  const BackendRecord* backend = state.find_backend(owner);
  if (backend == nullptr || backend->ended) {
    return MoveCause::kEnded;
  }
  if (backend->leaving) {
    return MoveCause::kLeaving;
  }
  if (state.is_evacuated(*backend)) {
    return MoveCause::kEvacuated;
  }
  return is_degraded(*backend) ? MoveCause::kDegraded : MoveCause::kBalance;
}

}  // namespace

std::string_view to_string(MoveCause cause) {
  switch (cause) {
    case MoveCause::kEnded:
      return "ended";
    case MoveCause::kLeaving:
      return "leaving";
    case MoveCause::kEvacuated:
      return "evacuated";
    case MoveCause::kDegraded:
      return "spared";
    case MoveCause::kBalance:
      return "balance";
  }
  return "unknown";
}

void KeyMoveLog::on_applied(TimePoint now, const CellState& state, common::LogIndex index,
                            const ownership::ApplyRangePlan& plan, const IsDegraded& is_degraded) {
  std::erase_if(moving_,
                [now](const auto& item) { return now - item.second.since > kMaxTrackedAge; });
  for (const ownership::RangeMove& move : plan.moves) {
    record_move(now, state, index, move, is_degraded);
  }
  for (const ownership::RangeAssignment& assignment : plan.assignments) {
    record_assignment(now, state, index, assignment);
  }
}

void KeyMoveLog::record_move(TimePoint now, const CellState& state, common::LogIndex index,
                             const ownership::RangeMove& move, const IsDegraded& is_degraded) {
  const auto service = state.routed_services().find(move.service);
  if (service == state.routed_services().end()) {
    return;
  }
  const ownership::RangeRecord& record = service->second.ranges.record_of(move.keys.first);
  if (!record.moving || record.moving_since != index) {
    return;  // the state ignored it
  }
  moving_[{move.service, move.keys.first}] = {move.keys.last, now};
  moves_.push_back({service->second.config.name, move.keys, incarnation_of(state, record.owner),
                    incarnation_of(state, move.to), cause_of(state, record.owner, is_degraded)});
}

void KeyMoveLog::record_assignment(TimePoint now, const CellState& state, common::LogIndex index,
                                   const ownership::RangeAssignment& assignment) {
  const auto service = state.routed_services().find(assignment.service);
  if (service == state.routed_services().end()) {
    return;
  }
  const ownership::RangeRecord& record = service->second.ranges.record_of(assignment.keys.first);
  if (record.owner != assignment.owner || record.fence.value != index.value) {
    return;  // the state ignored it
  }
  const std::optional<TimePoint> since = take_move_time(assignment);
  assigned_.push_back({service->second.config.name, assignment.keys,
                       incarnation_of(state, assignment.owner),
                       since.has_value() ? std::optional(now - *since) : std::nullopt});
}

std::optional<TimePoint> KeyMoveLog::take_move_time(const ownership::RangeAssignment& assignment) {
  const auto next = moving_.upper_bound({assignment.service, assignment.keys.first});
  if (next == moving_.begin()) {
    return std::nullopt;
  }
  const auto found = std::prev(next);
  const bool contains_key =
      found->first.first == assignment.service && found->second.last >= assignment.keys.first;
  if (!contains_key) {
    return std::nullopt;
  }
  const TimePoint since = found->second.since;
  if (assignment.keys.last >= found->second.last) {
    moving_.erase(found);
  }
  return since;
}

}  // namespace planktray::controller
