/// RangePlanner and keys that have become hot.

#include <algorithm>
#include <optional>
#include <vector>

#include "ownership/range_planner.hpp"
#include "ownership/range_workspace.hpp"

namespace planktray::ownership {
namespace {

struct Piece {
  Segment segment;
  double load = 0;
};

/// The keys that both ranges have.
std::optional<KeyRange> common_keys(const KeyRange& a, const KeyRange& b) {
  if (!a.overlaps(b)) {
    return std::nullopt;
  }
  return KeyRange{std::max(a.first, b.first), std::min(a.last, b.last)};
}

}  // namespace

void RangePlanner::split_hot(Workspace& work, ApplyRangePlan& plan) const {
  const double limit = limit_of(work);
  double total = 0;
  for (const HotRange& hot : work.input().hot) {
    total += hot.service == work.service().id ? work.load(hot.keys) : 0;
  }
  // No more pieces than may move at once: as keys are whole, a piece may fall short by half.
  const double piece_load =
      std::max(options_.hot_piece * work.level(), 2.0 * total / options_.concurrent_hot_moves);
  std::vector<Piece> pieces;
  for (const HotRange& hot : work.input().hot) {
    for (const Segment& segment : work.segments()) {
      const auto keys = common_keys(segment.keys, hot.keys);
      const auto owner = work.targets().find(segment.owner);
      const bool is_heavy = owner != work.targets().end() && owner->second.utilization() > limit;
      if (hot.service != work.service().id || !keys.has_value() || !is_heavy) {
        continue;
      }
      for (const KeyRange& piece : work.cut(*keys, piece_load)) {
        pieces.push_back({{piece, segment.owner, segment.fence}, work.load(piece)});
      }
    }
  }
  std::stable_sort(pieces.begin(), pieces.end(),
                   [](const Piece& a, const Piece& b) { return a.load > b.load; });
  const std::size_t most_ranges = options_.ranges_per_target * work.targets().size();
  for (const Piece& piece : pieces) {
    const bool has_room = work.service().ranges.records().size() + work.moving() < most_ranges;
    if (!has_room || work.moving() >= options_.concurrent_hot_moves) {
      return;
    }
    const BackendId owner = piece.segment.owner;
    const BackendId next = work.roomiest(piece.load, owner);
    if (next != owner && work.may_give_up(owner)) {
      work.move(plan, piece.segment.keys, piece.segment.fence, owner, next);
    }
  }
}

}  // namespace planktray::ownership
