#include "routing/crash_ledger.hpp"

#include <algorithm>

namespace planktray::routing {

bool CrashLedger::take(const CrashEvent& event) {
  if (event.digest == 0) {
    return false;
  }
  if (!entries_.contains(event.digest)) {
    make_room();
  }
  Entry& entry = entries_[event.digest];
  const bool is_known_target =
      std::any_of(entry.events.begin(), entry.events.end(),
                  [&](const CrashEvent& other) { return other.backend == event.backend; });
  const bool is_full = entry.events.size() >= options_.most_events;
  if (is_known_target || is_full || event.ended <= entry.forgiven) {
    return false;
  }
  const auto place =
      std::upper_bound(entry.events.begin(), entry.events.end(), event,
                       [](const CrashEvent& a, const CrashEvent& b) { return a.ended < b.ended; });
  entry.events.insert(place, event);
  entry.row = longest_row(entry);
  entry.last_end = std::max(entry.last_end, event.ended);
  const bool is_blocked = entry.last_end < entry.blocked_until;
  if (entry.row < options_.threshold || is_blocked) {
    return false;
  }
  entry.block = entry.block.count() == 0 ? options_.first_block
                                         : std::min(2 * entry.block, options_.longest_block);
  entry.blocked_until = entry.last_end + entry.block;
  return true;
}

std::uint32_t CrashLedger::longest_row(const Entry& entry) const {
  // The one that ends first leaves the most room for others: greedy is longest.
  std::uint32_t row = 0;
  common::TimePoint end;
  for (const CrashEvent& event : entry.events) {
    const bool follows = row == 0 || event.sent + options_.overlap >= end;
    if (follows || !options_.in_sequence) {
      ++row;
      end = event.ended;
    }
  }
  return row;
}

bool CrashLedger::forgive(RequestDigest digest, common::TimePoint answered) {
  const auto found = entries_.find(digest);
  if (found == entries_.end()) {
    return false;
  }
  const bool was_suspect = is_suspect(found->second);
  found->second = Entry{};
  found->second.forgiven = answered;
  found->second.last_end = answered;
  return was_suspect;
}

bool CrashLedger::is_blocked(common::TimePoint now, RequestDigest digest) const {
  const auto found = entries_.find(digest);
  return found != entries_.end() && now < found->second.blocked_until;
}

bool CrashLedger::is_suspect(RequestDigest digest) const {
  const auto found = entries_.find(digest);
  return found != entries_.end() && is_suspect(found->second);
}

std::vector<CrashSuspect> CrashLedger::suspects() const {
  std::vector<CrashSuspect> suspects;
  for (const auto& [digest, entry] : entries_) {
    if (is_suspect(entry)) {
      suspects.push_back({digest, entry.row, entry.blocked_until});
    }
  }
  return suspects;
}

void CrashLedger::expire(common::TimePoint now) {
  std::erase_if(entries_, [&](const auto& item) {
    return now >= item.second.blocked_until && now - item.second.last_end > options_.memory;
  });
}

void CrashLedger::make_room() {
  if (entries_.size() < options_.most) {
    return;
  }
  const auto oldest =
      std::min_element(entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
        const auto age = [](const Entry& entry) {
          return std::max(entry.last_end, entry.blocked_until);
        };
        return age(a.second) < age(b.second);
      });
  entries_.erase(oldest);
}

}  // namespace planktray::routing
