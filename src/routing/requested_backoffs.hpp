#pragma once
/// Back ends that have turned this router away and named a time for which it should stay away.
///
/// A plain state machine: answers and the time in. A time holds for one incarnation, since back
/// ends are named by incarnations here; answers of others are not handed in.
///
/// Invariants:
///  - Of several times the latest end holds; no answer to a request that was sent before ends it.
///  - After the end one request at a time goes there until one of these is answered.

#include <algorithm>
#include <optional>
#include <unordered_map>

#include "common/ids.hpp"
#include "common/random.hpp"
#include "common/time.hpp"

namespace planktray::routing {

using common::BackendId;
using common::Duration;
using common::TimePoint;

struct RequestedBackoffOptions {
  /// No longer time is believed.
  Duration longest = std::chrono::hours(24);
  /// Routers that were turned away together come back apart: each adds a time of its own, up to
  /// this part of what was asked for and not more than `longest_spread`.
  double spread = 0.2;
  Duration longest_spread = std::chrono::milliseconds(500);
};

class RequestedBackoffs {
 public:
  explicit RequestedBackoffs(RequestedBackoffOptions options) : options_(options) {}

  /// The back end has turned a request away and wants nothing for this time.
  /// @return true where that is news: it has not asked before, or its time was up.
  bool on_requested(TimePoint now, BackendId id, Duration time, common::RandomEngine& random);
  /// A request goes to the back end.
  void on_sent(TimePoint now, BackendId id);
  /// The request that was sent at `sent` was answered.
  void on_answered(BackendId id, TimePoint sent);
  /// It has ended otherwise.
  void on_ended(BackendId id, TimePoint sent);
  /// Forgets back ends that `keep(id)` is false for.
  template <typename Keep>
  void keep_only(const Keep& keep) {
    std::erase_if(backoffs_, [&](const auto& item) { return !keep(item.first); });
  }

  /// When the back end may be asked again; nothing where it may be now.
  std::optional<TimePoint> ends_at(TimePoint now, BackendId id) const;
  /// True where the back end has had its one request since the end of its time, and not answered it
  /// yet.
  bool is_on_trial(BackendId id) const;
  bool empty() const { return backoffs_.empty(); }
  /// Calls `visit(id, end)` for each back end that wants nothing now.
  template <typename Visit>
  void for_each(TimePoint now, const Visit& visit) const {
    for (const auto& [id, backoff] : backoffs_) {
      if (now < backoff.end) {
        visit(id, backoff.end);
      }
    }
  }
  /// Back ends that want nothing now.
  std::size_t count(TimePoint now) const;

 private:
  RequestedBackoffOptions options_;
  struct Backoff {
    TimePoint end;
    std::optional<TimePoint> trial_sent;  ///< the one request since the end, while it is under way
  };
  /// Kept beyond their end, until a request that was sent after it is answered.
  std::unordered_map<BackendId, Backoff> backoffs_;
};

}  // namespace planktray::routing
