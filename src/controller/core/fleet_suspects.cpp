#include "controller/core/fleet_suspects.hpp"

#include <algorithm>
#include <limits>

namespace planktray::controller {
namespace {

/// Reports of the same hello come in the order in which the crashes were seen; older ages than this
/// are of no leader's memory, or damaged.
constexpr std::uint64_t kOldestUs = 3'600'000'000;

/// A list of a leader before names no longer time than this.
constexpr common::Duration kLongestListed = std::chrono::hours(1);

common::TimePoint before(common::TimePoint now, std::uint64_t age_us) {
  return now - common::Duration(static_cast<common::Duration::rep>(age_us));
}

}  // namespace

std::vector<routing::CrashSuspect> FleetSuspects::on_hello(common::TimePoint now,
                                                           const routing::RouterHello& hello) {
  ledger_.expire(now);
  std::vector<routing::CrashSuspect> blocked;
  for (const routing::CrashReport& report : hello.crashes) {
    if (report.sent_age_us > kOldestUs || report.ended_age_us > report.sent_age_us) {
      continue;
    }
    const bool is_news =
        ledger_.record_crash({report.digest, report.backend, before(now, report.sent_age_us),
                              before(now, report.ended_age_us)});
    if (is_news) {
      blocked.push_back({report.digest, 0, {}});
    }
  }
  for (const routing::AnsweredSuspect& answered : hello.suspects_answered) {
    if (answered.age_us <= kOldestUs) {
      ledger_.record_answer(answered.digest, before(now, answered.age_us), true);
    }
  }
  for (const routing::SuspectRequest& listed : hello.suspects_listed) {
    const auto left = std::chrono::milliseconds(listed.blocked_for_ms);
    if (listed.digest != 0 && left <= kLongestListed) {
      ledger_.import_suspect(now, {listed.digest, listed.crashes, now + left});
    }
  }
  for (routing::CrashSuspect& suspect : blocked) {
    const auto suspects = ledger_.suspects();
    const auto found = std::find_if(
        suspects.begin(), suspects.end(),
        [&](const routing::CrashSuspect& other) { return other.digest == suspect.digest; });
    suspect = found == suspects.end() ? suspect : *found;
  }
  return blocked;
}

std::vector<routing::SuspectRequest> FleetSuspects::suspects(common::TimePoint now) const {
  std::vector<routing::CrashSuspect> suspects = ledger_.suspects();
  if (suspects.size() > routing::kMaxSuspects) {
    std::partial_sort(suspects.begin(), suspects.begin() + routing::kMaxSuspects, suspects.end(),
                      [](const auto& a, const auto& b) { return a.crashes > b.crashes; });
    suspects.resize(routing::kMaxSuspects);
  }
  std::vector<routing::SuspectRequest> told;
  for (const routing::CrashSuspect& suspect : suspects) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(suspect.blocked_until - now).count();
    const auto bounded =
        std::clamp<std::int64_t>(left, 0, std::numeric_limits<std::uint32_t>::max());
    told.push_back({suspect.digest, static_cast<std::uint32_t>(bounded), suspect.crashes});
  }
  return told;
}

}  // namespace planktray::controller
