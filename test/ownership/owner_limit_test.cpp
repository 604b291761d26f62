#include "ownership/owner_limit.hpp"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

#include "ownership/grant_manager.hpp"

namespace planktray::ownership {
namespace {

constexpr std::size_t kMaximum = 20;

/// Keyed services, and targets that registered in the order of their numbers.
struct Fixture {
  CellState state;
  std::uint64_t index = 0;
  std::set<BackendId> ineligible;

  explicit Fixture(const std::vector<std::string>& services) {
    config::RouteChange change;
    change.version = 1;
    change.replaces_all = true;
    for (const std::string& name : services) {
      config::RoutedService service;
      service.name = common::ServiceName(name);
      service.keyed = true;
      change.services.push_back(service);
    }
    apply(ChangeRoutes{change});
  }
  void apply(const Command& command) { state.apply(LogIndex(++index), command); }
  BackendId add_target(const std::string& service) {
    const std::string name = "t" + std::to_string(index);
    RegisterBackend registration;
    registration.machine = common::MachineName(name);
    registration.address = name + ":1";
    registration.pool = common::PoolName(service);
    registration.incarnation = common::Incarnation(name);
    registration.contract = static_cast<std::uint8_t>(OwnershipContract::kFencedGrant);
    apply(registration);
    return BackendId(index);
  }
  void assign(const KeyRange& keys, BackendId owner) {
    const auto& [id, service] = *state.routed_services().begin();
    ApplyRangePlan plan;
    plan.assignments.push_back({id, keys, service.ranges.record_of(keys.first).fence, owner, ""});
    apply(plan);
  }
  OwnerLimit limit() const {
    return {state, kMaximum,
            [this](const BackendRecord& backend) { return !ineligible.contains(backend.id); }};
  }
  std::size_t admitted(const std::string& service) const {
    const OwnerLimit limit = this->limit();
    std::size_t count = 0;
    for (const auto& [id, backend] : state.backends()) {
      const bool is_counted =
          backend.pool.value == service && !ineligible.contains(id) && limit.admits(backend);
      count += is_counted ? 1 : 0;
    }
    return count;
  }
};

TEST_CASE("all targets may own keys where the leader can renew them all") {
  Fixture fixture({"ledger"});
  for (std::size_t i = 0; i < kMaximum; ++i) {
    fixture.add_target("ledger");
  }
  CHECK(fixture.admitted("ledger") == kMaximum);
  CHECK_FALSE(fixture.limit().is_reached(common::PoolName("ledger")));
}

/// Guards against owners by the thousand: at 4,272 the leader had 950 renewals a second to send, at
/// a limit of 200, and had no time left to lead.
TEST_CASE("no more targets own keys than the leader can renew") {
  Fixture fixture({"ledger"});
  for (std::size_t i = 0; i < 10 * kMaximum; ++i) {
    fixture.add_target("ledger");
  }
  CHECK(fixture.admitted("ledger") == kMaximum);
  CHECK(fixture.limit().is_reached(common::PoolName("ledger")));
}

TEST_CASE("an owner stays admitted and the place of one that leaves goes to the newest target") {
  Fixture fixture({"ledger"});
  std::vector<BackendId> targets;
  for (std::size_t i = 0; i < 2 * kMaximum; ++i) {
    targets.push_back(fixture.add_target("ledger"));
  }
  for (std::uint32_t i = 0; i < kMaximum; ++i) {
    fixture.assign({i, i == kMaximum - 1 ? config::kKeyCount - 1 : i}, targets[i]);
  }
  const auto admits = [&](std::size_t target) {
    return fixture.limit().admits(*fixture.state.find_backend(targets[target]));
  };
  CHECK(admits(0));
  CHECK(admits(kMaximum - 1));
  CHECK_FALSE(admits(kMaximum));
  CHECK_FALSE(admits(2 * kMaximum - 1));
  fixture.ineligible.insert(targets[3]);
  CHECK(admits(0));
  CHECK_FALSE(admits(kMaximum));
  CHECK(admits(2 * kMaximum - 1));
}

TEST_CASE("keyed services share the limit by their numbers of targets") {
  Fixture fixture({"large", "small"});
  for (std::size_t i = 0; i < 3 * kMaximum; ++i) {
    fixture.add_target("large");
  }
  for (std::size_t i = 0; i < kMaximum; ++i) {
    fixture.add_target("small");
    fixture.add_target("not keyed");
  }
  CHECK(fixture.admitted("large") == 15);
  CHECK(fixture.admitted("small") == 5);
  CHECK(fixture.admitted("not keyed") == kMaximum);
}

TEST_CASE("the renewals of as many owners as may be renewed keep to their rate") {
  GrantOptions options;
  options.renewals_per_second = 200;
  options.longest_hold_time = std::chrono::seconds(9);
  options.min_renewals_per_hold = 2;
  CHECK(renewable_owners(options) == 900);
}

}  // namespace
}  // namespace planktray::ownership
