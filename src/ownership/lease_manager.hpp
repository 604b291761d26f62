#pragma once
/// The leader's side of lease sessions (after Gray and Cheriton, 1989, with the expiry fixed in the
/// holder's clock).
///
/// Invariants:
///  - A renewal expires at (clock in an acknowledgement) + ttl, read on the holder's clock, so a
///    renewal that is delivered late never stretches a lease.
///  - `owner_until` of a session is never before the true end of the lease: receipt of the
///    acknowledgement used + ttl + margin on this clock, or election + ttl + margin for whatever an
///    earlier leader may have granted.

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
  /// Covers clock rate drift between leader and holder over one ttl.
  Duration margin = std::chrono::milliseconds(20);
  /// A machine without a session is asked for one this often.
  Duration contact_interval = std::chrono::milliseconds(250);
  /// How long a holder may wait for running work before it answers a release.
  Duration release_wait = std::chrono::milliseconds(2000);
  /// A release without an answer is repeated after this time on top of release_wait.
  Duration release_retry = std::chrono::milliseconds(100);
  /// A back end is lost only after this many renewals without an answer, so that a stall of the
  /// leader itself moves no shard.
  int minimum_unanswered = 3;
  /// Safeguard: a new leader waits out what earlier leaders may have granted. Off only in mutants.
  bool wait_after_election = true;
};

/// A lease request on its way to one machine.
struct OutgoingLease {
  common::MachineName machine;
  std::string address;
  BackendId backend;  ///< 0: first contact
  LeaseRequest request;
};

struct OutgoingRelease {
  std::string address;
  BackendId backend;
  ReleaseRequest request;
};

/// A machine answered as an incarnation that is not registered.
struct NewIncarnation {
  common::MachineName machine;
  common::Incarnation incarnation;
};

class LeaseManager {
 public:
  LeaseManager(common::CellName cell, LeaseOptions options);

  /// Starts over as the leader of `term`.
  void begin_term(TimePoint now, common::Term term, const CellState& state);
  void end_term() { active_ = false; }

  /// Makes the messages that are due. Call only while the leader lease holds.
  void collect(TimePoint now, const CellState& state, const membership::MachineList& machines,
               std::vector<OutgoingLease>& leases, std::vector<OutgoingRelease>& releases);
  /// Renews a back end at once, because what it holds has changed.
  void renew_now(BackendId backend);

  void on_lease_reply(TimePoint now, const common::MachineName& machine, BackendId backend,
                      const LeaseReply& reply);
  void on_release_reply(BackendId backend, const ReleaseReply& reply);
  void on_release_failure(BackendId backend);

  /// Back ends whose lease has ended for certain and that do not answer.
  std::vector<BackendId> lost(TimePoint now) const;
  /// The loss of these back ends is on its way into the log: their sessions end here and now. A
  /// renewal after this point would outlive the assignment that takes their shards away.
  void end_sessions(const std::vector<BackendId>& backends);
  /// Shards that their owner has released; they may be assigned anew.
  const std::set<HeldShard>& released() const { return released_; }
  void forget_released(const HeldShard& shard) { released_.erase(shard); }
  /// Incarnations that wait for registration; cleared by the call.
  std::vector<NewIncarnation> take_new_incarnations();
  /// What the back end last said of itself; kCold before its first answer.
  BackendState backend_state(BackendId backend) const;
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
    bool gone = false;      ///< the incarnation answered no more at its address
    bool given_up = false;  ///< its loss has been proposed; never renewed again in this term
    int unanswered = 0;     ///< renewals sent since the last answer
    BackendState state = BackendState::kCold;
    std::optional<TimePoint> release_due;
  };

  /// How long a grant by another leader may still hold.
  Duration longest_grant() const;
  void sync_sessions(TimePoint now, const CellState& state);
  void contact_new_machines(TimePoint now, const CellState& state,
                            const membership::MachineList& machines,
                            std::vector<OutgoingLease>& leases);
  LeaseRequest make_renewal(const BackendRecord& backend, Session& session, const CellState& state);
  void collect_releases(TimePoint now, const CellState& state,
                        std::vector<OutgoingRelease>& releases);

  common::CellName cell_;
  LeaseOptions options_;
  LogIndex synced_;  ///< state that the sessions were made for
  bool active_ = false;
  common::Term term_;
  TimePoint earliest_loss_;
  std::map<BackendId, Session> sessions_;
  TimePoint next_contact_;
  std::set<HeldShard> released_;
  std::vector<NewIncarnation> new_incarnations_;
};

}  // namespace planktray::ownership
