#pragma once
/// Experiments on the users' measures: one deployment, one scenario, one policy, no random faults.

#include <string>
#include <vector>

#include "common/error.hpp"
#include "sim/fleet.hpp"

namespace planktray::sim {

enum class Scenario : std::uint8_t {
  kSteady,                ///< peak load at half of the capacity
  kHotKey,                ///< the same, with a hot key that changes 200 times a minute
  kOverload,              ///< half as much again as the capacity
  kLoss,                  ///< a back end of the keyed service dies every 10 s and comes back
  kLeaderLoss,            ///< the controllers' leader dies every 10 s and comes back
  kLeaderAndBackendLoss,  ///< both at the same moment
  kRollingRestart,        ///< every back end and router stops as planned, one after the other
};

struct BenchOptions {
  Deployment deployment;
  Scenario scenario = Scenario::kSteady;
  ownership::BalanceMode balance = ownership::BalanceMode::kBudgeted;
  routing::SubsetPolicy subset = routing::SubsetPolicy::kDeterministicAperture;
  routing::ChoicePolicy choice = routing::ChoicePolicy::kPowerOfTwoChoices;
  std::uint64_t seed = 1;
  Duration measured = std::chrono::seconds(60);
};

struct BenchResult {
  Measures measures;
  double offered_per_second = 0;
  double capacity_per_second = 0;
  std::uint64_t cut_requests = 0;  ///< unfinished at planned stops
};

/// Requests a second that the bottleneck service allows under the deployment's mix.
double capacity_of(const Deployment& deployment);

BenchResult run_bench(const BenchOptions& options);

common::Result<Scenario> parse_scenario(const std::string& name);
std::string_view to_string(Scenario scenario);
const std::vector<Scenario>& all_scenarios();
common::Result<ownership::BalanceMode> parse_balance(const std::string& name);
common::Result<routing::SubsetPolicy> parse_subset(const std::string& name);
common::Result<routing::ChoicePolicy> parse_choice(const std::string& name);

}  // namespace planktray::sim
