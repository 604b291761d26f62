#include "routing/table_freshness.hpp"

#include <doctest/doctest.h>

namespace planktray::routing {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;

TimePoint at(std::int64_t value) { return common::from_microseconds(value * 1000); }

TableFreshness fresh_at(std::int64_t value) {
  TableFreshness freshness({milliseconds(2000), milliseconds(1250), milliseconds(500)});
  freshness.on_confirmed(at(value), at(value));
  return freshness;
}

TEST_CASE(
    "a table is good for the time that was set, counted from its moment and not its arrival") {
  TableFreshness freshness = fresh_at(1000);
  CHECK(freshness.status(at(3000)) == TableStatus::kCurrent);
  CHECK(freshness.status(at(3001)) == TableStatus::kTooOld);
  freshness.on_confirmed(at(9000), at(1500));  // late
  CHECK(freshness.status(at(9000)) == TableStatus::kTooOld);
  freshness.on_confirmed(at(9100), at(1200));  // late, and out of order
  CHECK(freshness.as_of() == at(1500));
}

TEST_CASE("a confirmation from the future is one for another life of the clock") {
  TableFreshness freshness = fresh_at(1000);
  freshness.on_confirmed(at(1100), at(50'000));
  CHECK(freshness.as_of() == at(1000));
}

TEST_CASE("contact is lost only where nobody has answered for long enough since the router asked") {
  TableFreshness freshness = fresh_at(1000);
  CHECK(freshness.status(at(60'000)) == TableStatus::kTooOld);  // it has not asked
  freshness.on_asked(at(60'000));
  freshness.on_asked(at(61'000));
  CHECK(freshness.status(at(61'249)) == TableStatus::kTooOld);
  CHECK(freshness.status(at(61'250)) == TableStatus::kOutOfContact);
  freshness.on_answered();
  CHECK(freshness.status(at(61'251)) == TableStatus::kTooOld);
}

TEST_CASE("a router that was stopped does not take the silence meanwhile for lost contact") {
  TableFreshness freshness = fresh_at(1000);
  freshness.on_asked(at(1100));
  freshness.on_woken(at(9000), at(1350));
  CHECK(freshness.status(at(9000)) == TableStatus::kTooOld);
  freshness.on_asked(at(9000));
  freshness.on_woken(at(9700), at(9300));  // a full loop, no stop
  CHECK(freshness.status(at(10'250)) == TableStatus::kOutOfContact);
}

TEST_CASE("without a promise every table is young enough") {
  TableFreshness freshness({milliseconds(0), milliseconds(1250), milliseconds(500)});
  CHECK(freshness.status(at(60'000)) == TableStatus::kCurrent);
}

}  // namespace
}  // namespace planktray::routing
