#pragma once
/// The leader's list of requests that crash their targets, made of what all routers report.
/// Volatile: routers report what they have seen to each new leader again.

#include <vector>

#include "common/time.hpp"
#include "routing/crash_ledger.hpp"
#include "routing/table_messages.hpp"

namespace planktray::controller {

class FleetSuspects {
 public:
  explicit FleetSuspects(routing::CrashLedgerOptions options) : ledger_(options) {}

  void begin_term() { ledger_.clear(); }
  /// Takes one router's report. @return requests that are refused from now on, for the log.
  std::vector<routing::CrashSuspect> on_hello(common::TimePoint now,
                                              const routing::RouterHello& hello);
  /// What routers are told, the longest blocked first where there are too many.
  std::vector<routing::SuspectRequest> suspects(common::TimePoint now) const;

 private:
  routing::CrashLedger ledger_;
};

}  // namespace planktray::controller
