#pragma once
/// One router's knowledge of requests that crash their targets: what it has seen itself, which it
/// reports to the leader, and the leader's list, made of what all routers report.
///
/// Nothing of it is on disk. Routers keep what they saw for `CrashLedgerOptions::memory` and report
/// it again to each new leader, so that a list is made anew with the first hellos.

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "routing/crash_ledger.hpp"
#include "routing/table_messages.hpp"

namespace planktray::routing {

struct CrashSuspectsOptions {
  CrashLedgerOptions ledger;
  /// What this router finds alone is refused here for this long: until the leader's list has come.
  common::Duration local_block = std::chrono::milliseconds(3000);
  /// An end of a connection of which it is not known whether its target ended is dropped after this
  /// time. It takes one look at the target's address.
  common::Duration pending_memory = std::chrono::milliseconds(5000);
  /// Events and good answers kept for the leader at most; the oldest go first.
  std::size_t max_kept = 256;
  /// Safeguards; off only in mutants.
  bool is_enabled = true;
  bool probes_target = true;  ///< an end of a connection alone is no crash
};

class CrashSuspects {
 public:
  explicit CrashSuspects(CrashSuspectsOptions options);

  /// A connection ended while a request waited. @return true where it is to be found out whether
  /// its target has ended, by on_target_gone() or on_target_alive().
  bool on_connection_ended(const CrashEvent& event);
  /// The target has ended. @return true where the leader should hear of it soon: it may complete
  /// rows.
  bool on_target_gone(common::TimePoint now, common::BackendId target);
  /// The target lives: its connections ended for other reasons.
  void on_target_alive(common::BackendId target) { pending_.erase(target); }
  /// A target has run the request to an answer.
  void on_answered(common::TimePoint now, RequestDigest digest);
  /// The leader's list, by its time; @param asked_at when the hello was sent that it had read.
  void on_leader_list(common::TimePoint now, common::TimePoint asked_at, common::Term term,
                      const std::vector<SuspectRequest>& listed);
  /// True where answers and arrivals are to be compared with suspects: their digests are needed.
  bool any() const { return !listed_.empty() || !inherited_.empty() || !own_.empty(); }
  /// True where one crash more has it refused, with those that are not known to be crashes yet.
  bool may_be_suspect(RequestDigest digest) const;
  bool is_blocked(common::TimePoint now, RequestDigest digest) const;
  /// True where one crash more has it refused: it is not repeated by this router.
  bool is_suspect(RequestDigest digest) const;
  /// Adds what the leader has not acknowledged yet, `most` of each kind at most.
  void report(common::TimePoint now, std::size_t most, RouterHello& hello);
  std::size_t blocked(common::TimePoint now) const;

 private:
  template <typename What>
  struct Kept {
    What what;
    common::TimePoint reported;  ///< in the hello that was sent then, first to this leader
    bool acknowledged = false;   ///< this leader has read it
  };
  struct Answered {
    RequestDigest digest = 0;
    common::TimePoint at;
  };
  template <typename What>
  static void acknowledge(std::deque<Kept<What>>& kept, common::TimePoint asked_at);
  /// The leader is another one, and knows nothing.
  template <typename What>
  static void report_again(std::deque<Kept<What>>& kept);
  /// Calls `add` for each that the leader has not acknowledged.
  template <typename What, typename Add>
  void report_each(common::TimePoint now, std::size_t most, std::deque<Kept<What>>& kept,
                   const Add& add);
  void forget_old(common::TimePoint now);
  void take_over_list();

  CrashSuspectsOptions options_;
  CrashLedger ledger_;  ///< of this router's own events
  std::map<common::BackendId, std::vector<CrashEvent>> pending_;
  std::deque<Kept<CrashEvent>> own_;
  std::deque<Kept<Answered>> answered_;
  common::Term term_;
  using List = std::unordered_map<RequestDigest, CrashSuspect>;
  List listed_;
  /// The list of the leader before, until the present one has read it: it may be the only place
  /// that knows, where the routers that saw the crashes have restarted.
  List inherited_;
  common::TimePoint inherited_reported_;
};

}  // namespace planktray::routing
