/// Grants that are told in the answers to heartbeats, in GrantManager.
///
/// A back end of this kind has one heartbeat under way, numbers them, and takes an answer only
/// while its heartbeat is the newest. So a heartbeat that the leader has not seen before shows the
/// end of all earlier answers: what it does not list as held is not held, and no answer that is
/// still under way can bring it back. This says nothing of answers of an earlier leader, whose
/// heartbeats this one did not see: their time has to run out. Time runs from the sending of the
/// heartbeat, which was before its arrival here, so an answer that comes late holds no longer than
/// a prompt one.

#include <algorithm>

#include "ownership/grant_manager.hpp"

namespace planktray::ownership {
namespace {

bool is_listed(const std::vector<HeldKeys>& held, const KeyRange& keys) {
  return std::any_of(held.begin(), held.end(),
                     [&](const HeldKeys& row) { return row.keys.overlaps(keys); });
}

bool is_held_under(const std::vector<HeldKeys>& held, const KeyRange& keys, Epoch fence) {
  return std::any_of(held.begin(), held.end(), [&](const HeldKeys& row) {
    return row.fence == fence && row.keys.overlaps(keys);
  });
}

}  // namespace

void GrantManager::on_holdings_report(TimePoint now, const CellState& state, BackendId backend,
                                      const HoldingsReport& report) {
  if (!active_) {
    return;
  }
  sync(now, state);
  for (auto& [key, holding] : holdings_) {
    if (holding.owner != backend || !holding.is_reported) {
      continue;
    }
    if (holding.moving) {
      take_report_of_moving(now, report, key, holding);
    } else {
      take_report_of_owned(report, key, holding);
    }
  }
  next_due_ = now;
}

void GrantManager::take_report_of_moving(TimePoint now, const HoldingsReport& report,
                                         const HoldingKey& key, Holding& holding) const {
  for (const ReleasedKeys& row : report.released) {
    if (row.keys.contains(key.keys)) {
      holding.handover = row.handover;
    }
  }
  const bool knows_all_answers = now >= earlier_answers_end_ || !options_.wait_for_earlier_answers;
  const bool is_held = is_listed(report.held, key.keys) && options_.respect_reported_holds;
  if (!is_held && knows_all_answers) {
    holding.released = true;
  }
}

void GrantManager::take_report_of_owned(const HoldingsReport& report, const HoldingKey& key,
                                        Holding& holding) const {
  if (is_held_under(report.held, key.keys, key.fence)) {
    holding.established = true;
    holding.told_in_vain = 0;
    return;
  }
  if (holding.told && ++holding.told_in_vain > options_.answers_in_vain) {
    holding.refused = true;
  }
}

std::set<BackendId> GrantManager::holders_to_notify(TimePoint now) const {
  std::set<BackendId> holders;
  for (const auto& [key, holding] : holdings_) {
    if (!holding.is_reported || holding.gone || holding.released) {
      continue;
    }
    const bool must_hear_of_move = holding.moving && holding.told && now >= holding.next_order;
    const bool must_hear_of_grant = !holding.moving && !holding.told && !holding.refused;
    if (must_hear_of_move || must_hear_of_grant) {
      holders.insert(holding.owner);
    }
  }
  return holders;
}

GrantedHoldings GrantManager::answer_heartbeat(TimePoint now, TimePoint received,
                                               const CellState& state, BackendId backend) {
  GrantedHoldings answer;
  answer.hold_time = options_.reported_hold_time;
  if (!active_) {
    return answer;
  }
  sync(now, state);
  for (auto& [key, holding] : holdings_) {
    if (holding.owner != backend || !holding.is_reported || holding.gone) {
      continue;
    }
    // Until routers have had time to stop, a range that is to move is held on; no longer, though.
    const bool is_held_on =
        holding.moving && holding.told && !holding.released && now < holding.next_order;
    if (holding.refused || (holding.moving && !is_held_on)) {
      holding.told = false;
      continue;
    }
    const RangeRecord* record = state.find_range(key.service, key.keys, key.fence);
    if (record == nullptr) {
      continue;
    }
    holding.told = true;
    holding.may_hold = true;
    holding.held_until =
        std::max(holding.held_until, received + true_time(options_.reported_hold_time));
    answer.ranges.push_back({key.keys, key.fence, holding.established ? "" : record->handover});
  }
  next_due_ = now;
  return answer;
}

}  // namespace planktray::ownership
