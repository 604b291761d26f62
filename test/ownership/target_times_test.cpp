#include "ownership/target_times.hpp"

#include <doctest/doctest.h>

#include <vector>

namespace planktray::ownership {
namespace {

/// Back ends of one service, in the order of registration.
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

// Guards against assigning too many keys to a target whose first request happened to be short.
TEST_CASE("one short request does not make a target fast") {
  const Pool pool(3);
  TargetTimes times(0.04);
  times.add({{pool.backends[0], 40'000, 1},
             {pool.backends[1], 220'000, 20},
             {pool.backends[2], 220'000, 20}});
  CHECK(times.capacities(pool.state).of(pool.backends[0]) < 1.3);
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

TEST_CASE("the first requests have equal weight, regardless of their order") {
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
