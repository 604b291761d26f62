#pragma once
/// Delivery of the routing table from the leader to routers.
///
/// Invariants:
///  - At most one update is under way to a router; a slow reader costs no memory.
///  - A router that has not confirmed for `table_lease` has stopped serving by its own clock, so a
///    change is in force once every router heard since then has acknowledged it.

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "controller/core/fleet_limits.hpp"
#include "ownership/cell_state.hpp"
#include "routing/table_messages.hpp"

namespace planktray::controller {

using common::Duration;

struct DistributorOptions {
  /// How long a router may serve after its last confirmation. The same value is in every router.
  common::Duration table_lease = std::chrono::milliseconds(3000);
  /// Covers clock rate drift over one table lease.
  common::Duration margin = std::chrono::milliseconds(150);
  /// Updates arrive in order, so the next one leads on from the last sent. A router that has seen
  /// one which does not lead on from its table says so, and gets what it lacks, not more often than
  /// this.
  common::Duration resend = std::chrono::milliseconds(250);
  /// One whose hello still has an older table this long after the last update gets it again, too.
  /// Updates of a busy leader take long, and the same again makes them longer: with 250 ms, 1.8 MB
  /// went to 183 hellos in a second that had no other news.
  common::Duration confirmation_timeout = std::chrono::milliseconds(600);
  /// A snapshot may take this long before it counts as lost: many routers may want one at once.
  common::Duration resend_snapshot = std::chrono::milliseconds(5000);
  /// Snapshots under way at once; the other routers wait without a table.
  std::size_t concurrent_snapshots = 32;
  std::size_t retained_deltas = 4096;
  /// Hellos that all routers together send in a second, where that keeps them within
  /// `longest_hello_interval`.
  double hellos_per_second = 125;
  /// Routers say hello at least this often, however many they are: it bounds for how long one that
  /// was not told of a new leader, or lost an update, keeps an old table.
  common::Duration longest_hello_interval = std::chrono::milliseconds(1250);
  /// Updates with news that all routers together get in a second at most, beside answers to hellos:
  /// changes that follow each other closely go out together.
  double updates_per_second = 1500;
  /// Updates that one sweep makes at most; the next goes on from there. All of 281 routers at once
  /// took 30 to 90 ms of a leader's loop in one piece.
  std::size_t updates_per_sweep = 64;
  /// More deltas than this are replaced by a snapshot.
  std::size_t maximum_deltas = 512;
};

/// Time between two messages of one router where all together send or get `per_second`.
common::Duration paced_interval(std::size_t routers, double per_second);

struct OutgoingTable {
  common::RouterName router;
  routing::TableUpdate update;
};

/// What operators see of a router.
struct RouterView {
  common::RouterName name;
  std::string address;
  common::LogIndex table_index;
  bool serving = false;
  common::TimePoint last_hello;
};

class TableDistributor {
 public:
  TableDistributor(common::CellName cell, DistributorOptions options)
      : cell_(std::move(cell)), options_(options) {}

  void begin_term(common::TimePoint now, common::Term term);
  /// Takes a change of the table; called on every replica.
  void on_delta(routing::TableDelta delta);
  /// The state was replaced as a whole.
  void on_restore() {
    deltas_.clear();
    made_.clear();
    snapshot_index_ = common::LogIndex();
  }
  void on_hello(common::TimePoint now, const routing::RouterHello& hello);
  /// What every update says of limits that back ends name, from now on.
  void set_limits(FleetLimits::Told limits) { limits_ = std::move(limits); }
  /// The same for owners whose queues are too long; in this term it is known from now on.
  void set_crowded(std::vector<routing::AdmittedShare> crowded) { crowded_ = std::move(crowded); }
  /// What every update says of requests that crash their targets, from now on.
  void set_suspects(std::vector<routing::SuspectRequest> suspects) {
    suspects_ = std::move(suspects);
  }

  /// Makes the updates that are due. Call only while the leader lease holds.
  std::vector<OutgoingTable> collect(common::TimePoint now, const ownership::CellState& state);
  /// Makes the answer to one router's hello, with what it lacks.
  std::optional<OutgoingTable> answer(common::TimePoint now, const ownership::CellState& state,
                                      const common::RouterName& router);

  /// Makes a follower's answer to a hello, for routers that do not hear the leader in time. Keeps
  /// nothing of the router.
  /// @param current_as_of whatever was acknowledged before this moment is in `state`.
  /// @return nothing where the router lacks more than deltas can bring: snapshots come from the
  ///   leader, which bounds how many are under way.
  std::optional<OutgoingTable> answer_as_follower(common::TimePoint now,
                                                  common::TimePoint current_as_of,
                                                  const ownership::CellState& state,
                                                  common::Term term,
                                                  const routing::RouterHello& hello);

  /// When collect() has something to send that it has put off; max where there is nothing.
  common::TimePoint next_due() const { return next_due_; }

  /// The index that every router that may be serving has acknowledged; nothing while a new leader
  /// cannot know.
  std::optional<common::LogIndex> in_force(common::TimePoint now,
                                           const ownership::CellState& state) const;
  /// The router that has been without something it was sent for the longest.
  struct SlowestRouter {
    common::RouterName router;
    Duration age{0};  ///< since the first update that it has not confirmed
  };
  /// @return nothing where every router has confirmed all that it was sent.
  std::optional<SlowestRouter> slowest_router(common::TimePoint now) const;
  /// Routers heard within the table lease.
  std::vector<RouterView> routers(common::TimePoint now) const;

 private:
  struct Subscriber {
    RouterView view;
    std::int64_t clock_us = 0;
    bool hello_pending = false;  ///< a hello waits for its answer
    std::optional<common::TimePoint> sent_at;
    std::optional<common::TimePoint> rewound_at;  ///< when it last said that it lacks an update
    common::LogIndex sent;                        ///< what was sent leads to this index
    common::LogIndex unconfirmed;  ///< the first index it was sent that it has not confirmed
    std::optional<common::TimePoint> behind_since;  ///< when that was sent
    common::TimePoint next_news;                    ///< not before this, unless a hello is answered
    bool snapshot_under_way = false;
  };

  std::optional<OutgoingTable> make_update(common::TimePoint now, const ownership::CellState& state,
                                           const common::RouterName& name, Subscriber& subscriber,
                                           std::uint32_t rank);
  /// The moment `current_as_of` of this process in the router's clock; clock rates that differ by
  /// 2% shift it by 2% of the time since the router's last hello, 25 ms at 1.25 s.
  static std::int64_t as_of_clock_us(const Subscriber& subscriber, common::TimePoint current_as_of);
  /// True where deltas lead from `have` to the present table.
  bool deltas_reach(common::LogIndex have, const ownership::CellState& state) const;
  std::deque<routing::TableDelta>::const_iterator first_after(common::LogIndex have) const;
  /// True while a snapshot may still be under way to the router.
  bool is_waiting(common::TimePoint now, const Subscriber& subscriber) const;
  common::Duration hello_interval() const;
  std::size_t snapshots_under_way(common::TimePoint now) const;
  bool may_serve(common::TimePoint now, const Subscriber& subscriber) const;

  common::CellName cell_;
  DistributorOptions options_;
  FleetLimits::Told limits_;
  std::vector<routing::SuspectRequest> suspects_;
  std::optional<std::vector<routing::AdmittedShare>> crowded_;
  common::Term term_;
  common::TimePoint term_began_;
  std::map<common::RouterName, Subscriber> subscribers_;
  std::deque<routing::TableDelta> deltas_;
  common::TimePoint next_due_ = common::TimePoint::max();
  common::RouterName resume_at_;  ///< where the next sweep begins
  /// Of the present sweep over all routers; a count for each of them would go through all of them.
  std::optional<std::size_t> snapshots_counted_;
  using Deltas = routing::SharedList<routing::TableDelta>;
  /// The changes that lead from `have` to the present table.
  const Deltas& deltas_after(common::LogIndex have);

  /// The last snapshot made, for as long as nothing changes.
  common::LogIndex snapshot_index_;
  Deltas snapshot_;
  /// What has been made up for updates since the last change, by where it leads on from.
  std::map<common::LogIndex, Deltas> made_;
};

}  // namespace planktray::controller
