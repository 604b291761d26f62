#include "ownership/target_times.hpp"

#include <doctest/doctest.h>

#include <vector>

namespace planktray::ownership {
namespace {

/// Back ends of one service, by the order in which they registered.
struct Pool {
  CellState state;
  std::vector<BackendId> backends;

  explicit Pool(std::uint64_t count) {
    for (std::uint64_t index = 1; index <= count; ++index) {
      RegisterBackend registration;
      const std::string name = "t" + std::to_string(index);
      registration.machine = common::MachineName(name);
      registration.address = name + ":1";
      registration.pool = common::PoolName("ledger");
      registration.incarnation = common::Incarnation(name);
      registration.contract = static_cast<std::uint8_t>(OwnershipContract::kFencedGrant);
      state.apply(LogIndex(index), registration);
      backends.emplace_back(index);
    }
  }
};

TEST_CASE("a slow target's share is smaller than its speed, a fast one's greater") {
  const Pool pool(3);
  TargetTimes times(0.04);
  times.add({{pool.backends[0], 400'000, 100},
             {pool.backends[1], 240'000, 100},
             {pool.backends[2], 144'000, 100}});
  const Capacities alike = times.capacities(pool.state, 1.0);
  CHECK(alike.of(pool.backends[0]) == doctest::Approx(0.6).epsilon(0.05));
  CHECK(alike.of(pool.backends[2]) == doctest::Approx(1.67).epsilon(0.05));
  const Capacities weighed = times.capacities(pool.state, 1.5);
  CHECK(weighed.of(pool.backends[0]) == doctest::Approx(0.465).epsilon(0.08));
  CHECK(weighed.of(pool.backends[1]) == doctest::Approx(1.0).epsilon(0.02));
  CHECK(weighed.of(pool.backends[2]) > alike.of(pool.backends[2]));
}

TEST_CASE("one slow request does not make a target slow, twenty do") {
  const Pool pool(3);
  TargetTimes times(0.04);
  times.add({{pool.backends[0], 1'000'000, 1},
             {pool.backends[1], 250'000, 20},
             {pool.backends[2], 250'000, 20}});
  CHECK(times.capacities(pool.state).of(pool.backends[0]) > 0.6);
  times.add({{pool.backends[0], 1'000'000, 20}});
  CHECK(times.capacities(pool.state).of(pool.backends[0]) < 0.5);
}

TEST_CASE("the first requests count alike, whatever their order") {
  const Pool pool(2);
  TargetTimes times(0.04);
  times.add({{pool.backends[0], 750'000, 1}, {pool.backends[1], 250'000, 12}});
  for (int i = 0; i < 11; ++i) {
    times.add({{pool.backends[0], 250'000, 1}});
  }
  CHECK(times.capacities(pool.state).of(pool.backends[0]) > 0.9);
}

}  // namespace
}  // namespace planktray::ownership
