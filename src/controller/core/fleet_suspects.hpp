#pragma once
/// The leader's list of requests that crash their targets, merged from the reports of all routers.
/// The list is not replicated: routers report the crashes that they have seen to each new leader.

#include <vector>

#include "common/time.hpp"
#include "routing/crash_ledger.hpp"
#include "routing/table_messages.hpp"

namespace planktray::controller {

class FleetSuspects {
 public:
  explicit FleetSuspects(routing::CrashLedgerOptions options) : ledger_(options) {}

  void begin_term() { ledger_.clear(); }
  /// Merges the reports in a router's hello.
  /// @return the requests that are newly blocked, for the log.
  std::vector<routing::CrashSuspect> on_hello(common::TimePoint now,
                                              const routing::RouterHello& hello);
  /// The suspects to publish to routers. Where there are more than a message may carry, those with
  /// the most crashes come first and the others are left out.
  std::vector<routing::SuspectRequest> suspects(common::TimePoint now) const;

 private:
  routing::CrashLedger ledger_;
};

}  // namespace planktray::controller
