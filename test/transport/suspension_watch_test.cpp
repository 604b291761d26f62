/// Detection of machine suspensions from the boot clock and the steady clock.

#include "transport/suspension_watch.hpp"

#include <doctest/doctest.h>

namespace planktray::transport {
namespace {

using std::chrono::milliseconds;

ClockReading reading(std::int64_t boot_ms, std::int64_t steady_ms) {
  return {milliseconds(boot_ms), milliseconds(steady_ms)};
}

// Guards against an outage of seconds that the log does not distinguish from a slow process.
TEST_CASE("time that only the boot clock counts is a suspension") {
  SuspensionWatch watch;
  CHECK_FALSE(watch.observe(reading(500'000, 20'000)).has_value());
  CHECK_FALSE(watch.observe(reading(500'100, 20'100)).has_value());
  const auto suspended = watch.observe(reading(504'200, 20'200));
  REQUIRE(suspended.has_value());
  CHECK(*suspended == milliseconds(4000));
  CHECK_FALSE(watch.observe(reading(504'300, 20'300)).has_value());
}

TEST_CASE("a stopped process or one without processor time does not count as suspended") {
  SuspensionWatch watch;
  CHECK_FALSE(watch.observe(reading(1000, 1000)).has_value());
  CHECK_FALSE(watch.observe(reading(9000, 9000)).has_value());
  CHECK_FALSE(watch.observe(reading(9100, 9060))
                  .has_value());  // within the tolerance for the time between the two readings
}

TEST_CASE("each of several suspensions is reported") {
  SuspensionWatch watch;
  watch.observe(reading(1000, 1000));
  CHECK(watch.observe(reading(3000, 1100)) == milliseconds(1900));
  CHECK(watch.observe(reading(5000, 1200)) == milliseconds(1900));
}

}  // namespace
}  // namespace planktray::transport
