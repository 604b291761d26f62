#include "controller/core/holder_answers.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace planktray::controller {

std::optional<OperatorRequestId> HolderAnswers::defer(common::BackendId backend,
                                                      OperatorRequestId request, TimePoint received,
                                                      TimePoint answer_by) {
  const auto [kept, is_first] =
      deferred_.try_emplace(backend, Deferred{request, received, answer_by});
  if (is_first) {
    return std::nullopt;
  }
  if (received < kept->second.received) {
    return request;
  }
  return std::exchange(kept->second, Deferred{request, received, answer_by}).request;
}

std::vector<HolderAnswer> HolderAnswers::collect(TimePoint now, const ownership::CellState& state,
                                                 ownership::GrantManager& grants) {
  std::vector<HolderAnswer> answers;
  if (deferred_.empty()) {
    return answers;
  }
  const std::set<common::BackendId> with_news = grants.holders_to_notify(now);
  for (auto kept = deferred_.begin(); kept != deferred_.end();) {
    const auto& [backend, heartbeat] = *kept;
    if (now < heartbeat.answer_by && !with_news.contains(backend)) {
      ++kept;
      continue;
    }
    answers.push_back(
        {heartbeat.request, grants.answer_heartbeat(now, heartbeat.received, state, backend)});
    kept = deferred_.erase(kept);
  }
  return answers;
}

std::vector<OperatorRequestId> HolderAnswers::cancel_all() {
  std::vector<OperatorRequestId> requests;
  for (const auto& [backend, kept] : std::exchange(deferred_, {})) {
    requests.push_back(kept.request);
  }
  return requests;
}

TimePoint HolderAnswers::next_due() const {
  TimePoint due = TimePoint::max();
  for (const auto& [backend, kept] : deferred_) {
    due = std::min(due, kept.answer_by);
  }
  return due;
}

}  // namespace planktray::controller
