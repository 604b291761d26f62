#pragma once
/// The leader's side of lease sessions (after Gray and Cheriton, 1989, with an expiry on the
/// holder's clock).
///
/// Invariants:
///  - A renewal expires at (clock in an acknowledgement) + ttl on the holder's clock, so a renewal
///    that is delivered late never extends a lease.
///  - `owner_until` of a session is never before the true end of the lease: receipt of the
///    acknowledgement that the renewal is based on + ttl + margin on the leader's clock, or
///    election + ttl + margin for leases of earlier leaders.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "membership/machine_list.hpp"
#include "ownership/cell_state.hpp"
#include "ownership/lease_messages.hpp"

namespace planktray::ownership {

using common::Duration;
using common::TimePoint;

struct LeaseOptions {
  Duration renewal_interval = std::chrono::milliseconds(80);
  Duration time_to_live = std::chrono::milliseconds(500);
  /// Covers the clock drift between leader and holder over one ttl.
  Duration margin = std::chrono::milliseconds(20);
  /// Interval of first requests to machines without a session.
  Duration contact_interval = std::chrono::milliseconds(250);
  /// How long a holder may wait for running requests before it replies to a release.
  Duration release_wait = std::chrono::milliseconds(2000);
  /// A release without a reply is repeated after this time plus release_wait.
  Duration release_retry = std::chrono::milliseconds(100);
  /// A back end is lost only after this many consecutive renewals without a reply, so that a stall
  /// of the leader itself moves no shards.
  int minimum_unanswered = 3;
  /// Safeguard: a new leader waits until leases of earlier leaders have expired. Off only in
  /// mutants.
  bool wait_after_election = true;
};

/// A lease request to be sent to a machine.
struct OutgoingLease {
  common::MachineName machine;
  std::string address;
  BackendId backend;  ///< 0: the machine has no session yet
  LeaseRequest request;
};

/// A release request to be sent to a back end.
struct OutgoingRelease {
  std::string address;
  BackendId backend;
  ReleaseRequest request;
};

/// An incarnation that replied from a machine and is not registered.
struct NewIncarnation {
  common::MachineName machine;
  common::Incarnation incarnation;
};

/// Keeps the lease sessions of all back ends that hold leases.
class LeaseManager {
 public:
  LeaseManager(common::CellName cell, LeaseOptions options);

  /// Starts new sessions as the leader of `term`.
  void begin_term(TimePoint now, common::Term term, const CellState& state);
  void end_term() { active_ = false; }

  /// Appends the messages that are due. Call only while the leader lease is valid.
  void collect(TimePoint now, const CellState& state, const membership::MachineList& machines,
               std::vector<OutgoingLease>& leases, std::vector<OutgoingRelease>& releases);
  /// Makes the renewal of a back end due immediately, because its grants have changed.
  void renew_now(BackendId backend);

  void on_lease_reply(TimePoint now, const common::MachineName& machine, BackendId backend,
                      const LeaseReply& reply);
  void on_release_reply(BackendId backend, const ReleaseReply& reply);
  void on_release_failure(BackendId backend);

  /// Returns back ends that do not reply and whose lease has certainly expired.
  std::vector<BackendId> lost(TimePoint now) const;
  /// Ends the sessions of back ends whose loss has been proposed to the log. A later renewal would
  /// outlive the assignment of their shards to other owners.
  void end_sessions(const std::vector<BackendId>& backends);
  /// Returns the shards that their owners have released; they may be reassigned.
  const std::set<HeldShard>& released() const { return released_; }
  void forget_released(const HeldShard& shard) { released_.erase(shard); }
  /// Returns and clears the incarnations to be registered.
  std::vector<NewIncarnation> take_new_incarnations();
  /// Returns the state that the back end last reported; kCold before its first reply.
  BackendState backend_state(BackendId backend) const;
  /// Returns when the last acknowledgement with a newer clock reading arrived, if there is one.
  std::optional<TimePoint> last_answer(BackendId backend) const;
  std::size_t sessions() const { return sessions_.size(); }

 private:
  struct Session {
    TimePoint next_renewal;
    TimePoint owner_until;
    std::optional<TimePoint> acknowledged_at;
    std::int64_t acknowledged_clock_us = 0;
    std::string held_digest;
    GrantSet grants;
    bool replaced = false;       ///< another incarnation has replied at the address
    bool loss_proposed = false;  ///< never renewed again in this term
    int unanswered = 0;          ///< renewals sent since the last reply
    BackendState state = BackendState::kCold;
    std::optional<TimePoint> release_due;
  };

  /// Returns how long a lease granted by an earlier leader may still be valid.
  Duration max_remaining_lease() const;
  void sync_sessions(TimePoint now, const CellState& state);
  void contact_new_machines(TimePoint now, const CellState& state,
                            const membership::MachineList& machines,
                            std::vector<OutgoingLease>& leases);
  LeaseRequest make_renewal(const BackendRecord& backend, Session& session, const CellState& state);
  void collect_releases(TimePoint now, const CellState& state,
                        std::vector<OutgoingRelease>& releases);

  common::CellName cell_;
  LeaseOptions options_;
  LogIndex synced_;  ///< applied index of the state that the sessions are based on
  bool active_ = false;
  common::Term term_;
  TimePoint earliest_loss_;
  std::map<BackendId, Session> sessions_;
  TimePoint next_contact_;
  std::set<HeldShard> released_;
  std::vector<NewIncarnation> new_incarnations_;
};

}  // namespace planktray::ownership
