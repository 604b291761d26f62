#include "platform/duration_text.hpp"

#include <doctest/doctest.h>

#include <string>

namespace planktray::platform {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a duration is a number with a unit") {
  CHECK(parse_duration("1500ms") == milliseconds(1500));
  CHECK(parse_duration("2.5s") == milliseconds(2500));
  CHECK(parse_duration("0ms") == milliseconds(0));
  CHECK(to_text(milliseconds(4000)) == "4000ms");
}

TEST_CASE("any other text is not a duration") {
  for (const std::string text : {"", "5", "ms", "-1s", "1m", "1 s", "1s ", "nan s", "1e99s"}) {
    CAPTURE(text);
    CHECK_FALSE(parse_duration(text).has_value());
  }
}

}  // namespace
}  // namespace planktray::platform
