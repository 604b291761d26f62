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

TEST_CASE("the age of a table counts from the time it is current for, not from its arrival") {
  TableFreshness freshness = fresh_at(1000);
  CHECK(freshness.status(at(3000)) == TableStatus::kCurrent);
  CHECK(freshness.status(at(3001)) == TableStatus::kTooOld);
  freshness.on_confirmed(at(9000), at(1500));  // arrives late
  CHECK(freshness.status(at(9000)) == TableStatus::kTooOld);
  freshness.on_confirmed(at(9100), at(1200));  // arrives late and out of order
  CHECK(freshness.as_of() == at(1500));
}

TEST_CASE("a confirmation with a time in the future is ignored") {
  TableFreshness freshness = fresh_at(1000);
  freshness.on_confirmed(at(1100), at(50'000));
  CHECK(freshness.as_of() == at(1000));
}

TEST_CASE("contact is lost only after the timeout since the first unanswered hello") {
  TableFreshness freshness = fresh_at(1000);
  CHECK(freshness.status(at(60'000)) == TableStatus::kTooOld);  // no hello was sent
  freshness.on_asked(at(60'000));
  freshness.on_asked(at(61'000));
  CHECK(freshness.status(at(61'249)) == TableStatus::kTooOld);
  CHECK(freshness.status(at(61'250)) == TableStatus::kOutOfContact);
  freshness.on_answered();
  CHECK(freshness.status(at(61'251)) == TableStatus::kTooOld);
}

TEST_CASE("missing answers during a suspension of the router do not mean lost contact") {
  TableFreshness freshness = fresh_at(1000);
  freshness.on_asked(at(1100));
  freshness.on_woken(at(9000), at(1350));
  CHECK(freshness.status(at(9000)) == TableStatus::kTooOld);
  freshness.on_asked(at(9000));
  freshness.on_woken(at(9700), at(9300));  // an overloaded event loop, no suspension
  CHECK(freshness.status(at(10'250)) == TableStatus::kOutOfContact);
}

TEST_CASE("with a maximum age of 0, a table of any age is fresh") {
  TableFreshness freshness({milliseconds(0), milliseconds(1250), milliseconds(500)});
  CHECK(freshness.status(at(60'000)) == TableStatus::kCurrent);
}

}  // namespace
}  // namespace planktray::routing
