#pragma once
/// Heartbeats of holders that this replica has received and the leader has to decide on.
///
/// A holder's connection ends here, so that accepting, reading and answering it costs the leader
/// nothing, and so that a change of leader breaks no connection: a heartbeat that waits is sent to
/// the next leader. At most one heartbeat of a holder waits, the newest.

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/time.hpp"
#include "controller/core/heartbeat.hpp"

namespace planktray::controller {

using common::Duration;
using common::TimePoint;

class HeartbeatRelay {
 public:
  struct Waiting {
    OperatorRequestId request = 0;
    Heartbeat heartbeat;
    TimePoint received;
    TimePoint deadline;
  };

  /// Keeps a heartbeat until it is answered or `deadline` has passed. It is sent at `send_by` at
  /// the latest, together with others.
  /// @return the request of an older heartbeat of the holder, which is no longer answered; or
  ///   `request` itself, if a newer heartbeat waits.
  std::optional<OperatorRequestId> add(TimePoint now, OperatorRequestId request,
                                       Heartbeat heartbeat, TimePoint send_by, TimePoint deadline);
  /// Returns the heartbeats to send now: none until the first of them is due.
  std::vector<Heartbeat> take_unsent(TimePoint now);
  /// All heartbeats that wait are due again, as there is another leader.
  void resend(TimePoint now);
  /// Ends the wait of the heartbeat that is answered. @return nullopt if it does not wait.
  std::optional<OperatorRequestId> take_answered(const common::Incarnation& incarnation,
                                                 std::uint64_t sequence);
  /// Ends the wait of heartbeats that the leader has not answered in time.
  std::vector<OperatorRequestId> take_expired(TimePoint now);
  /// Ends the wait of all heartbeats, as this replica decides on them itself.
  std::vector<Waiting> take_all(TimePoint now);
  bool empty() const { return waiting_.empty(); }
  /// When there is something to send or to expire; TimePoint::max() if nothing waits.
  TimePoint next_due() const;

 private:
  std::unordered_map<common::Incarnation, Waiting> waiting_;
  std::vector<common::Incarnation> unsent_;
  TimePoint send_at_ = TimePoint::max();
  /// Not later than the first deadline.
  TimePoint next_deadline_ = TimePoint::max();
};

}  // namespace planktray::controller
