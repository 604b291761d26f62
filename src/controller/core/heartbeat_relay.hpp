#pragma once
/// A follower's work for back ends that register themselves: it answers heartbeats that say nothing
/// new, passes the others on to the leader in batches, and answers those once the replicated state
/// has what they say. So a back end's calls end at any controller, and the leader gets a few
/// messages for all of them.
///
/// Invariant: a heartbeat that says something new is answered only after that has been committed:
/// the follower applies nothing else.

#include <optional>
#include <vector>

#include "common/time.hpp"
#include "controller/core/operator_request.hpp"
#include "membership/heartbeat_report.hpp"
#include "ownership/cell_state.hpp"

namespace planktray::controller {

struct HeartbeatRelayOptions {
  /// Heartbeats that said nothing new are reported this often: the leader gives up on a back end
  /// after seconds.
  common::Duration report_interval = std::chrono::milliseconds(250);
  /// News wait this long for others at most: back ends wait for their acknowledgement.
  common::Duration news_interval = std::chrono::milliseconds(20);
  /// A back end gives up its call after a second: it is told to ask elsewhere before that.
  common::Duration patience = std::chrono::milliseconds(800);
};

class HeartbeatRelay {
 public:
  explicit HeartbeatRelay(HeartbeatRelayOptions options) : options_(options) {}

  /// A heartbeat whose content the state has already.
  void note_heard(const membership::HeardBackend& heard) { heard_.push_back(heard); }
  /// Passes news on, and keeps the request until the state has them.
  void forward(common::TimePoint now, OperatorRequestId request,
               membership::ForwardedHeartbeat heartbeat);

  /// Requests that have ended since the last call.
  struct Ended {
    std::vector<OperatorRequestId> committed;
    std::vector<OperatorRequestId> given_up;
  };
  Ended collect(common::TimePoint now, const ownership::CellState& state);
  /// What the leader is to be told now.
  std::optional<membership::HeartbeatReport> take_report(common::TimePoint now,
                                                         const common::CellName& cell);
  /// When collect() or take_report() has something to do, if the state does not change before; max
  /// where nothing waits.
  common::TimePoint next_due() const;

 private:
  struct Waiting {
    OperatorRequestId request = 0;
    membership::ForwardedHeartbeat heartbeat;
    common::TimePoint until;
  };

  HeartbeatRelayOptions options_;
  std::vector<membership::HeardBackend> heard_;
  std::vector<membership::ForwardedHeartbeat> news_;
  std::vector<Waiting> waiting_;
  common::LogIndex looked_at_;  ///< state that collect() has compared with
  common::TimePoint next_report_;
  common::TimePoint next_news_;
};

}  // namespace planktray::controller
