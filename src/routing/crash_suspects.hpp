#pragma once
/// Requests that crash their targets, as known to one router: crashes that it has observed and
/// reports to the leader, and the leader's list, which combines the reports of all routers.
///
/// Nothing is stored on disk. Routers keep their observations for `CrashLedgerOptions::memory` and
/// report them again to each new leader, which rebuilds the list from the first hellos.

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
  /// How long this router refuses a request by its own ledger alone. Bridges the time until the
  /// leader's list arrives.
  common::Duration local_block = std::chrono::milliseconds(3000);
  /// A lost connection is dropped after this time if it is still unknown whether its target ended,
  /// which one probe of the target's address shows.
  common::Duration pending_memory = std::chrono::milliseconds(5000);
  /// Maximum number of crashes, and of successful answers, kept for the leader. The oldest are
  /// dropped first.
  std::size_t max_kept = 256;
  /// Safeguards; disabled only in mutants.
  bool is_enabled = true;
  bool probes_target = true;  ///< a lost connection alone is no crash
};

class CrashSuspects {
 public:
  explicit CrashSuspects(CrashSuspectsOptions options);

  /// A connection ended while a request waited. @return true if the caller is to probe the target
  /// and report the result by on_target_gone() or on_target_alive().
  bool on_connection_ended(const CrashEvent& event);
  /// The target has ended. @return true if the leader should receive the report early, since it may
  /// complete a sequence of crashes.
  bool on_target_gone(common::TimePoint now, common::BackendId target);
  /// The target is alive: its connections ended for other reasons.
  void on_target_alive(common::BackendId target) { pending_.erase(target); }
  /// A target has answered the request.
  void on_answered(common::TimePoint now, RequestDigest digest);
  /// Replaces the leader's list. @param asked_at when the newest hello that the leader had read for
  /// the list was sent.
  void on_leader_list(common::TimePoint now, common::TimePoint asked_at, common::Term term,
                      const std::vector<SuspectRequest>& listed);
  /// True if there are suspects to compare answers and arriving requests with, so that their
  /// digests are needed.
  bool any() const { return !listed_.empty() || !inherited_.empty() || !own_.empty(); }
  /// Like is_suspect(), but also counts lost connections whose targets have not been probed yet.
  bool may_be_suspect(RequestDigest digest) const;
  bool is_blocked(common::TimePoint now, RequestDigest digest) const;
  /// True if one more crash causes the request to be refused. This router does not retry it.
  bool is_suspect(RequestDigest digest) const;
  /// Adds to `hello` what the leader has not acknowledged yet, at most `limit` items of each kind.
  void report(common::TimePoint now, std::size_t limit, RouterHello& hello);
  /// Number of requests that the leader's list refuses now.
  std::size_t blocked(common::TimePoint now) const;

 private:
  template <typename Item>
  struct Kept {
    Item item;
    common::TimePoint reported;  ///< time of the first hello to this leader with the item
    bool acknowledged = false;   ///< this leader has read the item
  };
  struct Answered {
    RequestDigest digest = 0;
    common::TimePoint at;
  };
  template <typename Item>
  static void acknowledge(std::deque<Kept<Item>>& kept, common::TimePoint asked_at);
  /// Marks all items as not reported, since a new leader has none of them.
  template <typename Item>
  static void report_again(std::deque<Kept<Item>>& kept);
  /// Calls `add` for each item that the leader has not acknowledged, at most `limit` times.
  template <typename Item, typename Add>
  void report_each(common::TimePoint now, std::size_t limit, std::deque<Kept<Item>>& kept,
                   const Add& add);
  void expire(common::TimePoint now);
  /// Keeps the previous leader's list until the new leader has read it.
  void inherit_list();

  CrashSuspectsOptions options_;
  CrashLedger ledger_;  ///< of this router's own events
  /// Lost connections whose targets have not been probed yet.
  std::map<common::BackendId, std::vector<CrashEvent>> pending_;
  std::deque<Kept<CrashEvent>> own_;
  std::deque<Kept<Answered>> answered_;
  common::Term term_;
  using List = std::unordered_map<RequestDigest, CrashSuspect>;
  List listed_;
  /// The list of the previous leader, until the current leader has read it. It is the only copy if
  /// the routers that observed the crashes have restarted.
  List inherited_;
  common::TimePoint inherited_reported_;  ///< time of the first hello to this leader with it
};

}  // namespace planktray::routing
