#include "sim/run.hpp"

namespace planktray::sim {
namespace {

/// The last part of a run, in which everything must be seen to serve.
constexpr Duration kJudging = std::chrono::milliseconds(1000);
constexpr Duration kJudgingStep = std::chrono::milliseconds(20);

/// Reads and looks until everything serves at one moment; a planned move may be under way at any
/// single one. @return what was missing last.
std::string judge_recovery(Environment& environment, Fleet& fleet) {
  Scheduler& scheduler = environment.scheduler;
  const std::uint64_t reads_before = fleet.operators().reads_answered();
  const TimePoint end = scheduler.now() + kJudging;
  bool recovered = false;
  std::string missing;
  while (scheduler.now() < end) {
    fleet.operators().read_all();
    scheduler.run_until(scheduler.now() + kJudgingStep);
    missing = fleet.missing();
    recovered = recovered || missing.empty();
  }
  if (!recovered) {
    return missing;
  }
  return fleet.operators().reads_answered() == reads_before ? "no read was answered" : "";
}

}  // namespace

RunResult run_once(const RunOptions& options) {
  Environment environment(options.seed);
  environment.safeguards = options.safeguards;
  Fleet fleet(environment, options.fleet);
  FaultInjector injector(fleet, {.faults = options.faults});
  Scheduler& scheduler = environment.scheduler;
  injector.prepare();
  fleet.start();
  scheduler.run_until(scheduler.now() + options.warm_up);
  environment.measures.begin(scheduler.now());
  injector.start();
  scheduler.run_until(scheduler.now() + options.faulty);
  environment.measures.end(scheduler.now());
  injector.stop();
  environment.observe(FaultsEnded{});
  fleet.operators().stop();
  scheduler.run_until(scheduler.now() + options.recovery - kJudging);
  fleet.callers().stop();
  const std::string missing = judge_recovery(environment, fleet);
  environment.observe(RecoveryJudged{missing.empty(), missing});

  RunResult result;
  result.seed = options.seed;
  result.violations = check_history(environment.history);
  result.trace_hash = scheduler.digest() ^ environment.history.digest();
  result.simulated = scheduler.now() - TimePoint();
  result.actions = scheduler.executed();
  result.notes = std::move(environment.notes);
  result.measures = std::move(environment.measures);
  result.history = std::move(environment.history);
  return result;
}

}  // namespace planktray::sim
