#pragma once
/// Distribution of the routing table from the leader to routers.
///
/// Invariants:
///  - At most one snapshot is in flight to a router.
///  - A router that has confirmed nothing for `table_lease` has stopped serving by its own clock. A
///    change is therefore in force once every router with a hello since then has acknowledged it.

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "controller/core/fleet_limits.hpp"
#include "controller/core/relay_directory.hpp"
#include "ownership/cell_state.hpp"
#include "routing/table_messages.hpp"

namespace planktray::controller {

using common::Duration;

struct DistributorOptions {
  /// How long a router may serve after its last confirmation. Routers are configured with the same
  /// value.
  common::Duration table_lease = std::chrono::milliseconds(3000);
  /// Covers clock rate drift over one table lease.
  common::Duration margin = std::chrono::milliseconds(150);
  /// Updates arrive in order, so each is based on the last one sent. A router that receives one
  /// which does not continue its table reports the gap and gets the missing updates, at most this
  /// often.
  common::Duration resend_interval = std::chrono::milliseconds(250);
  /// A router whose hello still has an older table this long after the last update gets the missing
  /// updates again, too. Updates of a busy leader are slow, and resending slows them further: with
  /// 250 ms, 183 hellos within one second drew 1.8 MB of updates that carried nothing new.
  common::Duration confirmation_timeout = std::chrono::milliseconds(600);
  /// A snapshot counts as lost after this time: many routers may need one at once.
  common::Duration snapshot_timeout = std::chrono::milliseconds(5000);
  /// Maximum number of snapshots in flight; the other routers wait without a table.
  std::size_t concurrent_snapshots = 32;
  std::size_t retained_deltas = 4096;
  /// Target rate of hellos of all routers together, as far as `longest_hello_interval` allows.
  double hellos_per_second = 125;
  /// Routers send hellos at least this often, however many there are: this bounds for how long a
  /// router keeps an old table after it missed an update or the announcement of a new leader.
  common::Duration longest_hello_interval = std::chrono::milliseconds(1250);
  /// Maximum rate of updates to all routers together, answers to hellos not counted: changes in
  /// quick succession are sent together.
  double updates_per_second = 1500;
  /// Maximum number of updates made in one sweep; the next sweep continues from there. Updates for
  /// all of 281 routers in one sweep blocked a leader's event loop for 30 to 90 ms.
  std::size_t updates_per_sweep = 64;
  /// A router that lacks more deltas than this gets a snapshot instead, unless the snapshot would
  /// be larger still.
  std::size_t maximum_deltas = 512;
  /// A snapshot is sent again, followed by the deltas since then, until there is a delta for each
  /// of this many of its back ends. A new snapshot takes time proportional to the back ends, so the
  /// work for each delta stays the same in a fleet of any size.
  std::size_t backends_per_snapshot_delta = 64;
  /// If the rate of updates lets a router have one less often than this, the leader sends routers
  /// only answers to their hellos, and routers poll followers for changes. It pushes updates again
  /// once the rate allows for twice as many, so that the way of updates does not change often.
  common::Duration longest_update_interval = std::chrono::milliseconds(250);
  /// How often such routers poll a follower.
  common::Duration poll_interval = std::chrono::milliseconds(500);
  /// Routers get snapshots of tables with this many back ends or more on request, from any
  /// controller, so that the leader does not send them all after many routers have started.
  std::size_t requested_snapshot_backends = 2000;
};

/// Time between two messages of one router where all routers together send or get `per_second`.
common::Duration paced_interval(std::size_t routers, double per_second);

struct OutgoingTable {
  common::RouterName router;
  routing::TableUpdate update;
};

/// The state of a router as shown to operators.
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
      : cell_(std::move(cell)), options_(options), update_rate_(options.updates_per_second) {}

  void begin_term(common::TimePoint now, common::Term term);
  /// Records a change of the table; called on every replica.
  void on_delta(routing::TableDelta delta);
  /// Discards all deltas, after the state was replaced by a snapshot.
  void on_restore() {
    deltas_.clear();
    delta_lists_.clear();
    snapshot_index_ = common::LogIndex();
  }
  /// @param applied what the leader has applied.
  void on_hello(common::TimePoint now, const routing::RouterHello& hello, common::LogIndex applied);
  /// Sets the rate of updates to all routers together; at most `updates_per_second` of the options.
  void set_update_rate(double per_second) { update_rate_ = per_second; }
  /// Sets the limits of back ends that all further updates carry.
  void set_limits(FleetLimits::Published limits) { limits_ = std::move(limits); }
  /// Sets the crowded owners that all further updates carry; until the first call in a term, queues
  /// count as unknown.
  void set_crowded(std::vector<routing::AdmittedShare> crowded) { crowded_ = std::move(crowded); }
  /// Sets the requests that crash their targets, for all further updates.
  void set_suspects(std::vector<routing::SuspectRequest> suspects) {
    suspects_ = std::move(suspects);
  }

  /// Makes the updates that are due. Call only while the leader lease is held.
  std::vector<OutgoingTable> collect(common::TimePoint now, const ownership::CellState& state);
  /// Makes the answer to one router's hello, with the deltas or the snapshot that it lacks.
  std::optional<OutgoingTable> answer(common::TimePoint now, const ownership::CellState& state,
                                      const common::RouterName& router);

  /// Makes a follower's answer to a hello, for routers that the leader does not answer in time.
  /// Keeps no state of the router, but for snapshots in flight.
  /// @param current_as_of every change acknowledged before this moment is in `state`.
  /// @return nullopt if the router needs a snapshot and has not requested it from this follower, or
  ///   too many are in flight.
  std::optional<OutgoingTable> answer_as_follower(common::TimePoint now,
                                                  common::TimePoint current_as_of,
                                                  const ownership::CellState& state,
                                                  common::Term term,
                                                  const routing::RouterHello& hello);

  /// True if the router needs a snapshot so large that it gets one on request only: any controller
  /// may send it.
  bool offers_snapshot(const ownership::CellState& state, const routing::RouterHello& hello) const;

  /// When collect() next has a postponed update to send; TimePoint::max() if there is none.
  common::TimePoint next_due() const { return next_due_; }

  /// The index that every router that may be serving has acknowledged; nullopt while a new leader
  /// may not have received hellos from all of them yet.
  std::optional<common::LogIndex> in_force(common::TimePoint now,
                                           const ownership::CellState& state) const;
  /// The router whose oldest unconfirmed update was sent first.
  struct SlowestRouter {
    common::RouterName router;
    Duration age{0};  ///< since the first update that it has not confirmed
  };
  /// @return nullopt if every router has confirmed all updates sent to it.
  std::optional<SlowestRouter> slowest_router(common::TimePoint now) const;
  /// Routers with a hello within the table lease and its margin.
  std::vector<RouterView> routers(common::TimePoint now) const;

 private:
  struct Subscriber {
    RouterView view;
    std::int64_t clock_us = 0;
    std::uint64_t clock_id = 0;
    bool hello_pending = false;  ///< a hello has not been answered yet
    std::optional<common::TimePoint> sent_at;
    std::optional<common::TimePoint> rewound_at;    ///< when `sent` was last reset for a resend
    common::LogIndex sent;                          ///< the index that the last update leads to
    common::LogIndex unconfirmed;                   ///< the first sent, but unconfirmed index
    std::optional<common::TimePoint> behind_since;  ///< when `unconfirmed` was sent
    common::TimePoint next_update;  ///< no update before this, except as an answer to a hello
    bool snapshot_in_flight = false;
    bool reads_compressed = false;
    bool polls = false;                   ///< it gets changes from followers
    common::LogIndex applied_at_hello;    ///< state of the leader when its last hello arrived
    common::LogIndex applied_at_earlier;  ///< the same for the hello before
    bool awaits_offer = false;  ///< it needs a snapshot and requests it once it is offered
  };

  std::optional<OutgoingTable> make_update(common::TimePoint now, const ownership::CellState& state,
                                           const common::RouterName& name, Subscriber& subscriber,
                                           std::uint32_t rank);
  /// Converts the moment `current_as_of` of this process to the router's clock. The result is up to
  /// 4% of the time since the router's last hello earlier, as clock rates differ.
  static std::int64_t as_of_clock_us(const Subscriber& subscriber, common::TimePoint current_as_of);
  /// True if the retained deltas lead from `have` to the current table.
  bool deltas_reach(common::LogIndex have, const ownership::CellState& state) const;
  std::deque<routing::TableDelta>::const_iterator first_after(common::LogIndex have) const;
  /// True if the router, which needs a snapshot, may be sent one now.
  bool may_send_snapshot(common::TimePoint now, const ownership::CellState& state,
                         const Subscriber& subscriber) const;
  /// True while a snapshot may still be in flight to the router.
  bool awaits_snapshot(common::TimePoint now, const Subscriber& subscriber) const;
  common::Duration hello_interval() const;
  std::size_t snapshots_in_flight(common::TimePoint now) const;
  bool may_serve(common::TimePoint now, const Subscriber& subscriber) const;

  common::CellName cell_;
  DistributorOptions options_;
  double update_rate_;
  bool routers_poll_ = false;
  FleetLimits::Published limits_;
  std::vector<routing::SuspectRequest> suspects_;
  std::optional<std::vector<routing::AdmittedShare>> crowded_;
  RelayDirectory relays_;
  common::Term term_;
  common::TimePoint term_began_;
  std::map<common::RouterName, Subscriber> subscribers_;
  std::deque<routing::TableDelta> deltas_;
  common::TimePoint next_due_ = common::TimePoint::max();
  common::RouterName resume_at_;  ///< where the next sweep begins
  /// Snapshots in flight during the present sweep: counting them for each router would take
  /// quadratic time.
  std::optional<std::size_t> snapshots_counted_;
  using Deltas = routing::SharedList<routing::TableDelta>;
  /// The deltas that lead from `have` to the current table.
  const Deltas& deltas_after(common::LogIndex have);

  /// Makes the last snapshot anew if too many changes have followed it.
  void renew_snapshot(const ownership::CellState& state);
  /// Returns a follower's snapshot for the router, nullptr if too many are in flight.
  const Deltas* snapshot_as_follower(common::TimePoint now, const ownership::CellState& state,
                                     const common::RouterName& router);
  bool needs_snapshot(const ownership::CellState& state, const routing::RouterHello& hello) const;
  /// True if routers get snapshots on request only.
  bool is_requested(const ownership::CellState& state) const;
  /// Updates whether there are too many routers to send each of them every change in time.
  void update_polling();
  /// True if the router lacks changes, but gets them from followers fast enough.
  bool gets_changes_by_polls(const Subscriber& subscriber) const;

  /// The last snapshot made.
  common::LogIndex snapshot_index_;
  Deltas snapshot_;
  /// When this follower sent snapshots that are still in flight.
  std::map<common::RouterName, common::TimePoint> follower_snapshots_;
  /// Delta lists made since the last change, by the index that they start from.
  std::map<common::LogIndex, Deltas> delta_lists_;
};

}  // namespace planktray::controller
