#include "controller/core/holder_answers.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace planktray::controller {
namespace {

/// Pause between passes for each entry that a pass visits, and its limit: small against the time
/// for which a move of keys is noticed by callers.
constexpr Duration kPausePerEntry = std::chrono::microseconds(20);
constexpr Duration kLongestPause = std::chrono::milliseconds(25);

}  // namespace

std::optional<OperatorRequestId> HolderAnswers::defer(common::BackendId backend,
                                                      OperatorRequestId request, TimePoint received,
                                                      TimePoint answer_by) {
  const auto [deferred, is_first] =
      deferred_.try_emplace(backend, Deferred{request, received, answer_by});
  if (is_first) {
    return std::nullopt;
  }
  if (received < deferred->second.received) {
    return request;
  }
  return std::exchange(deferred->second, Deferred{request, received, answer_by}).request;
}

std::vector<HolderAnswer> HolderAnswers::collect(TimePoint now, const ownership::CellState& state,
                                                 ownership::GrantManager& grants) {
  std::vector<HolderAnswer> answers;
  if (deferred_.empty()) {
    return answers;
  }
  pass_is_skipped_ = now < next_pass_;
  if (pass_is_skipped_) {
    return answers;
  }
  next_pass_ =
      now + std::min<Duration>(
                kPausePerEntry * static_cast<std::int64_t>(deferred_.size() + grants.holdings()),
                kLongestPause);
  const std::set<common::BackendId> with_updates = grants.holders_to_notify(now);
  for (auto next = deferred_.begin(); next != deferred_.end();) {
    const auto& [backend, heartbeat] = *next;
    if (now < heartbeat.answer_by && !with_updates.contains(backend)) {
      ++next;
      continue;
    }
    answers.push_back(
        {heartbeat.request, grants.answer_heartbeat(now, heartbeat.received, state, backend)});
    next = deferred_.erase(next);
  }
  return answers;
}

std::vector<OperatorRequestId> HolderAnswers::cancel_all() {
  std::vector<OperatorRequestId> requests;
  for (const auto& [backend, deferred] : std::exchange(deferred_, {})) {
    requests.push_back(deferred.request);
  }
  return requests;
}

TimePoint HolderAnswers::next_due() const {
  TimePoint due = TimePoint::max();
  for (const auto& [backend, deferred] : deferred_) {
    due = std::min(due, deferred.answer_by);
  }
  if (pass_is_skipped_ && !deferred_.empty()) {
    due = std::min(due, next_pass_);
  }
  return std::max(due, next_pass_);
}

}  // namespace planktray::controller
