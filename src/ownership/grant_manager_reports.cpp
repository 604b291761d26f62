/// Grants of GrantManager that are sent in the responses to heartbeats.
///
/// A back end with such grants numbers its heartbeats, has one in flight at a time, and accepts a
/// response only to its newest heartbeat. A heartbeat that the leader has not seen before therefore
/// proves that all earlier responses are void: keys that it does not list are not held, and no
/// response in flight can grant them again. This does not cover responses of an earlier leader,
/// whose heartbeats this leader did not see: their hold time has to expire. The hold time counts
/// from the sending of the heartbeat, which was before its arrival, so a late response does not
/// hold longer than a prompt one.

#include <algorithm>

#include "ownership/grant_manager.hpp"

namespace planktray::ownership {
namespace {

bool is_listed(const std::vector<HeldKeys>& held, const KeyRange& keys) {
  return std::any_of(held.begin(), held.end(),
                     [&](const HeldKeys& listed) { return listed.keys.overlaps(keys); });
}

bool is_held_under(const std::vector<HeldKeys>& held, const KeyRange& keys, Epoch fence) {
  return std::any_of(held.begin(), held.end(), [&](const HeldKeys& listed) {
    return listed.fence == fence && listed.keys.overlaps(keys);
  });
}

}  // namespace

void GrantManager::index_reported_holdings() {
  reported_holdings_.clear();
  for (const auto& [key, holding] : holdings_) {
    if (holding.by_heartbeat) {
      reported_holdings_[holding.owner].push_back(key);
    }
  }
}

template <typename Visit>
void GrantManager::for_each_reported(BackendId backend, const Visit& visit) {
  const auto found = reported_holdings_.find(backend);
  if (found == reported_holdings_.end()) {
    return;
  }
  for (const HoldingKey& key : found->second) {
    visit(key, holdings_.at(key));
  }
}

void GrantManager::on_holdings_report(TimePoint now, const CellState& state, BackendId backend,
                                      const HoldingsReport& report) {
  if (!active_) {
    return;
  }
  sync(now, state);
  for_each_reported(backend, [&](const HoldingKey& key, Holding& holding) {
    if (holding.moving) {
      apply_report_to_moving(now, report, key, holding);
    } else {
      apply_report_to_owned(report, key, holding);
    }
  });
  next_due_ = now;
}

void GrantManager::apply_report_to_moving(TimePoint now, const HoldingsReport& report,
                                          const HoldingKey& key, Holding& holding) const {
  for (const ReleasedKeys& listed : report.released) {
    if (listed.keys.contains(key.keys)) {
      holding.handover = listed.handover;
    }
  }
  const bool sent_all_answers = now >= earlier_answers_end_ || !options_.wait_for_earlier_answers;
  const bool is_held = is_listed(report.held, key.keys) && options_.respect_reported_holds;
  if (!is_held && sent_all_answers) {
    holding.released = true;
  }
}

void GrantManager::apply_report_to_owned(const HoldingsReport& report, const HoldingKey& key,
                                         Holding& holding) const {
  if (is_held_under(report.held, key.keys, key.fence)) {
    holding.established = true;
    holding.ignored_answers = 0;
    return;
  }
  if (holding.in_last_answer && ++holding.ignored_answers > options_.max_ignored_answers) {
    holding.refused = true;
  }
}

std::set<BackendId> GrantManager::holders_to_notify(TimePoint now) const {
  std::set<BackendId> holders;
  for (const auto& [key, holding] : holdings_) {
    if (!holding.by_heartbeat || holding.owner_ended || holding.released) {
      continue;
    }
    const bool is_move_pending =
        holding.moving && holding.in_last_answer && now >= holding.next_order;
    const bool is_grant_pending = !holding.moving && !holding.in_last_answer && !holding.refused;
    if (is_move_pending || is_grant_pending) {
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
  for_each_reported(backend, [&](const HoldingKey& key, Holding& holding) {
    if (holding.owner_ended) {
      return;
    }
    // A range that is to move stays granted only until routers have had time to stop sending.
    const bool is_kept =
        holding.moving && holding.in_last_answer && !holding.released && now < holding.next_order;
    if (holding.refused || (holding.moving && !is_kept)) {
      holding.in_last_answer = false;
      return;
    }
    const RangeRecord* record = state.find_range(key.service, key.keys, key.fence);
    if (record == nullptr) {
      return;
    }
    holding.in_last_answer = true;
    holding.may_be_granted = true;
    holding.held_until =
        std::max(holding.held_until, received + max_duration(options_.reported_hold_time));
    answer.ranges.push_back({key.keys, key.fence, holding.established ? "" : record->handover});
  });
  next_due_ = now;
  return answer;
}

}  // namespace planktray::ownership
