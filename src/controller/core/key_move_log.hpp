#pragma once
/// Derives log events from a leader's applied plans: which keys move from which owner to which and
/// for what cause, and how long they had no owner. Has no influence on decisions.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "ownership/cell_state.hpp"

namespace planktray::controller {

enum class MoveCause : std::uint8_t {
  kEnded,      ///< the owner's process has ended
  kLeaving,    ///< the owner is leaving
  kEvacuated,  ///< the owner's zone has been evacuated
  kDegraded,   ///< the owner is cold, or has asked routers to back off
  kBalance,    ///< load balancing
};

std::string_view to_string(MoveCause cause);

/// Keys that their owner must give up from now on.
struct KeysMoving {
  common::ServiceName service;
  ownership::KeyRange keys;
  common::Incarnation from;
  common::Incarnation to;  ///< the intended owner; empty where none is chosen yet
  MoveCause cause = MoveCause::kBalance;
};

/// Keys that have an owner again.
struct KeysAssigned {
  common::ServiceName service;
  ownership::KeyRange keys;
  common::Incarnation to;
  /// Time since the move that stopped routers from sending requests for them; nullopt if this
  /// leader did not apply that move.
  std::optional<common::Duration> without_owner;
};

class KeyMoveLog {
 public:
  using IsDegraded = std::function<bool(const ownership::BackendRecord&)>;

  void begin_term() { moving_.clear(); }
  /// Records a plan that has been applied to the state at `index`.
  void on_applied(common::TimePoint now, const ownership::CellState& state, common::LogIndex index,
                  const ownership::ApplyRangePlan& plan, const IsDegraded& is_degraded);
  std::vector<KeysMoving> take_moving() { return std::exchange(moves_, {}); }
  std::vector<KeysAssigned> take_assigned() { return std::exchange(assigned_, {}); }

 private:
  struct Moving {
    std::uint32_t last = 0;
    common::TimePoint since;
  };

  void record_move(common::TimePoint now, const ownership::CellState& state, common::LogIndex index,
                   const ownership::RangeMove& move, const IsDegraded& is_degraded);
  void record_assignment(common::TimePoint now, const ownership::CellState& state,
                         common::LogIndex index, const ownership::RangeAssignment& assignment);
  /// Returns since when the keys have had no owner. Removes the record once all keys of the same
  /// move have an owner.
  std::optional<common::TimePoint> take_move_time(const ownership::RangeAssignment& assignment);

  /// By service and first key.
  std::map<std::pair<common::ServiceId, std::uint32_t>, Moving> moving_;
  std::vector<KeysMoving> moves_;
  std::vector<KeysAssigned> assigned_;
};

}  // namespace planktray::controller
