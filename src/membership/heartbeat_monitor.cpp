#include "membership/heartbeat_monitor.hpp"

#include <algorithm>

namespace planktray::membership {

void HeartbeatMonitor::begin_term(common::TimePoint now) {
  term_began_ = now;
  heard_.clear();
}

bool HeartbeatMonitor::note_heartbeat(common::TimePoint now, const common::Incarnation& incarnation,
                                      std::uint64_t sequence) {
  Heard& heard = heard_[incarnation];
  if (heard.sequence >= sequence && options_.refuse_late) {
    return false;  // a late one says nothing about now
  }
  heard.sequence = sequence;
  heard.at = now;
  return true;
}

void HeartbeatMonitor::note_answer(common::TimePoint now, const common::Incarnation& incarnation) {
  heard_[incarnation].at = now;
}

common::TimePoint HeartbeatMonitor::heard_at(const common::Incarnation& incarnation) const {
  const auto found = heard_.find(incarnation);
  return found == heard_.end() ? term_began_ : std::max(term_began_, found->second.at);
}

bool HeartbeatMonitor::is_silent(common::TimePoint now,
                                 const common::Incarnation& incarnation) const {
  return now - heard_at(incarnation) > options_.silent_after;
}

bool HeartbeatMonitor::is_forgotten(common::TimePoint now,
                                    const common::Incarnation& incarnation) const {
  return now - heard_at(incarnation) > options_.forget_after;
}

}  // namespace planktray::membership
