#include "routing/crash_ledger.hpp"

#include <algorithm>

namespace planktray::routing {

bool CrashLedger::record_crash(const CrashEvent& event) {
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
  const bool is_full = entry.events.size() >= options_.max_events;
  if (is_known_target || is_full || event.ended <= entry.forgiven) {
    return false;
  }
  const auto place =
      std::upper_bound(entry.events.begin(), entry.events.end(), event,
                       [](const CrashEvent& a, const CrashEvent& b) { return a.ended < b.ended; });
  entry.events.insert(place, event);
  work_out_rows();
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

void CrashLedger::work_out_rows() {
  Explained explained;
  for (const auto& [digest, entry] : entries_) {
    for (const CrashEvent& event : entry.events) {
      std::size_t& most = explained[event.backend];
      most = entry.events.size() >= options_.threshold ? std::max(most, entry.events.size()) : most;
    }
  }
  for (auto& [digest, entry] : entries_) {
    const std::uint32_t since = longest_row(entry, explained, entry.adopted_at);
    entry.row =
        std::max(longest_row(entry, explained, common::TimePoint()), entry.adopted_row + since);
    if (entry.row < options_.threshold) {
      entry.blocked_until = common::TimePoint();
      entry.block = common::Duration(0);
    }
  }
}

std::uint32_t CrashLedger::longest_row(const Entry& entry, const Explained& explained,
                                       common::TimePoint after) const {
  // The one that ends first leaves the most room for others: greedy is longest.
  std::uint32_t row = 0;
  common::TimePoint end;
  for (const CrashEvent& event : entry.events) {
    const bool follows =
        row == 0 || (event.sent + options_.overlap >= end && event.ended >= end + options_.spacing);
    const bool is_explained =
        event.ended <= after || explained.at(event.backend) > entry.events.size();
    if (!is_explained && (follows || !options_.in_sequence)) {
      ++row;
      end = event.ended;
    }
  }
  return row;
}

bool CrashLedger::record_answer(RequestDigest digest, common::TimePoint answered, bool remember) {
  if (!entries_.contains(digest)) {
    if (!remember) {
      return false;
    }
    make_room();
  }
  Entry& entry = entries_[digest];
  const bool was_suspect = is_suspect(entry);
  const common::TimePoint newest = std::max(entry.forgiven, answered);
  entry = Entry{};
  entry.forgiven = newest;
  entry.last_end = newest;
  return was_suspect;
}

void CrashLedger::import_suspect(common::TimePoint now, const CrashSuspect& suspect) {
  if (!entries_.contains(suspect.digest)) {
    make_room();
  }
  Entry& entry = entries_[suspect.digest];
  if (entry.forgiven != common::TimePoint() || suspect.crashes <= entry.adopted_row) {
    return;  // a good answer is known here, or another router has said as much
  }
  entry.adopted_row = std::min(suspect.crashes, options_.threshold);
  entry.adopted_at = now;
  entry.row = std::max(entry.row, entry.adopted_row);
  entry.last_end = std::max(entry.last_end, now);
  if (suspect.blocked_until > now) {
    entry.block = std::max(entry.block, options_.first_block);
    entry.blocked_until = std::max(entry.blocked_until, suspect.blocked_until);
  }
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
    if (entry.row > 0) {
      suspects.push_back({digest, entry.row, entry.blocked_until});
    }
  }
  return suspects;
}

void CrashLedger::expire(common::TimePoint now) {
  std::erase_if(entries_, [&](const auto& item) {
    const common::Duration memory = item.second.row > 1 ? options_.memory : options_.single_memory;
    return now >= item.second.blocked_until && now - item.second.last_end > memory;
  });
}

void CrashLedger::make_room() {
  if (entries_.size() < options_.max_requests) {
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
