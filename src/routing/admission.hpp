#pragma once
/// Admission of requests where there is too little room: decides at arrival, and again whenever a
/// waiting request is looked at, whether a request goes ahead, waits, or is refused with a time to
/// return. Plain functions of what is known; no clock, socket or map of their own.
///
/// The order, where a target is short of room:
///  - A request that finds a free slot goes, whatever its rank: nobody gains by its refusal.
///  - Others go up to a length of the queue that is a matter of rank: the longest for who was
///    refused before and can still be in time, then first tries, then what is less urgent or late
///    already, so that the former find room.
///  - No rank goes into a queue in which a first try would be late. Otherwise late requests would
///    keep the queue long, and long after a burst every request would be late.
///  - Anything else is refused at once, while its caller still has time to come back.

#include <cstdint>

#include "common/time.hpp"

namespace planktray::routing {

using common::Duration;

/// What is known of one request and of the place it wants to go to.
struct AdmissionInput {
  std::uint32_t priority = 0;    ///< of its route; 0 is the most urgent
  Duration objective{0};         ///< within it an answer earns its full worth; 0: none stated
  Duration used{0};              ///< of its objective before it came here, by earlier tries
  Duration time_left{0};         ///< until its deadline or its route's timeout
  Duration caller_left{0};       ///< until its caller leaves
  Duration waited{0};            ///< since its arrival here
  Duration expected{0};          ///< until its answer, if it were sent now: queue and work
  Duration queue_wait{0};        ///< the part of `expected` before its work begins
  Duration link_wait{0};         ///< what its own body waits for the router's link
  Duration urgent_objective{0};  ///< shortest of more urgent routes to its service; 0: none
  bool has_room = true;          ///< a target may take it now
  bool returns = false;          ///< its caller was refused before
  bool is_greedy = false;        ///< its caller has taken more than its share of late
  Duration room_expected_in{0};  ///< without room: when there will be some; 0: not known
  double turn = 1;  ///< drawn in [0, 1) at its arrival: who gets the least share of its urgency
};

enum class Admission : std::uint8_t {
  kAdmit,   ///< send it now
  kWait,    ///< look again after `look_again`
  kRefuse,  ///< answer at once; the caller may return after `retry_after`
};

struct AdmissionOptions {
  /// Part of its objective that a request waits for room at most: a caller that is refused sooner
  /// still has most of the objective for another try.
  double patience = 0.125;
  /// The same where its route states no objective.
  Duration default_patience = std::chrono::milliseconds(60);
  /// A waiting request looks again this often.
  Duration look_again = std::chrono::milliseconds(20);
  /// An answer expected later than this part of the time that is left would come too late to be
  /// of use: the expectation is a mean.
  double usable_time = 0.9;
  /// Part of an objective that requests of lower rank leave free at a target: less urgent ones of
  /// the more urgent callers' objective, late ones of their own. About one work time of the usual
  /// service: what comes next and is urgent is in time behind them.
  double headroom = 0.35;
  /// Part of their objective that first tries leave free. Who was refused and returns has used
  /// about a fifth of it: this lets them into a queue that first tries find too long. It also
  /// covers work that takes longer than its mean.
  double edge = 0.25;
  /// Part of the less urgent requests that are ranked as the most urgent, so that a lasting burst
  /// of the urgent starves nobody without end. Small: a burst of theirs counts in full.
  double least_share = 0.05;
  /// Least time told to a refused caller: a busy target ends a request or two in it; sooner, the
  /// caller would find it as it was.
  Duration least_return = std::chrono::milliseconds(150);
  /// Callers heed a time to return up to this part of the time they have left.
  double honoured = 1.0 / 3;
  /// Each caller is told up to this part more than the time itself, so that they do not return
  /// together.
  double spread = 0.5;
};

struct AdmissionDecision {
  Admission verdict = Admission::kAdmit;
  Duration look_again{0};
  Duration retry_after{0};
};

/// @param draw in [0, 1): spreads the returns of callers that are refused together.
AdmissionDecision decide_admission(const AdmissionOptions& options, const AdmissionInput& input,
                                   double draw);

/// How long a request may wait for room from its arrival on.
Duration patience_of(const AdmissionOptions& options, Duration objective);

/// The time told to a refused caller: when room is expected, spread by `draw`, while an answer can
/// still be in time if that is possible, and within what callers heed.
Duration return_time(const AdmissionOptions& options, const AdmissionInput& input, double draw);

}  // namespace planktray::routing
