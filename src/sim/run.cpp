#include "sim/run.hpp"

namespace planktray::sim {
namespace {

/// Recovery is looked for this often, and must then hold at the end of the run.
constexpr Duration kFinalReads = std::chrono::milliseconds(1000);

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
  scheduler.run_until(scheduler.now() + options.recovery - kFinalReads);
  fleet.callers().stop();
  const std::uint64_t reads_before = fleet.operators().reads_answered();
  fleet.operators().read_all();
  scheduler.run_until(scheduler.now() + kFinalReads);
  std::string missing = fleet.missing();
  if (missing.empty() && fleet.operators().reads_answered() == reads_before) {
    missing = "no read was answered";
  }
  environment.observe(RecoveryJudged{missing.empty(), missing});

  RunResult result;
  result.seed = options.seed;
  result.violations = check_history(environment.history);
  result.trace_hash = scheduler.digest() ^ environment.history.digest();
  result.simulated = scheduler.now() - TimePoint();
  result.actions = scheduler.executed();
  for (ControllerNode* controller : fleet.controllers()) {
    result.controller_bytes_synced += controller->persisted_bytes();
  }
  result.notes = std::move(environment.notes);
  result.measures = std::move(environment.measures);
  result.history = std::move(environment.history);
  return result;
}

}  // namespace planktray::sim
