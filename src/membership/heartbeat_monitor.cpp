#include "membership/heartbeat_monitor.hpp"

#include <algorithm>

namespace planktray::membership {

void HeartbeatMonitor::begin_term(common::TimePoint now) {
  term_start_ = now;
  contacts_.clear();
}

bool HeartbeatMonitor::note_heartbeat(common::TimePoint now, const common::Incarnation& incarnation,
                                      std::uint64_t sequence, common::Duration cold_for) {
  Contact& contact = contacts_[incarnation];
  if (contact.sequence >= sequence && options_.refuse_late) {
    return false;  // outdated or a duplicate
  }
  contact.sequence = sequence;
  contact.at = now;
  contact.heartbeat_at = now;
  contact.cold_until = now + cold_for;
  return true;
}

Warmth HeartbeatMonitor::warmth(common::TimePoint now, const common::Incarnation& incarnation,
                                common::TimePoint since) const {
  const auto found = contacts_.find(incarnation);
  if (found == contacts_.end() || !found->second.sequence.has_value() ||
      found->second.heartbeat_at < since) {
    return Warmth::kUnknown;
  }
  return now < found->second.cold_until ? Warmth::kCold : Warmth::kWarm;
}

void HeartbeatMonitor::note_answer(common::TimePoint now, const common::Incarnation& incarnation) {
  contacts_[incarnation].at = now;
}

common::TimePoint HeartbeatMonitor::contacted_at(const common::Incarnation& incarnation) const {
  const auto found = contacts_.find(incarnation);
  return found == contacts_.end() ? term_start_ : std::max(term_start_, found->second.at);
}

bool HeartbeatMonitor::is_silent(common::TimePoint now,
                                 const common::Incarnation& incarnation) const {
  return now - contacted_at(incarnation) > options_.silent_after;
}

bool HeartbeatMonitor::is_removable(common::TimePoint now,
                                    const common::Incarnation& incarnation) const {
  return now - contacted_at(incarnation) > options_.remove_after;
}

}  // namespace planktray::membership
