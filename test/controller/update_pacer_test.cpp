#include "controller/core/update_pacer.hpp"

#include <doctest/doctest.h>

namespace planktray::controller {
namespace {

TEST_CASE("the rate of updates falls without time left and rises slowly with it") {
  constexpr double kHighest = 1500;
  UpdatePacer pacer({}, kHighest);
  pacer.on_sample(0.2);
  CHECK(pacer.rate() == kHighest);
  pacer.on_sample(0.01);
  const double reduced = pacer.rate();
  CHECK(reduced < kHighest);
  pacer.on_sample(0.8);
  CHECK(pacer.rate() > reduced);
  CHECK(pacer.rate() - reduced < kHighest - reduced);
  for (int i = 0; i < 100; ++i) {
    pacer.on_sample(0);
  }
  CHECK(pacer.rate() == UpdatePacerOptions().lowest_rate);
  for (int i = 0; i < 100; ++i) {
    pacer.on_sample(1);
  }
  CHECK(pacer.rate() == kHighest);
}

}  // namespace
}  // namespace planktray::controller
