#pragma once
/// The leader's side of fenced grants: keys are granted to a back end for a time that runs from the
/// arrival of the order, and are given to another one only when the first cannot use them.
///
/// Safety argument (docs/PROOF.md). Keys pass from X to Y only after one of:
///  - X answered a release under a fence above its grant's: it runs nothing on them, and refuses
///    every older order that is still under way;
///  - X's process has ended for certain: another incarnation answers at its address;
///  - every order that X may have taken has run out, on a clock that is slow by `clock_error`: an
///    answered one counts from its answer, one without an answer from the latest moment at which it
///    may still be taken.
/// A round of renewals goes on a connection that was opened for it, a release on one of its own, so
/// that an order to a machine that is gone or cut off is known not to have been sent: the
/// connection never comes up. A new leader does not know the orders of the one before: it takes all
/// that may have been sent until its election as answered then; and one more as without an answer
/// at each back end that the state marks as in doubt, or that has not answered the new leader yet.
/// (The mark may come too late: the one before may have ended between an order and the commit of
/// its mark.)
///
/// Back ends of another kind hear what they hold in the answers to their heartbeats, which state
/// all of it, for a time that runs from the sending of the heartbeat. Keys pass on from them after
///  - a heartbeat that no longer lists them, where the leader has given all answers that it could
///    have come after (grant_manager_reports.cpp); or
///  - the end of their process, as above; or
///  - the end of the longest hold that was told, counted from the arrival of its heartbeat.

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.hpp"
#include "ownership/cell_state.hpp"
#include "ownership/holdings_report.hpp"
#include "ownership/owner_reach.hpp"

namespace planktray::ownership {

using common::Duration;
using common::TimePoint;

struct GrantOptions {
  /// How long a grant holds from its arrival, where back ends are few.
  Duration hold_time = std::chrono::milliseconds(2500);
  /// Beyond a certain number of owners, grants hold longer by this much for each, so that the
  /// renewals a second stay bounded; never longer than `longest_hold_time`.
  Duration hold_per_owner = std::chrono::milliseconds(64);
  Duration longest_hold_time = std::chrono::milliseconds(9000);
  /// A grant is renewed so many times within its hold, or fewer where owners are so many that all
  /// together would make more than `renewals_per_second`.
  std::int64_t renewals_per_hold = 4;
  /// Never fewer: one renewal may be lost, and there is time to repeat it.
  std::int64_t least_renewals_per_hold = 2;
  /// Each is a connection of its own, about 0.3 ms of a leader's processor time.
  double renewals_per_second = 200;
  /// Grants under way at once: a new leader has as many to send as there are ranges, and must not
  /// let them wait for each other until they time out.
  std::size_t grants_under_way = 24;
  /// How owners out of reach are tried. Its places for tries are among `grants_under_way`.
  ReachOptions reach;
  /// Orders are made at most this often for each range that is held: every look goes through all.
  /// 20 ms with 500 ranges; with half of it, looks were 7% of a leader's decisions.
  Duration rest_per_holding = std::chrono::microseconds(40);
  /// Never longer: a new leader tells all owners a few grants at a time, one look after the other.
  Duration longest_rest = std::chrono::milliseconds(25);
  /// An order without an answer is repeated after this time.
  Duration retry_interval = std::chrono::milliseconds(200);
  /// A holder's clock may run slow by this fraction.
  double clock_error = 0.02;
  /// Added to every wait, for what the fraction does not cover.
  Duration margin = std::chrono::milliseconds(30);
  /// An order without an answer may be taken this much after it was given up.
  Duration late_delivery = std::chrono::milliseconds(12'500);
  /// A holder that cannot be renewed loses its requests this long before its grant ends.
  Duration withdraw_before_end = std::chrono::milliseconds(100);
  /// Routers get this long to stop sending before a release goes out.
  Duration release_delay = std::chrono::milliseconds(15);
  /// A release without an answer is sent again beside the first after this time; the next times
  /// after twice as much each, since releases of one back end may wait for each other.
  Duration release_interval = std::chrono::milliseconds(400);
  /// An order that is under way for this long counts as in doubt.
  Duration doubt_after = std::chrono::milliseconds(40);
  /// How long an answer to a heartbeat holds, from when the heartbeat was sent: three intervals
  /// between heartbeats of 870 ms. Where the interval is known, it is set from that. All replicas
  /// must use the same value, as a new leader waits for what the one before may have told.
  Duration reported_hold_time = std::chrono::milliseconds(2610);
  /// A back end that does not take keys that so many answers have told it refuses them.
  std::uint32_t answers_in_vain = 3;
  /// Safeguards; off only in mutants.
  bool wait_for_answered = true;       ///< wait until answered orders have run out
  bool wait_for_unanswered = true;     ///< wait until orders without an answer have run out
  bool wait_after_election = true;     ///< count the orders of earlier leaders
  bool release_with_new_fence = true;  ///< a release refuses older orders
  bool wait_for_earlier_answers =
      true;                            ///< heartbeats prove nothing about answers of leaders before
  bool respect_reported_holds = true;  ///< keys that a heartbeat lists are not free
};

using OrderId = std::uint64_t;

/// Effect: grant these keys, or renew the grant.
struct GrantOrder {
  OrderId id = 0;
  BackendId backend;
  std::string address;
  common::Incarnation incarnation;
  KeyRange keys;
  Epoch fence;
  Duration hold_time{0};
  std::string handover;
};

/// Effect: take these keys back; answered when what ran on them has ended.
struct ReleaseOrder {
  OrderId id = 0;
  BackendId backend;
  std::string address;
  common::Incarnation incarnation;
  KeyRange keys;
  Epoch fence;
};

enum class OrderOutcome : std::uint8_t {
  kAccepted,
  kFenced,      ///< it has seen a higher fence
  kReplaced,    ///< another incarnation answers at the address
  kRefused,     ///< any other answer
  kNotSent,     ///< no connection: nothing can have been taken
  kUnanswered,  ///< it may have been taken, or may still be
};

std::string_view to_string(OrderOutcome outcome);

struct OrderReply {
  OrderOutcome outcome = OrderOutcome::kUnanswered;
  std::string handover{};             ///< of an accepted release
  common::Incarnation answered_by{};  ///< where the answer names it
  bool is_leaving = false;            ///< the answer says so of the back end that was asked
};

/// True where the back end hears what it holds in the answers to its heartbeats; no orders go to
/// it.
bool has_heartbeat_grants(const CellState& state, BackendId id);

class GrantManager {
 public:
  explicit GrantManager(GrantOptions options) : options_(options), reach_(options.reach) {}

  /// Starts over as the leader of a term.
  void begin_term(TimePoint now, const CellState& state);
  void end_term() { active_ = false; }

  /// Makes the orders that are due. Call only while the leader lease holds.
  void collect(TimePoint now, const CellState& state, std::vector<GrantOrder>& grants,
               std::vector<ReleaseOrder>& releases);
  /// The back end has been heard of: if it was out of reach, it is tried at once.
  void note_alive(TimePoint now, BackendId backend);
  /// True where some owner is out of reach.
  bool has_unreachable() const { return reach_.has_unreachable(); }
  /// @return the back end the order was for, or nothing where the order is not known any more.
  std::optional<BackendId> on_reply(TimePoint now, OrderId id, const OrderReply& reply);

  /// Notes what a back end says it holds, in a heartbeat that is newer than all before from it.
  /// Call only while the leader lease holds.
  void on_holdings_report(TimePoint now, const CellState& state, BackendId backend,
                          const HoldingsReport& report);
  /// Back ends that are to hold something else than they were told last.
  std::set<BackendId> holders_to_notify(TimePoint now) const;
  /// All that the back end is to hold, as the answer to its newest heartbeat, which arrived at
  /// `received`. Call only while the leader lease holds.
  GrantedHoldings answer_heartbeat(TimePoint now, TimePoint received, const CellState& state,
                                   BackendId backend);

  /// Keys whose holder cannot or will not hold them on: routers should stop sending, so that they
  /// can be given away.
  std::vector<RangeMove> withdrawals(TimePoint now, const CellState& state) const;

  /// Whether the keys of a moving range may be given to another owner now.
  struct Availability {
    bool free = false;
    std::string handover;
  };
  Availability may_assign(TimePoint now, const CellState& state, ServiceId service,
                          const RangeRecord& record) const;
  /// Back ends that may still take an order that they have not answered, in the order of their ids.
  std::vector<BackendId> holders_in_doubt(TimePoint now) const;
  /// How long grants should hold for the owners there are; they hold as the state says.
  Duration wanted_hold(const CellState& state) const;
  /// When collect() or withdrawals() next has something to do.
  TimePoint next_due() const { return std::max(next_due_, rested_at_); }
  std::size_t holdings() const { return holdings_.size(); }
  /// True where grants wait for room: moving keys for balance would only make more of them.
  bool is_busy() const { return 2 * grants_under_way_ >= options_.grants_under_way; }

 private:
  /// What is known of one range at its owner.
  struct HoldingKey {
    ServiceId service;
    KeyRange keys;
    Epoch fence;
    auto operator<=>(const HoldingKey&) const = default;
  };
  struct Holding {
    BackendId owner;
    TimePoint held_until;      ///< answered orders have run out then
    TimePoint doubtful_until;  ///< orders without an answer have run out then
    TimePoint presumed_until;  ///< the same, while the owner has not answered in this term
    TimePoint next_order;      ///< a first grant or a release is due then; renewals go by rounds
    std::size_t grants_under_way = 0;
    bool established = false;  ///< the owner has accepted it in this term: it is renewed in rounds
    bool moving = false;       ///< its release has begun
    bool refused = false;      ///< the owner refuses the grant
    bool released = false;     ///< the owner has released it under a higher fence
    bool gone = false;         ///< the owner's process has ended
    bool is_reported = false;  ///< the owner hears of it in the answers to its heartbeats
    bool told = false;         ///< such an answer of this term has named it last
    bool may_hold = false;     ///< such an answer of any term may have named it
    std::uint32_t told_in_vain = 0;  ///< heartbeats in a row that do not list it though it was told
    Duration release_wait{0};        ///< until the release is sent once more
    std::string handover;

    bool is_renewed() const { return established && !moving && !refused && !gone && !is_reported; }
  };
  using Holdings = std::map<HoldingKey, Holding>;
  struct Order {
    ServiceId service;
    KeyRange keys;
    Epoch fence;
    BackendId backend;
    TimePoint sent;
    Duration hold{0};
    bool is_release = false;
    bool is_round = false;  ///< a renewal
    bool is_try = false;    ///< its back end was out of reach when it was sent
  };
  /// Renewals of one back end: of all that it holds at once, so that one connection carries them.
  struct Round {
    TimePoint next;
    std::size_t under_way = 0;
  };
  /// The orders of one call of collect().
  struct Outgoing {
    std::vector<GrantOrder>& grants;
    std::vector<ReleaseOrder>& releases;
  };

  /// The longest that an order with this hold may last, on this clock.
  Duration true_time(Duration hold) const;
  Duration renewal_interval() const;
  void sync(TimePoint now, const CellState& state);
  Holding derive_holding(TimePoint now, const CellState& state, const HoldingKey& key,
                         const RangeRecord& record, const Holdings& before) const;
  void send_first_grants(TimePoint now, const CellState& state, Outgoing& outgoing);
  void send_rounds(TimePoint now, const CellState& state, Outgoing& outgoing);
  /// Back ends whose renewals are due, as many as may go out now, the longest due first.
  std::set<BackendId> due_rounds(TimePoint now);
  bool may_send_more() const { return grants_under_way_ < options_.grants_under_way; }
  void send_releases(TimePoint now, const CellState& state, Outgoing& outgoing);
  /// Keeps an order that goes out now, under its number.
  void note_sent(OrderId id, Order order);
  /// Notes how the order ended for what is known of its back end's reach.
  void note_reach(TimePoint now, const Order& order, const OrderReply& reply);
  /// The end of the run of keys that begins with `first`: neighbours of one owner for which
  /// `joins` holds.
  template <typename Joins>
  Holdings::iterator end_of_run(Holdings::iterator first, const Joins& joins);
  void send_grant(TimePoint now, const BackendRecord& backend, Order order,
                  const std::string& handover, Outgoing& outgoing);
  void find_next_due(TimePoint now);
  /// The first holding that may concern the order.
  Holdings::iterator first_holding_at(const Order& order);
  void take_grant_reply(TimePoint now, const Order& order, const OrderReply& reply,
                        const HoldingKey& key, Holding& holding) const;
  void take_release_reply(TimePoint now, const OrderReply& reply, Holding& holding) const;
  void take_report_of_moving(TimePoint now, const HoldingsReport& report, const HoldingKey& key,
                             Holding& holding) const;
  void take_report_of_owned(const HoldingsReport& report, const HoldingKey& key,
                            Holding& holding) const;

  GrantOptions options_;
  bool active_ = false;
  std::optional<LogIndex> synced_;  ///< change of ownership that the holdings are as of
  Duration hold_{0};                ///< of the orders that are sent now
  TimePoint earlier_answers_end_;   ///< what leaders before have told by answers has run out then
  TimePoint next_due_;
  TimePoint rested_at_;  ///< collect() does nothing before
  Holdings holdings_;
  std::map<BackendId, Round> rounds_;
  OwnerReach reach_;
  std::map<OrderId, Order> orders_;
  std::size_t grants_under_way_ = 0;  ///< of orders_
  std::size_t owners_ = 0;            ///< back ends that hold something
  OrderId next_order_ = 1;
};

}  // namespace planktray::ownership
