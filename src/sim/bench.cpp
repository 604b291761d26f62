#include "sim/bench.hpp"

#include <algorithm>
#include <array>
#include <limits>

#include "sim/names.hpp"
#include "sim/restart.hpp"

namespace planktray::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWarmUp = seconds(10);
constexpr double kPeakShare = 0.5;
constexpr double kOverloadShare = 1.5;
constexpr Duration kHotShift = milliseconds(300);
constexpr Duration kLossInterval = seconds(10);
constexpr Duration kBackDelay = seconds(3);
constexpr Duration kRestartInterval = milliseconds(1500);

constexpr std::array kScenarios = {
    Named<Scenario>{"steady", Scenario::kSteady},
    Named<Scenario>{"hot-key", Scenario::kHotKey},
    Named<Scenario>{"overload", Scenario::kOverload},
    Named<Scenario>{"loss", Scenario::kLoss},
    Named<Scenario>{"leader-loss", Scenario::kLeaderLoss},
    Named<Scenario>{"leader-and-backend-loss", Scenario::kLeaderAndBackendLoss},
    Named<Scenario>{"rolling-restart", Scenario::kRollingRestart}};
constexpr std::array kBalances = {
    Named<ownership::BalanceMode>{"budgeted", ownership::BalanceMode::kBudgeted},
    Named<ownership::BalanceMode>{"modulo", ownership::BalanceMode::kModulo},
    Named<ownership::BalanceMode>{"consistent-hash", ownership::BalanceMode::kConsistentHash},
    Named<ownership::BalanceMode>{"greedy", ownership::BalanceMode::kGreedy}};
constexpr std::array kSubsets = {
    Named<routing::SubsetPolicy>{"full-mesh", routing::SubsetPolicy::kFullMesh},
    Named<routing::SubsetPolicy>{"random-subset", routing::SubsetPolicy::kRandomSubset},
    Named<routing::SubsetPolicy>{"aperture", routing::SubsetPolicy::kDeterministicAperture}};
constexpr std::array kChoices = {
    Named<routing::ChoicePolicy>{"p2c", routing::ChoicePolicy::kPowerOfTwoChoices},
    Named<routing::ChoicePolicy>{"least-outstanding", routing::ChoicePolicy::kLeastOutstanding},
    Named<routing::ChoicePolicy>{"round-robin", routing::ChoicePolicy::kRoundRobin}};

/// Which processes die together.
struct Losses {
  bool backend = false;
  bool leader = false;
};

void lose(Fleet& fleet, Environment& environment, Losses losses, std::size_t next) {
  // Not in step with renewals and heartbeats.
  const Duration jitter(common::uniform(environment.fault_random, 0, 500'000));
  environment.scheduler.after(kLossInterval + jitter, [&fleet, &environment, losses, next] {
    ControllerNode* leader = fleet.leader();
    if (losses.leader && leader != nullptr) {
      leader->kill(false);
      environment.scheduler.after(kBackDelay, [leader] { leader->start(); });
    }
    if (losses.backend) {
      // The keyed service's back ends come first.
      const std::size_t count = fleet.options().deployment.services.front().targets;
      BackendNode* backend = fleet.backends()[next % count];
      backend->kill();
      environment.scheduler.after(kBackDelay, [backend] { backend->start(); });
    }
    lose(fleet, environment, losses, next + 1);
  });
}

void restart_all(Fleet& fleet, Environment& environment, std::size_t next) {
  environment.scheduler.after(kRestartInterval, [&fleet, &environment, next] {
    const std::size_t backends = fleet.backends().size();
    const std::size_t routers = fleet.routers().size();
    const std::size_t controllers = fleet.controllers().size();
    if (next < backends) {
      fleet.backends()[next]->stop_as_planned();
      start_when_stopped(environment.scheduler, fleet.backends()[next], kStopPoll);
    } else if (next < backends + routers) {
      fleet.routers()[next - backends]->stop_as_planned();
      start_when_stopped(environment.scheduler, fleet.routers()[next - backends], kStopPoll);
    } else if (next < backends + routers + controllers) {
      ControllerNode* controller = fleet.controllers()[next - backends - routers];
      controller->kill(false);
      environment.scheduler.after(milliseconds(500), [controller] { controller->start(); });
    } else {
      return;
    }
    restart_all(fleet, environment, next + 1);
  });
}

}  // namespace

double capacity_of(const Deployment& deployment) {
  double capacity = std::numeric_limits<double>::max();
  for (const ServiceSize& service : deployment.services) {
    const double service_capacity =
        service.targets * service.slots * 1e6 / static_cast<double>(service.service_time.count());
    capacity = std::min(capacity, service_capacity / service.request_share);
  }
  return capacity;
}

BenchResult run_bench(const BenchOptions& options) {
  BenchResult result;
  result.capacity_per_second = capacity_of(options.deployment);
  const bool overloaded = options.scenario == Scenario::kOverload;
  result.offered_per_second =
      result.capacity_per_second * (overloaded ? kOverloadShare : kPeakShare);
  Environment environment(options.seed);
  FleetOptions fleet_options;
  fleet_options.deployment = options.deployment;
  fleet_options.planner.mode = options.balance;
  fleet_options.subset = options.subset;
  fleet_options.choice = options.choice;
  fleet_options.operators.racing = 1;
  fleet_options.operators.lost_answers = 0;
  fleet_options.callers.rate = result.offered_per_second;
  fleet_options.callers.hot_share = options.scenario == Scenario::kHotKey ? 0.05 : 0.0;
  fleet_options.callers.hot_shift = options.scenario == Scenario::kHotKey ? kHotShift : Duration(0);
  Fleet fleet(environment, fleet_options);
  Scheduler& scheduler = environment.scheduler;
  fleet.start();
  scheduler.run_until(scheduler.now() + kWarmUp);
  environment.measures.begin(scheduler.now());
  switch (options.scenario) {
    case Scenario::kLoss:
      lose(fleet, environment, {.backend = true, .leader = false}, 0);
      break;
    case Scenario::kLeaderLoss:
      lose(fleet, environment, {.backend = false, .leader = true}, 0);
      break;
    case Scenario::kLeaderAndBackendLoss:
      lose(fleet, environment, {.backend = true, .leader = true}, 0);
      break;
    case Scenario::kRollingRestart:
      restart_all(fleet, environment, 0);
      break;
    case Scenario::kSteady:
    case Scenario::kHotKey:
    case Scenario::kOverload:
      break;
  }
  scheduler.run_until(scheduler.now() + options.measured);
  environment.measures.end(scheduler.now());
  for (const HistoryEvent& event : environment.history.events()) {
    if (const auto* stop = std::get_if<PlannedStop>(&event.what)) {
      result.cut_requests += stop->unfinished;
    }
  }
  result.measures = std::move(environment.measures);
  return result;
}

common::Result<Scenario> parse_scenario(const std::string& name) {
  return parse_name(kScenarios, name, "scenario");
}

std::string_view to_string(Scenario scenario) { return name_in(kScenarios, scenario); }

const std::vector<Scenario>& all_scenarios() {
  static const std::vector<Scenario> kAll = values_of(kScenarios);
  return kAll;
}

common::Result<ownership::BalanceMode> parse_balance(const std::string& name) {
  return parse_name(kBalances, name, "policy");
}

common::Result<routing::SubsetPolicy> parse_subset(const std::string& name) {
  return parse_name(kSubsets, name, "subset");
}

common::Result<routing::ChoicePolicy> parse_choice(const std::string& name) {
  return parse_name(kChoices, name, "choice");
}

}  // namespace planktray::sim
