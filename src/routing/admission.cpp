#include "routing/admission.hpp"

#include <algorithm>

namespace planktray::routing {
namespace {

Duration part(Duration whole, double share) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(whole.count()) * share));
}

Duration expected_work(const AdmissionInput& input) {
  return std::max(Duration(0), input.expected - input.queue_wait);
}

/// Until its answer, were it sent now.
Duration expected_answer(const AdmissionInput& input) { return input.expected + input.link_wait; }

/// True where not even an idle target would answer within the objective.
bool is_late(const AdmissionInput& input) {
  return input.used + input.waited + expected_work(input) + input.link_wait > input.objective;
}

/// The longest expected answer with which its rank may join a queue.
Duration limit_of_rank(const AdmissionOptions& options, const AdmissionInput& input) {
  const Duration usable = part(input.time_left, options.usable_time);
  if (input.objective.count() == 0) {
    return usable;
  }
  Duration limit = input.objective - input.waited;
  if (input.is_greedy || is_late(input)) {
    limit = part(input.objective, 1.0 - options.headroom);
  } else if (input.returns) {
    limit -= input.used;
  } else {
    limit -= part(input.objective, options.edge);
  }
  if (input.urgent_objective.count() > 0) {
    const bool has_turn = input.turn < options.least_share;
    const double kept_free = has_turn ? options.edge : options.headroom;
    limit = std::min(limit, part(input.urgent_objective, 1.0 - kept_free));
  }
  return std::min(limit, usable);
}

bool may_go(const AdmissionOptions& options, const AdmissionInput& input) {
  const Duration answer = expected_answer(input);
  if (!input.has_room || answer > part(input.time_left, options.usable_time)) {
    return false;
  }
  return input.queue_wait.count() == 0 || answer <= limit_of_rank(options, input);
}

/// How long the queue takes to become one that the request may join; 0: not known.
Duration room_in(const AdmissionOptions& options, const AdmissionInput& input) {
  if (!input.has_room) {
    return input.room_expected_in;
  }
  const Duration excess = expected_answer(input) - limit_of_rank(options, input);
  return std::clamp(excess, Duration(0), input.queue_wait);
}

}  // namespace

Duration patience_of(const AdmissionOptions& options, Duration objective) {
  return objective.count() > 0 ? part(objective, options.patience) : options.default_patience;
}

Duration return_time(const AdmissionOptions& options, const AdmissionInput& input, double draw) {
  const Duration heeded = part(input.caller_left, options.honoured);
  Duration latest = heeded;
  if (input.objective.count() > 0) {
    const Duration spent = input.used + input.waited + expected_work(input);
    const Duration in_time = input.objective - spent;
    latest = in_time >= options.least_return ? std::min(latest, in_time) : latest;
  }
  const Duration soonest = std::max(options.least_return, room_in(options, input));
  const Duration spread = part(soonest, 1.0 + options.spread * draw);
  // Where the bound cuts the time, what remains of it is spread as well.
  const Duration bounded =
      part(latest, 1.0 / (1.0 + options.spread) * (1.0 + options.spread * draw));
  return std::min(spread, bounded);
}

AdmissionDecision decide_admission(const AdmissionOptions& options, const AdmissionInput& input,
                                   double draw) {
  AdmissionDecision decision;
  if (may_go(options, input)) {
    return decision;
  }
  const Duration patience = patience_of(options, input.objective) - input.waited;
  const bool comes_too_late = room_in(options, input) > patience;
  if (patience.count() > 0 && !comes_too_late) {
    decision.verdict = Admission::kWait;
    decision.look_again = std::min(patience, options.look_again);
    return decision;
  }
  decision.verdict = Admission::kRefuse;
  decision.retry_after = return_time(options, input, draw);
  return decision;
}

}  // namespace planktray::routing
