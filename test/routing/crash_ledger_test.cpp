/// Detection of requests that crash their targets, and of innocent requests that only ran there.

#include "routing/crash_ledger.hpp"

#include <doctest/doctest.h>

#include "controller/core/fleet_suspects.hpp"
#include "routing/crash_suspects.hpp"

namespace planktray::routing {
namespace {

using common::BackendId;
using common::Term;
using common::TimePoint;
using std::chrono::milliseconds;

constexpr RequestDigest kBad = 77;
constexpr RequestDigest kGood = 5;

TimePoint at(std::int64_t value) { return common::from_microseconds((100'000 + value) * 1000); }

/// A crash at `ended`, of a request sent `ran` ms before.
CrashEvent crash(RequestDigest digest, std::uint64_t backend, std::int64_t ended,
                 std::int64_t ran = 20) {
  return {digest, BackendId(backend), at(ended - ran), at(ended)};
}

TEST_CASE("a request that crashes three targets consecutively is refused for a while") {
  CrashLedger ledger{CrashLedgerOptions()};
  CHECK_FALSE(ledger.record_crash(crash(kBad, 1, 0)));
  CHECK_FALSE(ledger.is_suspect(kBad));
  CHECK_FALSE(ledger.record_crash(crash(kBad, 2, 500)));
  CHECK(ledger.is_suspect(kBad));
  CHECK_FALSE(ledger.is_blocked(at(600), kBad));
  CHECK(ledger.record_crash(crash(kBad, 3, 1000)));
  CHECK(ledger.is_blocked(at(1001), kBad));
  CHECK(ledger.is_blocked(at(120'000), kBad));
  CHECK_FALSE(ledger.is_blocked(at(122'000), kBad));    // its targets may have been fixed
  CHECK(ledger.record_crash(crash(kBad, 4, 123'000)));  // one more crash is sufficient
  CHECK(ledger.is_blocked(at(123'000 + 239'000), kBad));
  CHECK_FALSE(ledger.record_crash(crash(0, 9, 0)));
}

TEST_CASE("crashes may be reported in any order") {
  CrashLedger ledger{CrashLedgerOptions()};
  ledger.record_crash(crash(kBad, 3, 1000));
  ledger.record_crash(crash(kBad, 1, 0));
  CHECK(ledger.record_crash(crash(kBad, 2, 500)));
}

TEST_CASE("targets that end at the same time do not make their requests in flight suspect") {
  CrashLedger ledger{CrashLedgerOptions()};
  for (std::uint64_t target = 1; target <= 9; ++target) {
    CHECK_FALSE(
        ledger.record_crash(crash(kGood, target, 1000 + static_cast<std::int64_t>(target), 80)));
  }
  CHECK_FALSE(ledger.is_suspect(kGood));
}

TEST_CASE("repeated crashes of one target do not make a request suspect") {
  CrashLedger ledger{CrashLedgerOptions()};
  for (std::int64_t time = 0; time < 10'000; time += 1000) {
    CHECK_FALSE(ledger.record_crash(crash(kGood, 1, time)));
  }
  CHECK_FALSE(ledger.is_suspect(kGood));
}

TEST_CASE("a successful answer clears a request, even a refused one") {
  CrashLedger ledger{CrashLedgerOptions()};
  ledger.record_crash(crash(kBad, 1, 0));
  ledger.record_crash(crash(kBad, 2, 500));
  CHECK(ledger.record_answer(kBad, at(700), false));
  CHECK_FALSE(ledger.record_crash(crash(kBad, 3, 600)));  // crashed before the answer
  CHECK_FALSE(ledger.record_crash(crash(kBad, 4, 900)));
  CHECK_FALSE(ledger.record_crash(crash(kBad, 5, 1400)));
  CHECK(ledger.record_crash(crash(kBad, 6, 1900)));
  CHECK(ledger.record_answer(kBad, at(2000), false));
  CHECK_FALSE(ledger.is_blocked(at(2001), kBad));
}

TEST_CASE("crashes closer together than the spacing count once") {
  CrashLedger ledger{CrashLedgerOptions()};
  // Immediate retries: requests that shared the first target may share the next one.
  ledger.record_crash(crash(kGood, 1, 0, 60));
  ledger.record_crash(crash(kGood, 2, 4, 3));
  ledger.record_crash(crash(kGood, 3, 3000, 100));
  CHECK(ledger.is_suspect(kGood));
  CHECK_FALSE(ledger.is_blocked(at(3001), kGood));
}

TEST_CASE("a request is no suspect if another request explains its crashes") {
  CrashLedger ledger{CrashLedgerOptions()};
  for (std::uint64_t target = 1; target <= 3; ++target) {
    ledger.record_crash(crash(kGood, target, static_cast<std::int64_t>(target) * 500, 200));
  }
  CHECK(ledger.is_blocked(at(1600), kGood));  // no other explanation is known yet
  for (std::uint64_t target = 1; target <= 4; ++target) {
    ledger.record_crash(crash(kBad, target, static_cast<std::int64_t>(target) * 500));
  }
  CHECK(ledger.is_blocked(at(2100), kBad));
  CHECK_FALSE(ledger.is_blocked(at(2100), kGood));
  CHECK_FALSE(ledger.is_suspect(kGood));
}

TEST_CASE("an answer clears earlier crashes that are reported later") {
  CrashLedger ledger{CrashLedgerOptions()};
  CHECK_FALSE(ledger.record_answer(kGood, at(2000), true));
  for (std::uint64_t target = 1; target <= 4; ++target) {
    CHECK_FALSE(ledger.record_crash(crash(kGood, target, static_cast<std::int64_t>(target) * 400)));
  }
  CHECK_FALSE(ledger.is_suspect(kGood));
}

TEST_CASE("the ledger is bounded and evicts the oldest request first") {
  CrashLedgerOptions options;
  options.max_requests = 3;
  CrashLedger ledger(options);
  for (std::uint64_t target = 1; target <= 3; ++target) {
    ledger.record_crash(crash(kBad, target, static_cast<std::int64_t>(target) * 500));
  }
  for (RequestDigest digest = 100; digest < 120; ++digest) {
    ledger.record_crash(crash(digest, 1, 2000 + static_cast<std::int64_t>(digest)));
  }
  CHECK(ledger.is_blocked(at(3000), kBad));  // refused for two minutes, so the last to be evicted
  ledger.expire(at(3'600'000));
  CHECK_FALSE(ledger.is_suspect(kBad));
}

/// A router whose targets have ended whenever their connections end.
struct Router {
  CrashSuspects suspects{CrashSuspectsOptions()};
  void observe_crash(RequestDigest digest, std::uint64_t backend, std::int64_t ended) {
    if (suspects.on_connection_ended(crash(digest, backend, ended))) {
      suspects.on_target_gone(at(ended + 50), BackendId(backend));
    }
  }
  RouterHello hello(std::int64_t time) {
    RouterHello made;
    suspects.report(at(time), kMaxSuspects, made);
    return made;
  }
};

TEST_CASE("crashes observed by three routers cause all routers to refuse the request") {
  std::vector<Router> routers(5);
  controller::FleetSuspects leader{CrashLedgerOptions()};
  routers[0].observe_crash(kBad, 1, 0);
  routers[1].observe_crash(kBad, 2, 400);
  routers[2].observe_crash(kBad, 3, 800);
  CHECK(leader.on_hello(at(900), routers[1].hello(900)).empty());
  CHECK(leader.on_hello(at(901), routers[0].hello(901)).empty());
  const auto blocked = leader.on_hello(at(902), routers[2].hello(902));
  REQUIRE(blocked.size() == 1);
  CHECK(blocked[0].digest == kBad);
  CHECK(blocked[0].crashes == 3);
  for (Router& router : routers) {
    router.suspects.on_leader_list(at(1000), at(902), Term(1), leader.suspects(at(1000)));
    CHECK(router.suspects.is_blocked(at(1001), kBad));
    CHECK_FALSE(router.suspects.is_blocked(at(1001), kGood));
  }
  CHECK(routers[0].hello(1100).crashes.size() == 1);  // reported to the leader of this term
  routers[0].suspects.on_leader_list(at(1200), at(1100), Term(1), leader.suspects(at(1200)));
  CHECK(routers[0].hello(1300).crashes.empty());  // acknowledged by this leader

  // The routers report the crashes again to a new leader.
  controller::FleetSuspects next{CrashLedgerOptions()};
  for (Router& router : routers) {
    router.suspects.on_leader_list(at(2000), at(1100), Term(2), next.suspects(at(2000)));
    next.on_hello(at(2100), router.hello(2100));
  }
  CHECK(next.suspects(at(2200)).size() == 1);
  CHECK(next.suspects(at(2200))[0].blocked_for_ms > 100'000);
}

TEST_CASE("a list outlives its leader and the routers that observed the crashes") {
  Router router;
  router.suspects.on_leader_list(at(0), at(0), Term(1), {{kBad, 60'000, 3}, {kGood, 0, 1}});
  CHECK(router.suspects.is_blocked(at(1), kBad));
  controller::FleetSuspects next{CrashLedgerOptions()};
  router.suspects.on_leader_list(at(1000), at(900), Term(2), next.suspects(at(1000)));
  CHECK(router.suspects.is_blocked(at(1001), kBad));  // not known to the new leader yet
  next.on_hello(at(1100), router.hello(1100));
  REQUIRE(next.suspects(at(1200)).size() == 2);
  router.suspects.on_leader_list(at(1200), at(1100), Term(2), next.suspects(at(1200)));
  CHECK(router.suspects.is_blocked(at(50'000), kBad));
  CHECK_FALSE(router.suspects.is_blocked(at(62'000), kBad));
  CHECK(router.hello(1300).suspects_listed.empty());
}

TEST_CASE(
    "a sequence continues under a new leader after the routers that observed it have restarted") {
  controller::FleetSuspects leader{CrashLedgerOptions()};
  RouterHello hello;
  hello.suspects_listed = {{kBad, 0, 2}};
  leader.on_hello(at(1000), hello);
  leader.on_hello(at(1010), hello);  // another router has the same list
  Router router;
  router.observe_crash(kBad, 7, 2000);
  CHECK(leader.on_hello(at(2100), router.hello(2100)).size() == 1);
}

TEST_CASE("a lost connection to a live target is no crash") {
  CrashSuspects suspects{CrashSuspectsOptions()};
  for (std::uint64_t target = 1; target <= 9; ++target) {
    const auto ended = static_cast<std::int64_t>(target) * 500;
    CHECK(suspects.on_connection_ended(crash(kGood, target, ended)));
    CHECK_FALSE(suspects.on_connection_ended(crash(kGood, target, ended)));  // one probe for both
    suspects.on_target_alive(BackendId(target));
    CHECK_FALSE(suspects.on_target_gone(at(ended + 100), BackendId(target)));
  }
  CHECK_FALSE(suspects.any());
  CHECK_FALSE(suspects.is_blocked(at(5000), kGood));
}

TEST_CASE("a successful answer at one router clears the request for all routers") {
  Router router;
  controller::FleetSuspects leader{CrashLedgerOptions()};
  leader.on_hello(at(0), {});
  Router other;
  other.observe_crash(kGood, 1, 0);
  other.observe_crash(kGood, 2, 500);
  other.observe_crash(kGood, 3, 1000);
  leader.on_hello(at(1100), other.hello(1100));
  router.suspects.on_leader_list(at(1200), at(1150), Term(1), leader.suspects(at(1200)));
  CHECK(router.suspects.is_blocked(at(1201), kGood));
  router.suspects.on_answered(at(1300), kGood);  // sent before the request was refused
  CHECK_FALSE(router.suspects.is_blocked(at(1301), kGood));
  router.suspects.on_leader_list(at(1320), at(1310), Term(1),
                                 leader.suspects(at(1320)));  // the list of before the answer
  CHECK_FALSE(router.suspects.is_blocked(at(1321), kGood));
  leader.on_hello(at(1400), router.hello(1400));
  CHECK(leader.suspects(at(1500)).empty());
}

TEST_CASE("invalid reports are ignored, valid ones in the same hello are used") {
  controller::FleetSuspects leader{CrashLedgerOptions()};
  RouterHello hello;
  hello.crashes = {{kBad, BackendId(1), 10, 20},  // ended before it was sent
                   {kBad, BackendId(2), ~0ULL, ~0ULL},
                   {0, BackendId(3), 20, 10},
                   {kBad, BackendId(4), 2'000'000, 1'900'000},
                   {kBad, BackendId(5), 1'500'000, 1'400'000},
                   {kBad, BackendId(6), 1'000'000, 900'000}};
  hello.suspects_answered = {{kBad, ~0ULL}};
  CHECK(leader.on_hello(at(5000), hello).size() == 1);
}

}  // namespace
}  // namespace planktray::routing
