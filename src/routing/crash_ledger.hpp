#pragma once
/// Detects requests that crash every target that begins to run them, as distinct from requests that
/// only ran on a target when it ended, or lost their answer.
///
/// A request is identified by a digest of its contents, since it is repeated in new attempts at any
/// router. A crash is counted for a request if a connection ended while the request waited for its
/// answer there, and nothing listens at the target's address right after. One crash proves nothing,
/// since all requests in flight at a target end with it. The proof is a sequence of `threshold`
/// crashes
///  - at different targets: a target that fails all its requests proves nothing about one of them;
///  - each of an attempt sent after the previous crash: when many targets end at the same moment,
///    all requests in flight end with them;
///  - at least `spacing` apart: requests that were in flight at the same target are repeated at the
///    same moment and often meet again at the next target;
///  - without a successful answer to the same digest in between: a request that crashes its targets
///    never gets one, and a common, innocent request gets one soon.
///
/// A crash is not counted for a request if another request in flight at the same target has crashed
/// more targets, at least `threshold`: that request explains the crash.
///
/// If a fifth of the targets crash once, independently, while a request is in flight there, a
/// sequence of three has a probability of 0.008 for a request whose caller repeats it immediately
/// each time, and only that request is refused.

#include <cstdint>
#include <map>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace planktray::routing {

/// Digest of a request's contents, equal for all attempts of the same request. 0: not known.
using RequestDigest = std::uint64_t;

/// A connection to `backend` ended while the request waited for its answer, because the target had
/// ended.
struct CrashEvent {
  RequestDigest digest = 0;
  common::BackendId backend;
  common::TimePoint sent;
  common::TimePoint ended;
};

struct CrashLedgerOptions {
  /// Consecutive crashes after which a request is refused. A threshold of two would also refuse
  /// innocent requests that meet the same crashing request again at their second target: one in 14
  /// of the requests that share a target, in a service of 14 targets.
  std::uint32_t threshold = 3;
  /// Crashes are forgotten this long after the last one. A single crash is forgotten after
  /// `single_memory`, since each ending target leaves one for every request in flight there.
  common::Duration memory = std::chrono::minutes(10);
  common::Duration single_memory = std::chrono::minutes(1);
  /// How long a request is refused at first; the time doubles with each further crash. Afterwards
  /// the request is admitted again, since its targets may have been fixed.
  common::Duration first_block = std::chrono::minutes(2);
  common::Duration longest_block = std::chrono::hours(1);
  /// A request counts as sent after a crash even if it was sent up to this much earlier: times from
  /// different routers are compared by their ages, which include the network latency of the
  /// reports.
  common::Duration overlap = std::chrono::milliseconds(50);
  /// Crashes closer together than this count once. Longer than the retries of one request by a
  /// router take (a few ms), shorter than callers wait before they repeat a request. With no
  /// spacing, 4 of 72 million innocent requests were refused in 2,000 simulated runs, each after it
  /// had met the same crashing request again.
  common::Duration spacing = std::chrono::milliseconds(150);
  /// Maximum number of crashes kept per digest. Routers report crashes in any order.
  std::size_t max_events = 16;
  /// Maximum number of digests. The one whose last crash or refusal is oldest is evicted first.
  std::size_t max_requests = 512;
  /// Safeguard; disabled only in mutants: requires each crash to follow the previous one.
  bool in_sequence = true;
};

/// A request that has crashed targets.
struct CrashSuspect {
  RequestDigest digest = 0;
  std::uint32_t crashes = 0;  ///< consecutive
  common::TimePoint blocked_until;
};

class CrashLedger {
 public:
  explicit CrashLedger(CrashLedgerOptions options) : options_(options) {}

  void clear() { entries_.clear(); }
  /// @return true if the request is refused from now on and was not refused before.
  bool record_crash(const CrashEvent& event);
  /// Records a successful answer to the request, which clears its crashes up to `answered`.
  /// @param remember records the answer even if no crash is known yet, since earlier crashes may
  /// still be reported. @return true if the request was a suspect.
  bool record_answer(RequestDigest digest, common::TimePoint answered, bool remember);
  /// Takes over a suspect from a ledger that is lost: its consecutive crashes up to now, and how
  /// long it is refused.
  void import_suspect(common::TimePoint now, const CrashSuspect& suspect);
  bool is_blocked(common::TimePoint now, RequestDigest digest) const;
  /// True if one more crash causes the request to be refused.
  bool is_suspect(RequestDigest digest) const;
  /// All requests that have crashed a target.
  std::vector<CrashSuspect> suspects() const;
  void expire(common::TimePoint now);

 private:
  struct Entry {
    std::vector<CrashEvent> events;  ///< by time of end; at most one per target
    std::uint32_t consecutive = 0;   ///< longest sequence of consecutive crashes
    std::uint32_t imported = 0;  ///< consecutive crashes from another ledger, up to `imported_at`
    common::TimePoint imported_at;
    common::TimePoint last_end;
    common::TimePoint last_answer;  ///< newest successful answer
    common::TimePoint blocked_until;
    common::Duration block{0};
  };
  /// For each target, the largest number of targets crashed by one of the requests that were in
  /// flight there when it ended; 0 if that number is below `threshold`.
  using Explanations = std::map<common::BackendId, std::size_t>;
  /// Length of the longest sequence of consecutive crashes. @param after crashes up to then are
  /// ignored.
  std::uint32_t longest_sequence(const Entry& entry, const Explanations& explanations,
                                 common::TimePoint after) const;
  /// Recomputes the sequences of all requests. A request whose crashes are explained by others is
  /// no longer refused.
  void update_sequences();
  bool is_suspect(const Entry& entry) const { return entry.consecutive + 1 >= options_.threshold; }
  /// Evicts the oldest request if the ledger is full.
  void evict_if_full();

  CrashLedgerOptions options_;
  std::map<RequestDigest, Entry> entries_;
};

}  // namespace planktray::routing
