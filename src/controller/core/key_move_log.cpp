#include "controller/core/key_move_log.hpp"

#include <iterator>

namespace planktray::controller {
namespace {

using common::BackendId;
using common::Duration;
using common::TimePoint;
using ownership::BackendRecord;
using ownership::CellState;

/// Keys that moved longer ago than this are not followed any more.
constexpr Duration kMemory = std::chrono::seconds(60);

common::Incarnation incarnation_of(const CellState& state, BackendId id) {
  const BackendRecord* backend = state.find_backend(id);
  return backend == nullptr ? common::Incarnation() : backend->incarnation;
}

MoveCause cause_of(const CellState& state, BackendId owner, const KeyMoveLog::IsSpared& is_spared) {
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
  return is_spared(*backend) ? MoveCause::kSpared : MoveCause::kBalance;
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
    case MoveCause::kSpared:
      return "spared";
    case MoveCause::kBalance:
      return "balance";
  }
  return "unknown";
}

void KeyMoveLog::on_applied(TimePoint now, const CellState& state, common::LogIndex index,
                            const ownership::ApplyRangePlan& plan, const IsSpared& is_spared) {
  std::erase_if(moving_, [now](const auto& item) { return now - item.second.since > kMemory; });
  for (const ownership::RangeMove& move : plan.moves) {
    note_move(now, state, index, move, is_spared);
  }
  for (const ownership::RangeAssignment& assignment : plan.assignments) {
    note_assignment(now, state, index, assignment);
  }
}

void KeyMoveLog::note_move(TimePoint now, const CellState& state, common::LogIndex index,
                           const ownership::RangeMove& move, const IsSpared& is_spared) {
  const auto service = state.routed_services().find(move.service);
  if (service == state.routed_services().end()) {
    return;
  }
  const ownership::RangeRecord& record = service->second.ranges.record_of(move.keys.first);
  if (!record.moving || record.moving_since != index) {
    return;  // it was ignored
  }
  moving_[{move.service, move.keys.first}] = {move.keys.last, now};
  moves_.push_back({service->second.config.name, move.keys, incarnation_of(state, record.owner),
                    incarnation_of(state, move.to), cause_of(state, record.owner, is_spared)});
}

void KeyMoveLog::note_assignment(TimePoint now, const CellState& state, common::LogIndex index,
                                 const ownership::RangeAssignment& assignment) {
  const auto service = state.routed_services().find(assignment.service);
  if (service == state.routed_services().end()) {
    return;
  }
  const ownership::RangeRecord& record = service->second.ranges.record_of(assignment.keys.first);
  if (record.owner != assignment.owner || record.fence.value != index.value) {
    return;  // it was ignored
  }
  const std::optional<TimePoint> since = take_since(assignment);
  assigned_.push_back({service->second.config.name, assignment.keys,
                       incarnation_of(state, assignment.owner),
                       since.has_value() ? std::optional(now - *since) : std::nullopt});
}

std::optional<TimePoint> KeyMoveLog::take_since(const ownership::RangeAssignment& assignment) {
  const auto next = moving_.upper_bound({assignment.service, assignment.keys.first});
  if (next == moving_.begin()) {
    return std::nullopt;
  }
  const auto found = std::prev(next);
  const bool holds =
      found->first.first == assignment.service && found->second.last >= assignment.keys.first;
  if (!holds) {
    return std::nullopt;
  }
  const TimePoint since = found->second.since;
  if (assignment.keys.last >= found->second.last) {
    moving_.erase(found);
  }
  return since;
}

}  // namespace planktray::controller
