#pragma once
/// Heartbeats of back ends that hear in the answer what they are to hold, until they are answered.
///
/// An answer is the only way to tell such a back end anything, and its next heartbeat may be most
/// of an interval away. So the leader keeps a heartbeat for a while, unless it has news already: a
/// move then reaches the owner before and the owner after at once. The hold runs from the sending
/// of the heartbeat, so that waiting never stretches it.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "ownership/grant_manager.hpp"

namespace planktray::controller {

using common::Duration;
using common::TimePoint;

/// Identity of an operator's or back end's request inside this process.
using OperatorRequestId = std::uint64_t;

struct HolderAnswer {
  OperatorRequestId request = 0;
  ownership::GrantedHoldings holdings;
};

class HolderAnswers {
 public:
  /// Keeps a heartbeat that arrived at `received`, until `answer_by` at the latest.
  /// @return the older request, where another heartbeat is kept: its sender has given that one up.
  std::optional<OperatorRequestId> defer(common::BackendId backend, OperatorRequestId request,
                                         TimePoint received, TimePoint answer_by);
  /// The answers that are due. Call only while the leader lease holds.
  std::vector<HolderAnswer> collect(TimePoint now, const ownership::CellState& state,
                                    ownership::GrantManager& grants);
  /// Gives up all that is kept: this replica leads no more.
  std::vector<OperatorRequestId> cancel_all();
  /// True where the back end waits for an answer, so that it can be told something at once.
  bool is_deferred(common::BackendId backend) const { return deferred_.contains(backend); }
  /// When the first kept heartbeat has to be answered.
  TimePoint next_due() const;

 private:
  struct Deferred {
    OperatorRequestId request = 0;
    TimePoint received;
    TimePoint answer_by;
  };

  std::map<common::BackendId, Deferred> deferred_;
};

}  // namespace planktray::controller
