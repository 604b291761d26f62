#pragma once
/// The leader's side of fenced grants: keys are granted to a back end for a time that counts from
/// the arrival of the order there. They are assigned to another back end only when the first one
/// can no longer use them.
///
/// Safety argument (docs/PROOF.md). Keys pass from X to Y only after one of:
///  - X accepted a release under a higher fence than its grant's: X runs no requests for these keys
///    and refuses all older orders that are still in flight;
///  - X's process has certainly ended: another incarnation replies at its address;
///  - every order that X may have accepted has expired, even if X's clock is slow by `clock_error`:
///    an order with a reply counts from the reply, one without from the latest time at which it may
///    still be accepted.
/// Each round of renewals and each release uses a connection of its own, opened for it. If the
/// machine is down or partitioned off, the connection is never established, so the order is known
/// not to have been sent. A new leader does not know the orders of its predecessors: it assumes
/// that all orders sent until its election were accepted at that time. It also assumes one
/// unanswered order for each range, which a holder may still carry out after it has accepted newer
/// ones, until that time has passed or the holder has accepted a grant under a fence of the new
/// term: it refuses older fences from then on. (A mark in the state is not enough: the predecessor
/// may have ended between sending an order and committing the mark.)
///
/// Other back ends receive their grants in the responses to their heartbeats. Each response lists
/// all keys that the back end holds, for a time that counts from the sending of the heartbeat. Keys
/// of such a back end pass on after one of:
///  - a heartbeat that no longer lists them, if the leader itself has sent all responses that the
///    back end may have received before it (grant_manager_reports.cpp);
///  - the end of the back end's process, as above;
///  - the end of the longest hold time that was granted, counted from the arrival of the heartbeat.

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/time.hpp"
#include "ownership/cell_state.hpp"
#include "ownership/holdings_report.hpp"
#include "ownership/owner_reach.hpp"

namespace planktray::ownership {

using common::Duration;
using common::TimePoint;

struct GrantOptions {
  /// How long a grant holds from its arrival if there are few owners.
  Duration hold_time = std::chrono::milliseconds(2500);
  /// With many owners, the hold time is this multiplied by their number, which bounds the renewals
  /// per second; at most `longest_hold_time`.
  Duration hold_per_owner = std::chrono::milliseconds(64);
  Duration longest_hold_time = std::chrono::milliseconds(9000);
  /// Renewals of a grant within its hold time; fewer if all owners together would exceed
  /// `renewals_per_second`.
  std::int64_t renewals_per_hold = 4;
  /// Lower limit: if one renewal is lost, there is still time to repeat it.
  std::int64_t min_renewals_per_hold = 2;
  /// Each renewal opens a connection, which costs a leader about 0.3 ms of processor time.
  double renewals_per_second = 200;
  /// Limit of grants in flight. A new leader has a grant to send for each range, and these must not
  /// delay each other until they time out.
  std::size_t max_grants_in_flight = 24;
  /// Backoff for unreachable owners. Its probes count towards `max_grants_in_flight`.
  ReachOptions reach;
  /// Minimum interval between passes that create orders, per range that is held, as each pass
  /// iterates over all ranges. With 500 ranges the interval is 20 ms; with half of it, the passes
  /// took 7% of a leader's time for decisions.
  Duration pause_per_holding = std::chrono::microseconds(40);
  /// Limit of that interval: a new leader needs several passes to send grants to all owners.
  Duration max_pause = std::chrono::milliseconds(25);
  /// An order without a reply is repeated after this time.
  Duration retry_interval = std::chrono::milliseconds(200);
  /// Fraction by which a holder's clock may be slow.
  double clock_error = 0.02;
  /// Added to every wait, for delays that `clock_error` does not cover.
  Duration margin = std::chrono::milliseconds(30);
  /// How long after its timeout an order without a reply may still be accepted.
  Duration late_delivery = std::chrono::milliseconds(12'500);
  /// Routers stop sending to a holder that cannot be renewed this long before its grant ends.
  Duration withdraw_before_end = std::chrono::milliseconds(100);
  /// Delay of a release, in which routers stop sending requests.
  Duration release_delay = std::chrono::milliseconds(15);
  /// A release without a reply is sent again after this time, while the first is still in flight.
  /// The interval doubles with each repetition, as releases of one back end may wait for each
  /// other.
  Duration release_interval = std::chrono::milliseconds(400);
  /// A new leader sends no first grants for this long to ranges that are about to get a fence of
  /// its term, as it would have to send them again. Shorter than what is left of a hold after an
  /// election.
  Duration fence_wait = std::chrono::milliseconds(150);
  /// An order that has been in flight for this long counts as in doubt.
  Duration doubt_after = std::chrono::milliseconds(40);
  /// How long a grant in the response to a heartbeat holds, from the sending of the heartbeat:
  /// three heartbeat intervals of 870 ms. If another interval is configured, this is set
  /// accordingly. All replicas must use the same value, as a new leader waits for grants of its
  /// predecessor to expire.
  Duration reported_hold_time = std::chrono::milliseconds(2610);
  /// A back end that ignores a grant in more responses than this refuses it.
  std::uint32_t max_ignored_answers = 3;
  /// Safeguards; off only in mutants.
  bool wait_for_answered = true;         ///< wait until orders with a reply have expired
  bool wait_for_unanswered = true;       ///< wait until orders without a reply have expired
  bool wait_after_election = true;       ///< take orders of earlier leaders into account
  bool release_with_new_fence = true;    ///< a release makes the holder refuse older orders
  bool wait_for_earlier_answers = true;  ///< wait until responses of earlier leaders have expired
  bool respect_reported_holds = true;    ///< keys that a heartbeat lists are not free
};

/// Returns the largest number of owners whose grants can be renewed `min_renewals_per_hold` times
/// within the longest hold time at no more than `renewals_per_second`.
std::size_t renewable_owners(const GrantOptions& options);

using OrderId = std::uint64_t;

/// Grants keys to a back end or renews the grant.
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

/// Asks a back end to release keys. The reply comes when the requests running on them have ended.
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
  kFenced,      ///< the back end has seen a higher fence
  kReplaced,    ///< another incarnation replies at the address
  kRefused,     ///< any other reply
  kNotSent,     ///< no connection: the order cannot have been accepted
  kUnanswered,  ///< the order may have been accepted, or may still be
};

std::string_view to_string(OrderOutcome outcome);

struct OrderReply {
  OrderOutcome outcome = OrderOutcome::kUnanswered;
  std::string handover{};             ///< of an accepted release
  common::Incarnation answered_by{};  ///< empty if the reply does not name it
  bool is_leaving = false;            ///< whether the reply reports that the back end is leaving
};

/// An order that has been answered.
struct AnsweredOrder {
  BackendId backend;  ///< that it was for
  LogIndex made_at;   ///< of the state that it was made from
};

/// Returns true if the back end receives its grants in the responses to its heartbeats; no orders
/// are sent to it.
bool has_heartbeat_grants(const CellState& state, BackendId id);

/// Keeps the fenced grants of all back ends that hold keys.
class GrantManager {
 public:
  explicit GrantManager(GrantOptions options) : options_(options), reach_(options.reach) {}

  /// Rebuilds the holdings from the state and starts as the leader of a new term.
  /// @param term_start index of the term's first entry. Entries of earlier terms may still be
  ///   missing from the state; the first collect() has to see all of them.
  void begin_term(TimePoint now, const CellState& state, LogIndex term_start);
  void end_term() { active_ = false; }

  /// Appends the orders that are due. Call only while the leader lease is valid.
  void collect(TimePoint now, const CellState& state, std::vector<GrantOrder>& grants,
               std::vector<ReleaseOrder>& releases);
  /// Notes a sign that the back end is alive. If it was unreachable, orders to it are due
  /// immediately.
  void note_alive(TimePoint now, BackendId backend);
  /// Makes the next order to the owner due immediately, since its answer tells which process has
  /// the owner's address.
  void verify_owner(TimePoint now, BackendId owner);
  /// Returns true if any owner is unreachable.
  bool has_unreachable() const { return reach_.has_unreachable(); }
  /// @return the order, or nothing for an unknown one.
  std::optional<AnsweredOrder> on_reply(TimePoint now, OrderId id, const OrderReply& reply);

  /// Processes the holdings that a back end reports in a heartbeat, which must be newer than all
  /// its earlier ones. Call only while the leader lease is valid.
  void on_holdings_report(TimePoint now, const CellState& state, BackendId backend,
                          const HoldingsReport& report);
  /// Returns the back ends whose grants differ from those in the last response to them.
  std::set<BackendId> holders_to_notify(TimePoint now) const;
  /// Returns all grants of the back end, for the response to its newest heartbeat, which arrived at
  /// `received`. Call only while the leader lease is valid.
  GrantedHoldings answer_heartbeat(TimePoint now, TimePoint received, const CellState& state,
                                   BackendId backend);

  /// Returns moves for keys whose holder cannot or does not keep them: routers should stop sending
  /// requests for them, so that they can be reassigned.
  std::vector<RangeMove> withdrawals(TimePoint now, const CellState& state) const;
  /// Returns the ranges that need a fence of this term, so that their owners refuse what is left of
  /// the orders of earlier leaders.
  std::vector<RangeJoin> ranges_to_fence(TimePoint now, const CellState& state) const;

  /// Whether the keys of a range may be assigned to another owner now.
  struct Availability {
    bool free = false;
    std::string handover;
  };
  Availability may_assign(TimePoint now, const CellState& state, ServiceId service,
                          const RangeRecord& record) const;
  /// Returns the back ends that may still accept an unanswered order, sorted by id.
  std::vector<BackendId> holders_in_doubt(TimePoint now) const;
  /// Returns the hold time that is appropriate for the number of owners. The hold time in use is
  /// the one in the state.
  Duration wanted_hold(const CellState& state) const;
  /// Returns when collect() or withdrawals() next has something to do.
  TimePoint next_due() const { return std::max(next_due_, paused_until_); }
  std::size_t holdings() const { return holdings_.size(); }
  /// Returns true if at least half of the grants that may be in flight are. Balancing should wait
  /// then, as each move of keys needs more grants.
  bool is_busy() const { return 2 * grants_in_flight_ >= options_.max_grants_in_flight; }

 private:
  struct HoldingKey {
    ServiceId service;
    KeyRange keys;
    Epoch fence;
    auto operator<=>(const HoldingKey&) const = default;
  };
  /// What the leader knows about one range at its owner.
  struct Holding {
    BackendId owner;
    TimePoint held_until;      ///< orders with a reply have expired by then
    TimePoint in_doubt_until;  ///< orders without a reply have expired by then
    TimePoint presumed_until;  ///< orders under lower fences without a reply have expired by then;
                               ///< unset once the owner has accepted a grant under a fence of this
                               ///< term
    TimePoint next_order;      ///< when a first grant or a release is due; renewals go in rounds
    std::size_t grants_in_flight = 0;
    bool established = false;     ///< the owner has accepted it in this term: renewed in rounds
    bool moving = false;          ///< its release has begun
    bool refused = false;         ///< the owner refuses the grant
    bool released = false;        ///< the owner has released it under a higher fence
    bool owner_ended = false;     ///< the owner's process has ended
    bool by_heartbeat = false;    ///< granted in the responses to heartbeats
    bool in_last_answer = false;  ///< the last response of this term to the owner granted it
    bool may_be_granted = false;  ///< a response of any term may have granted it
    std::uint32_t ignored_answers = 0;  ///< consecutive heartbeats without it after it was granted
    Duration release_backoff{0};        ///< time until the release is repeated
    std::string handover;

    bool is_renewed() const {
      return established && !moving && !refused && !owner_ended && !by_heartbeat;
    }
  };
  using Holdings = std::map<HoldingKey, Holding>;
  /// An order in flight.
  struct Order {
    ServiceId service;
    KeyRange keys;
    Epoch fence;
    BackendId backend;
    TimePoint sent;
    Duration hold{0};
    bool is_release = false;
    bool is_renewal = false;
    bool is_probe = false;  ///< its back end was unreachable when it was sent
    LogIndex made_at{};     ///< of the state that it was made from
  };
  /// Renewals of one back end. All its holdings are renewed together, on one connection.
  struct Round {
    TimePoint next;
    std::size_t in_flight = 0;
  };
  /// The orders of one call of collect().
  struct Outgoing {
    std::vector<GrantOrder>& grants;
    std::vector<ReleaseOrder>& releases;
  };

  /// Rebuilds the index of holdings that are granted in the responses to heartbeats.
  void index_reported_holdings();
  /// Calls `visit` with the key and the holding for each such holding of the back end.
  template <typename Visit>
  void for_each_reported(BackendId backend, const Visit& visit);
  /// Returns how long an order with this hold time may last on the leader's clock.
  Duration max_duration(Duration hold) const;
  Duration renewal_interval() const;
  /// Updates the holdings after a change of ownership in the state.
  void sync(TimePoint now, const CellState& state);
  Holding derive_holding(TimePoint now, const CellState& state, const HoldingKey& key,
                         const RangeRecord& record, const Holdings& before) const;
  /// Returns when an order that was sent until now without a reply has expired.
  TimePoint unanswered_end(TimePoint now) const {
    return now + options_.late_delivery + max_duration(hold_);
  }
  bool is_fence_of_term(Epoch fence) const { return fence.value > term_start_.value; }
  void send_first_grants(TimePoint now, const CellState& state, Outgoing& outgoing);
  void send_rounds(TimePoint now, const CellState& state, Outgoing& outgoing);
  /// Returns the back ends whose renewals are due, as many as may be sent now, longest due first.
  std::set<BackendId> due_rounds(TimePoint now);
  bool may_send_more() const { return grants_in_flight_ < options_.max_grants_in_flight; }
  void send_releases(TimePoint now, const CellState& state, Outgoing& outgoing);
  /// Keeps an order that is sent now.
  void note_sent(OrderId id, Order order);
  /// Updates the reachability of the order's back end from the outcome of the order.
  void note_reachability(TimePoint now, const Order& order, const OrderReply& reply);
  /// Returns the end of the run of holdings that begins with `first`: adjacent ranges of one owner
  /// for which `includes` returns true.
  template <typename Includes>
  Holdings::iterator end_of_run(Holdings::iterator first, const Includes& includes);
  void send_grant(TimePoint now, const BackendRecord& backend, Order order,
                  const std::string& handover, Outgoing& outgoing);
  void update_next_due(TimePoint now);
  /// Returns the first holding that the order may affect.
  Holdings::iterator first_affected_holding(const Order& order);
  void apply_grant_reply(TimePoint now, const Order& order, const OrderReply& reply,
                         const HoldingKey& key, Holding& holding) const;
  void apply_release_reply(TimePoint now, const OrderReply& reply, Holding& holding) const;
  void apply_report_to_moving(TimePoint now, const HoldingsReport& report, const HoldingKey& key,
                              Holding& holding) const;
  void apply_report_to_owned(const HoldingsReport& report, const HoldingKey& key,
                             Holding& holding) const;

  GrantOptions options_;
  bool active_ = false;
  std::optional<LogIndex> synced_;  ///< index of the ownership change that the holdings reflect
  Duration hold_{0};                ///< hold time of new orders
  LogIndex term_start_;             ///< index of the term's first entry
  TimePoint earlier_answers_end_;   ///< grants in responses of earlier leaders have expired by then
  LogIndex collected_at_;           ///< of the state that orders are being made from
  TimePoint next_due_;
  TimePoint paused_until_;  ///< collect() does nothing before
  Holdings holdings_;
  /// The holdings of each owner with grants in the responses to its heartbeats.
  std::unordered_map<BackendId, std::vector<HoldingKey>> reported_holdings_;
  std::map<BackendId, Round> rounds_;
  OwnerReach reach_;
  std::map<OrderId, Order> orders_;
  std::size_t grants_in_flight_ = 0;  ///< grants among `orders_`
  std::size_t owners_ = 0;            ///< back ends that hold keys by orders
  OrderId next_order_ = 1;
};

}  // namespace planktray::ownership
