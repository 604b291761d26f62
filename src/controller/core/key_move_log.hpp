#pragma once
/// What a leader's applied plans mean for keys, for its log: which keys leave whom for whom and
/// why, and how long they had no owner. Decides nothing.

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
  kEvacuated,  ///< the owner's zone is
  kSpared,     ///< the owner is cold, or keeps routers away
  kBalance,    ///< the load is evened out
};

std::string_view to_string(MoveCause cause);

/// Keys that their owner is to give up from now on.
struct KeysMoving {
  common::ServiceName service;
  ownership::KeyRange keys;
  common::Incarnation from;
  common::Incarnation to;  ///< intended; empty: nobody yet
  MoveCause cause = MoveCause::kBalance;
};

/// Keys that have an owner again.
struct KeysAssigned {
  common::ServiceName service;
  ownership::KeyRange keys;
  common::Incarnation to;
  /// Since routers were told to send nothing more for them; nothing where this leader did not see
  /// that.
  std::optional<common::Duration> without_owner;
};

class KeyMoveLog {
 public:
  using IsSpared = std::function<bool(const ownership::BackendRecord&)>;

  void begin_term() { moving_.clear(); }
  /// Notes a plan that has been applied to the state at `index`.
  void on_applied(common::TimePoint now, const ownership::CellState& state, common::LogIndex index,
                  const ownership::ApplyRangePlan& plan, const IsSpared& is_spared);
  std::vector<KeysMoving> take_moving() { return std::exchange(moves_, {}); }
  std::vector<KeysAssigned> take_assigned() { return std::exchange(assigned_, {}); }

 private:
  struct Moving {
    std::uint32_t last = 0;
    common::TimePoint since;
  };

  void note_move(common::TimePoint now, const ownership::CellState& state, common::LogIndex index,
                 const ownership::RangeMove& move, const IsSpared& is_spared);
  void note_assignment(common::TimePoint now, const ownership::CellState& state,
                       common::LogIndex index, const ownership::RangeAssignment& assignment);
  /// Since when the keys have no owner; forgets it where all that moved with them have one.
  std::optional<common::TimePoint> take_since(const ownership::RangeAssignment& assignment);

  /// By service and first key.
  std::map<std::pair<common::ServiceId, std::uint32_t>, Moving> moving_;
  std::vector<KeysMoving> moves_;
  std::vector<KeysAssigned> assigned_;
};

}  // namespace planktray::controller
