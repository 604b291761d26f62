/// A router's estimates of the latency of its targets, and how long reports influence them.

#include "routing/target_book.hpp"

#include <doctest/doctest.h>

namespace planktray::routing {
namespace {

using std::chrono::milliseconds;

TimePoint at(std::int64_t value) { return common::from_microseconds((10'000 + value) * 1000); }

constexpr std::uint32_t kSlots = 3;

struct Fixture {
  TargetBook book{TargetBookOptions()};
  BackendId near{1};
  BackendId far{2};

  Fixture() {
    book.add(near, kSlots, false);
    book.add(far, kSlots, false);
  }
  /// A request that took 100 ms is answered at `time`, with this load report.
  void answer(std::int64_t time, BackendId id, const std::optional<LoadReport>& report) {
    book.on_sent(at(time - 100), id);
    book.on_answered(at(time), id, at(time - 100), report);
  }
  Duration expected_latency(std::int64_t time, BackendId id) const {
    return book.expected_latency(at(time), id);
  }
};

TEST_CASE("a reported queue increases the expected latency for a short time") {
  Fixture fixture;
  fixture.answer(0, fixture.near, LoadReport{3, 6, kSlots});
  fixture.answer(0, fixture.far, LoadReport{0, 0, kSlots});
  CHECK(fixture.expected_latency(1, fixture.near) > 2 * fixture.expected_latency(1, fixture.far));
  // Seconds later the old report no longer counts.
  const Duration later = fixture.expected_latency(4000, fixture.near);
  CHECK(later < fixture.expected_latency(1, fixture.near) / 2);
}

TEST_CASE("a reported pace applies at once and does not change the usual work time") {
  Fixture fixture;
  for (int i = 0; i < 40; ++i) {
    fixture.answer(i * 200, fixture.near, LoadReport{1, 0, kSlots, 100});
    fixture.answer(i * 200, fixture.far, LoadReport{1, 0, kSlots, 100});
  }
  fixture.book.on_sent(at(8000), fixture.near);
  fixture.book.on_answered(at(8300), fixture.near, at(8000), LoadReport{1, 0, kSlots, 300});
  CHECK(fixture.expected_latency(8301, fixture.near) >
        2 * fixture.expected_latency(8301, fixture.far));
  CHECK(fixture.expected_latency(11'000, fixture.near) <
        fixture.expected_latency(11'000, fixture.far) * 3 / 2);
}

// Guards against routers that permanently send nothing after all targets once reported long queues.
TEST_CASE("the typical load decays while there are no reports") {
  Fixture fixture;
  for (int i = 0; i < 200; ++i) {
    fixture.answer(i * 10, fixture.near, LoadReport{kSlots, 30, kSlots});
    fixture.answer(i * 10, fixture.far, LoadReport{kSlots, 30, kSlots});
  }
  CHECK(fixture.expected_latency(2000, fixture.near) > milliseconds(90));
  CHECK(fixture.expected_latency(12'000, fixture.near) < milliseconds(30));
}

TEST_CASE("missing reports are replaced by the typical load") {
  Fixture fixture;
  fixture.answer(0, fixture.near, std::nullopt);
  fixture.answer(0, fixture.far, LoadReport{0, 0, kSlots});
  CHECK(fixture.expected_latency(1, fixture.near) <=
        fixture.expected_latency(1, fixture.far) * 11 / 10);
}

// Guards against a target that becomes slow but still looks fast, because none of its answers
// arrives before the caller's deadline.
TEST_CASE("abandoned requests show that their target is slow") {
  Fixture fixture;
  for (int i = 0; i < 20; ++i) {
    fixture.answer(i * 100, fixture.near, LoadReport{1, 0, kSlots});
    fixture.answer(i * 100, fixture.far, LoadReport{1, 0, kSlots});
  }
  fixture.book.take_samples([](BackendId /*id*/, const WorkSamples& /*samples*/) {});
  for (int i = 0; i < 5; ++i) {
    fixture.book.on_sent(at(2000 + i * 10), fixture.near);
    fixture.book.on_given_up(at(4000 + i * 10), fixture.near, at(2000 + i * 10));
  }
  CHECK(fixture.book.outstanding(fixture.near) == 0);
  CHECK(fixture.expected_latency(4041, fixture.near) >
        3 * fixture.expected_latency(4041, fixture.far));
  std::uint32_t count = 0;
  fixture.book.take_samples([&](BackendId id, const WorkSamples& samples) {
    CHECK(id == fixture.near);
    CHECK(samples.sum_us / samples.count > 500'000);
    count += samples.count;
  });
  CHECK(count == 5);
}

TEST_CASE("a request abandoned before its answer is due is not a sample") {
  Fixture fixture;
  for (int i = 0; i < 20; ++i) {
    fixture.answer(i * 100, fixture.near, LoadReport{1, 0, kSlots});
  }
  const Duration before = fixture.expected_latency(2000, fixture.near);
  fixture.book.take_samples([](BackendId /*id*/, const WorkSamples& /*samples*/) {});
  fixture.book.on_sent(at(2000), fixture.near);
  fixture.book.on_given_up(at(2050), fixture.near, at(2000));
  CHECK(fixture.expected_latency(2050, fixture.near) <= before);
  bool has_samples = false;
  fixture.book.take_samples(
      [&](BackendId /*id*/, const WorkSamples& /*s*/) { has_samples = true; });
  CHECK_FALSE(has_samples);
}

TEST_CASE("a long queue does not make an overloaded owner look fast to the leader") {
  Fixture fixture;
  fixture.answer(0, fixture.near, LoadReport{3, 9, kSlots});
  double sample_us = 0;
  fixture.book.take_samples([&](BackendId /*id*/, const WorkSamples& samples) {
    sample_us = samples.sum_us / samples.count;
  });
  CHECK(sample_us == doctest::Approx(100'000.0));
}

}  // namespace
}  // namespace planktray::routing
