#include "membership/heartbeat_monitor.hpp"

#include <algorithm>

namespace planktray::membership {

void HeartbeatMonitor::begin_term(common::TimePoint now) {
  term_began_ = now;
  heard_.clear();
}

bool HeartbeatMonitor::note_heartbeat(common::TimePoint now, const common::Incarnation& incarnation,
                                      std::uint64_t sequence, common::Duration cold_for) {
  Heard& heard = heard_[incarnation];
  if (heard.sequence >= sequence && options_.refuse_late) {
    return false;  // a late one says nothing about now
  }
  heard.sequence = sequence;
  heard.at = now;
  heard.told_at = now;
  heard.cold_until = now + cold_for;
  return true;
}

Warmth HeartbeatMonitor::warmth(common::TimePoint now, const common::Incarnation& incarnation,
                                common::TimePoint since) const {
  const auto found = heard_.find(incarnation);
  if (found == heard_.end() || !found->second.sequence.has_value() ||
      found->second.told_at < since) {
    return Warmth::kUnknown;
  }
  return now < found->second.cold_until ? Warmth::kCold : Warmth::kWarm;
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
