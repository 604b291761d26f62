#pragma once
/// Tells requests that crash each target which begins to run them from those that only shared a
/// target's end, or lost their answer.
///
/// A request is known by a digest of what it is, since it comes again in new tries at any router.
/// It counts a crash where a connection ended while the request waited for its answer there, and
/// nobody listens at the target right after. One crash proves nothing: all that was under way at a
/// target ends with it. What is taken as proof is a row of `threshold` crashes
///  - at different targets: a target that fails all its requests proves nothing of one of them;
///  - one after the other, each sent after the one before had ended: targets that all end at one
///    moment take every request that is under way with them;
///  - apart by `spacing`: requests that share a target's end are repeated at the same moment, and
///    often meet again at the next target;
///  - without a good answer to the same digest in between: a request that crashes its targets never
///    has one, and a common request that is innocent has one soon.
///
/// A crash counts for no request where another one that was under way there has crashed more
/// targets, `threshold` at least: that one explains it.
///
/// Where a fifth of the targets crash by themselves once while a request is under way there, a row
/// of three has a probability of 0.008 for a request whose caller repeats it each time at once, and
/// costs that request alone.

#include <cstdint>
#include <map>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace planktray::routing {

/// What a request is, apart from the try: equal for two tries of the same request. 0: not known.
using RequestDigest = std::uint64_t;

/// A connection to `backend` ended while the request waited for its answer, since the target ended.
struct CrashEvent {
  RequestDigest digest = 0;
  common::BackendId backend;
  common::TimePoint sent;
  common::TimePoint ended;
};

struct CrashLedgerOptions {
  /// Crashes in a row after which a request is refused. Two would take innocent requests that
  /// met the same crashing request again at their second target: one in 14 at a service of 14
  /// targets, for each of the few that share a target.
  std::uint32_t threshold = 3;
  /// A crash is forgotten after this time; one that stands alone sooner, since each target that
  /// ends leaves one for all that was under way there.
  common::Duration memory = std::chrono::minutes(10);
  common::Duration single_memory = std::chrono::minutes(1);
  /// For how long a request is refused at first; twice as long after each further crash. Then it is
  /// let through once more: its targets may be mended.
  common::Duration first_block = std::chrono::minutes(2);
  common::Duration longest_block = std::chrono::hours(1);
  /// A request counts as sent after an earlier end also where it was sent this much before: times
  /// from several routers are compared by their ages, which differ by the ways of their messages.
  common::Duration overlap = std::chrono::milliseconds(50);
  /// Ends closer than this count once. Longer than the repeats within one try take (some ms),
  /// shorter than callers wait before they come again. Without it, 4 of 72 million proper requests
  /// of the simulator began to be refused in 2,000 runs, all after such a meeting.
  common::Duration spacing = std::chrono::milliseconds(150);
  /// Crashes of one digest that are kept at most; they come in any order from several routers.
  std::size_t max_events = 16;
  /// Digests that are kept at most; the one whose last crash is oldest goes first.
  std::size_t max_requests = 512;
  /// Safeguard; off only in mutants.
  bool in_sequence = true;
};

/// A request that crashed targets.
struct CrashSuspect {
  RequestDigest digest = 0;
  std::uint32_t crashes = 0;
  common::TimePoint blocked_until;
};

class CrashLedger {
 public:
  explicit CrashLedger(CrashLedgerOptions options) : options_(options) {}

  void clear() { entries_.clear(); }
  /// @return true where the request is refused from now on, and was not before.
  bool record_crash(const CrashEvent& event);
  /// The request had a good answer at this moment. @param remember also where no crash of it is
  /// known: older ones may still be reported. @return true where it was a suspect.
  bool record_answer(RequestDigest digest, common::TimePoint answered, bool remember);
  /// Another ledger, which is lost, knew so many crashes in a row by now, and had it refused until
  /// then.
  void import_suspect(common::TimePoint now, const CrashSuspect& suspect);
  bool is_blocked(common::TimePoint now, RequestDigest digest) const;
  /// True where one crash more has it refused.
  bool is_suspect(RequestDigest digest) const;
  /// All that have crashed a target.
  std::vector<CrashSuspect> suspects() const;
  void expire(common::TimePoint now);

 private:
  struct Entry {
    std::vector<CrashEvent> events;  ///< by their ends; one for each target
    std::uint32_t row = 0;           ///< longest that follow each other
    std::uint32_t adopted_row = 0;   ///< of another ledger, up to `adopted_at`
    common::TimePoint adopted_at;
    common::TimePoint last_end;
    common::TimePoint forgiven;  ///< a good answer came then
    common::TimePoint blocked_until;
    common::Duration block{0};
  };
  /// Most targets crashed by one request, at least `threshold`, of those that ended with a target.
  using Explained = std::map<common::BackendId, std::size_t>;
  /// @param after crashes up to then do not count.
  std::uint32_t longest_row(const Entry& entry, const Explained& explained,
                            common::TimePoint after) const;
  /// Works out all rows; a request whose crashes others explain is let through.
  void work_out_rows();
  bool is_suspect(const Entry& entry) const { return entry.row + 1 >= options_.threshold; }
  void make_room();

  CrashLedgerOptions options_;
  std::map<RequestDigest, Entry> entries_;
};

}  // namespace planktray::routing
