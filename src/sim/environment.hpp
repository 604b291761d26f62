#pragma once
/// What every simulated node shares: virtual time, network, history and measures, and the switches
/// that take safeguards away for mutants.

#include <string>
#include <utility>
#include <vector>

#include "common/random.hpp"
#include "sim/history.hpp"
#include "sim/measures.hpp"
#include "sim/network.hpp"
#include "sim/scheduler.hpp"

namespace planktray::sim {

/// All true in the product. A mutant takes one away; the checks must notice.
struct Safeguards {
  bool backends_fence = true;           ///< back ends check lease and epoch
  bool disks_sync = true;               ///< sync() makes bytes last
  bool clocks_within_margin = true;     ///< clock rates differ by less than the margin allows
  bool voters_refuse_early = true;      ///< no vote while a leader was heard lately
  bool leaders_wait = true;             ///< a new leader waits out older grants
  bool unknown_is_not_resent = true;    ///< no retry without proof of not run
  bool unknown_is_told = true;          ///< "unknown" is never called "not run"
  bool answers_are_matched = true;      ///< an answer must carry the request's id
  bool answers_are_whole = true;        ///< a truncated answer is no answer
  bool tables_expire = true;            ///< a router stops without confirmation
  bool leaving_refuse = true;           ///< a leaving back end is taken out of use
  bool stops_drain = true;              ///< a planned stop finishes what is in flight
  bool new_folder_new_identity = true;  ///< a replaced disk does not vote under its old name
};

/// How back ends answer badly at present.
struct AnswerFaults {
  double crossed = 0;    ///< share of answers that carry another request's id
  double truncated = 0;  ///< share of answers cut short
  double closed = 0;     ///< share of connections closed after the work ran, without an answer
};

/// A line about the inside of a run.
struct Note {
  TimePoint time;
  std::string text;
};

struct Environment {
  explicit Environment(std::uint64_t seed)
      : random(seed), network(scheduler, random), fault_random(seed ^ 0x5bd1e995U) {}

  void observe(Observation what) { history.add(scheduler.now(), std::move(what)); }
  /// A line for readers of a replay; no check looks at it.
  void note(std::string what) { notes.push_back({scheduler.now(), std::move(what)}); }
  TimePoint now() const { return scheduler.now(); }

  Scheduler scheduler;
  common::RandomEngine random;
  Network network;
  common::RandomEngine fault_random;
  History history;
  Measures measures;
  Safeguards safeguards;
  AnswerFaults answer_faults;
  std::vector<Note> notes;
};

}  // namespace planktray::sim
