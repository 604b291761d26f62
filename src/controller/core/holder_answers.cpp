#include "controller/core/holder_answers.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace planktray::controller {

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
  return due;
}

}  // namespace planktray::controller
