#include "sim/mutants.hpp"

namespace planktray::sim {

const std::vector<Mutant>& all_mutants() {
  static const std::vector<Mutant> kMutants = {
      {"ignore-fence",
       "back ends check lease and epoch",
       [](Safeguards& safeguards) { safeguards.backends_fence = false; },
       {Fault::kFreezeBackend, Fault::kCutTwoWay, Fault::kMoveShards},
       {Promise::kSoleOwner}},
      {"lying-disk",
       "sync makes bytes last",
       [](Safeguards& safeguards) { safeguards.disks_sync = false; },
       {Fault::kKillAllControllers},
       {Promise::kNeverReverts, Promise::kAssignmentSurvives}},
      {"drift-beyond-margin",
       "clock rates stay within the lease margin",
       [](Safeguards& safeguards) { safeguards.clocks_within_margin = false; },
       {Fault::kClockDrift, Fault::kCutTwoWay, Fault::kCutOneWay},
       {Promise::kSoleOwner}},
      {"early-votes",
       "voters refuse while they heard a leader lately",
       [](Safeguards& safeguards) { safeguards.voters_refuse_early = false; },
       {Fault::kStaggeredCut},
       {Promise::kSoleOwner}},
      {"no-wait-after-election",
       "a new leader waits out older grants",
       [](Safeguards& safeguards) { safeguards.leaders_wait = false; },
       {Fault::kKillLeader, Fault::kCutOneWay, Fault::kCutTwoWay},
       {Promise::kSoleOwner}},
      {"resend-unknown",
       "no retry without proof of not run",
       [](Safeguards& safeguards) { safeguards.unknown_is_not_resent = false; },
       {Fault::kClosedConnections, Fault::kTruncatedAnswers},
       {Promise::kAtMostOnce}},
      {"claim-not-run",
       "unknown is never called not run",
       [](Safeguards& safeguards) { safeguards.unknown_is_told = false; },
       {Fault::kClosedConnections, Fault::kTruncatedAnswers},
       {Promise::kNotRunIsTrue}},
      {"foreign-answers",
       "an answer carries the request's id",
       [](Safeguards& safeguards) { safeguards.answers_are_matched = false; },
       {Fault::kCrossedAnswers},
       {Promise::kOwnAnswer}},
      {"cut-answers",
       "an answer is whole",
       [](Safeguards& safeguards) { safeguards.answers_are_whole = false; },
       {Fault::kTruncatedAnswers},
       {Promise::kOwnAnswer}},
      {"keep-table",
       "a router stops without confirmation",
       [](Safeguards& safeguards) { safeguards.tables_expire = false; },
       {Fault::kIsolateRouter, Fault::kOperatorRaces},
       {Promise::kInForceInTime}},
      {"ignore-leaving",
       "a leaving back end says so and refuses",
       [](Safeguards& safeguards) { safeguards.leaving_refuse = false; },
       {Fault::kStopBackend},
       {Promise::kLeavingGetsNoWork}},
      {"stop-at-once",
       "a planned stop finishes what is in flight",
       [](Safeguards& safeguards) { safeguards.stops_drain = false; },
       {Fault::kStopBackend, Fault::kStopRouter},
       {Promise::kPlannedStopCutsNothing}},
      {"old-identity",
       "an empty folder is a new replica",
       [](Safeguards& safeguards) { safeguards.new_folder_new_identity = false; },
       {Fault::kLostDisk, Fault::kKillController, Fault::kCutTwoWay, Fault::kOperatorRaces},
       {Promise::kNeverReverts, Promise::kAssignmentSurvives}}};
  return kMutants;
}

MutantVerdict hunt(const Mutant& mutant, const RunOptions& base, std::uint64_t maximum_seeds) {
  MutantVerdict verdict;
  RunOptions options = base;
  options.faults = mutant.faults;
  mutant.apply(options.safeguards);
  for (std::uint64_t seed = 1; seed <= maximum_seeds; ++seed) {
    options.seed = seed;
    const RunResult result = run_once(options);
    for (const Violation& violation : result.violations) {
      if (mutant.caught_by.contains(violation.promise)) {
        verdict.caught = true;
        verdict.seed = seed;
        verdict.violation = violation;
        return verdict;
      }
    }
  }
  return verdict;
}

}  // namespace planktray::sim
