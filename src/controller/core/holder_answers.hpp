#pragma once
/// Deferred answers to heartbeats of holders: back ends that learn from the answer which keys they
/// hold.
///
/// The answer to a heartbeat is the only message that reaches such a back end, and its next
/// heartbeat may be almost a whole interval away. The leader therefore defers the answer for a
/// while, unless it has an update for the back end already; a move of keys then reaches both its
/// old and its new owner at once. The hold time counts from the sending of the heartbeat, so the
/// deferral does not extend it.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "controller/core/heartbeat.hpp"
#include "ownership/grant_manager.hpp"

namespace planktray::controller {

using common::Duration;
using common::TimePoint;

struct HolderAnswer {
  OperatorRequestId request = 0;
  ownership::GrantedHoldings holdings;
};

class HolderAnswers {
 public:
  /// Defers the answer to a heartbeat that arrived at `received` until `answer_by` at the latest.
  /// @return the older request of the back end, if another heartbeat is deferred: its sender has
  ///   given that request up.
  std::optional<OperatorRequestId> defer(common::BackendId backend, OperatorRequestId request,
                                         TimePoint received, TimePoint answer_by);
  /// Returns the answers that are due. Each pass visits all deferred heartbeats and all grants, so
  /// passes have a minimum interval that grows with their number. Call only while the leader lease
  /// is held.
  std::vector<HolderAnswer> collect(TimePoint now, const ownership::CellState& state,
                                    ownership::GrantManager& grants);
  /// Drops all deferred heartbeats, when this replica stops leading. @return their requests.
  std::vector<OperatorRequestId> cancel_all();
  /// True if a heartbeat of the back end is deferred, so that an update can reach it at once.
  bool is_deferred(common::BackendId backend) const { return deferred_.contains(backend); }
  /// When the first deferred heartbeat must be answered.
  TimePoint next_due() const;

 private:
  struct Deferred {
    OperatorRequestId request = 0;
    TimePoint received;
    TimePoint answer_by;
  };

  std::map<common::BackendId, Deferred> deferred_;
  TimePoint next_pass_;           ///< collect() does nothing before
  bool pass_is_skipped_ = false;  ///< collect() was called before that
};

}  // namespace planktray::controller
