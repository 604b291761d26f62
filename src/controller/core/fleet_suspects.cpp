#include "controller/core/fleet_suspects.hpp"

#include <algorithm>
#include <limits>

namespace planktray::controller {
namespace {

/// Reports of older events than this are ignored: no leader keeps crashes for that long, so the
/// report is damaged.
constexpr std::uint64_t kMaxReportAgeUs = 3'600'000'000;

/// Entries of a former leader's list that block a request for longer than this are ignored.
constexpr common::Duration kMaxListedBlock = std::chrono::hours(1);

common::TimePoint before(common::TimePoint now, std::uint64_t age_us) {
  return now - common::Duration(static_cast<common::Duration::rep>(age_us));
}

}  // namespace

std::vector<routing::CrashSuspect> FleetSuspects::on_hello(common::TimePoint now,
                                                           const routing::RouterHello& hello) {
  ledger_.expire(now);
  std::vector<routing::CrashSuspect> blocked;
  // Reports within one hello are in the order in which the crashes were seen.
  for (const routing::CrashReport& report : hello.crashes) {
    if (report.sent_age_us > kMaxReportAgeUs || report.ended_age_us > report.sent_age_us) {
      continue;
    }
    const bool is_newly_blocked =
        ledger_.record_crash({report.digest, report.backend, before(now, report.sent_age_us),
                              before(now, report.ended_age_us)});
    if (is_newly_blocked) {
      blocked.push_back({report.digest, 0, {}});
    }
  }
  for (const routing::AnsweredSuspect& answered : hello.suspects_answered) {
    if (answered.age_us <= kMaxReportAgeUs) {
      ledger_.record_answer(answered.digest, before(now, answered.age_us), true);
    }
  }
  for (const routing::SuspectRequest& listed : hello.suspects_listed) {
    const auto left = std::chrono::milliseconds(listed.blocked_for_ms);
    if (listed.digest != 0 && left <= kMaxListedBlock) {
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
  std::vector<routing::SuspectRequest> published;
  for (const routing::CrashSuspect& suspect : suspects) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(suspect.blocked_until - now).count();
    const auto bounded =
        std::clamp<std::int64_t>(left, 0, std::numeric_limits<std::uint32_t>::max());
    published.push_back({suspect.digest, static_cast<std::uint32_t>(bounded), suspect.crashes});
  }
  return published;
}

}  // namespace planktray::controller
