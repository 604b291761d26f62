#include "routing/crash_ledger.hpp"

#include <algorithm>

namespace planktray::routing {

bool CrashLedger::record_crash(const CrashEvent& event) {
  if (event.digest == 0) {
    return false;
  }
  if (!entries_.contains(event.digest)) {
    evict_if_full();
  }
  Entry& entry = entries_[event.digest];
  const bool is_known_target =
      std::any_of(entry.events.begin(), entry.events.end(),
                  [&](const CrashEvent& other) { return other.backend == event.backend; });
  const bool is_full = entry.events.size() >= options_.max_events;
  if (is_known_target || is_full || event.ended <= entry.last_answer) {
    return false;
  }
  const auto position =
      std::upper_bound(entry.events.begin(), entry.events.end(), event,
                       [](const CrashEvent& a, const CrashEvent& b) { return a.ended < b.ended; });
  entry.events.insert(position, event);
  update_sequences();
  entry.last_end = std::max(entry.last_end, event.ended);
  const bool is_blocked = entry.last_end < entry.blocked_until;
  if (entry.consecutive < options_.threshold || is_blocked) {
    return false;
  }
  entry.block = entry.block.count() == 0 ? options_.first_block
                                         : std::min(2 * entry.block, options_.longest_block);
  entry.blocked_until = entry.last_end + entry.block;
  return true;
}

void CrashLedger::update_sequences() {
  Explanations explanations;
  for (const auto& [digest, entry] : entries_) {
    for (const CrashEvent& event : entry.events) {
      std::size_t& largest = explanations[event.backend];
      largest = entry.events.size() >= options_.threshold ? std::max(largest, entry.events.size())
                                                          : largest;
    }
  }
  for (auto& [digest, entry] : entries_) {
    const std::uint32_t since_import = longest_sequence(entry, explanations, entry.imported_at);
    entry.consecutive = std::max(longest_sequence(entry, explanations, common::TimePoint()),
                                 entry.imported + since_import);
    if (entry.consecutive < options_.threshold) {
      entry.blocked_until = common::TimePoint();
      entry.block = common::Duration(0);
    }
  }
}

std::uint32_t CrashLedger::longest_sequence(const Entry& entry, const Explanations& explanations,
                                            common::TimePoint after) const {
  // Taking the crash that ends first each time (greedy) gives the longest sequence.
  std::uint32_t length = 0;
  common::TimePoint end;
  for (const CrashEvent& event : entry.events) {
    const bool follows = length == 0 || (event.sent + options_.overlap >= end &&
                                         event.ended >= end + options_.spacing);
    const bool is_explained =
        event.ended <= after || explanations.at(event.backend) > entry.events.size();
    if (!is_explained && (follows || !options_.in_sequence)) {
      ++length;
      end = event.ended;
    }
  }
  return length;
}

bool CrashLedger::record_answer(RequestDigest digest, common::TimePoint answered, bool remember) {
  if (!entries_.contains(digest)) {
    if (!remember) {
      return false;
    }
    evict_if_full();
  }
  Entry& entry = entries_[digest];
  const bool was_suspect = is_suspect(entry);
  const common::TimePoint newest = std::max(entry.last_answer, answered);
  entry = Entry{};
  entry.last_answer = newest;
  entry.last_end = newest;
  return was_suspect;
}

void CrashLedger::import_suspect(common::TimePoint now, const CrashSuspect& suspect) {
  if (!entries_.contains(suspect.digest)) {
    evict_if_full();
  }
  Entry& entry = entries_[suspect.digest];
  if (entry.last_answer != common::TimePoint() || suspect.crashes <= entry.imported) {
    return;  // answered successfully since, or already imported from another router
  }
  entry.imported = std::min(suspect.crashes, options_.threshold);
  entry.imported_at = now;
  entry.consecutive = std::max(entry.consecutive, entry.imported);
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
    if (entry.consecutive > 0) {
      suspects.push_back({digest, entry.consecutive, entry.blocked_until});
    }
  }
  return suspects;
}

void CrashLedger::expire(common::TimePoint now) {
  std::erase_if(entries_, [&](const auto& item) {
    const common::Duration memory =
        item.second.consecutive > 1 ? options_.memory : options_.single_memory;
    return now >= item.second.blocked_until && now - item.second.last_end > memory;
  });
}

void CrashLedger::evict_if_full() {
  if (entries_.size() < options_.max_requests) {
    return;
  }
  const auto oldest =
      std::min_element(entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
        const auto last_use = [](const Entry& entry) {
          return std::max(entry.last_end, entry.blocked_until);
        };
        return last_use(a.second) < last_use(b.second);
      });
  entries_.erase(oldest);
}

}  // namespace planktray::routing
