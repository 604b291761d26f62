#pragma once
/// Decides whether a router's table is fresh enough to route requests with.
///
/// Every change that the controllers acknowledge is promised to be in use at all routers within a
/// fixed time, independent of the load of the leader, the network and the router. A router that is
/// in contact with its controllers therefore uses its table only up to a maximum age. A router that
/// gets no answers is partitioned, or its controllers have no leader. No change that it could
/// receive is acknowledged meanwhile, so it continues with its last table, which serves callers
/// better than refusing all requests.
///
/// Invariant: the router's table contains every change that was acknowledged before `as_of()`, a
/// time of the router's own clock.

#include <optional>

#include "common/time.hpp"

namespace planktray::routing {

struct FreshnessOptions {
  /// Maximum age of the table while in contact; 0: unlimited. Set to the time promised to operators
  /// minus the time that a request takes to reach its back end.
  common::Duration max_age = std::chrono::milliseconds(2000);
  /// Contact is lost when no controller has answered for this long after the first unanswered
  /// hello. Leaves time for two queries to other controllers (at 0.5 and 0.75 s) and an election
  /// (0.5 s).
  common::Duration contact_timeout = std::chrono::milliseconds(1250);
  /// A router that wakes up this much later than planned was suspended, and missing answers during
  /// that time do not mean lost contact. One turn of an overloaded router's event loop takes about
  /// 60 ms.
  common::Duration stall = std::chrono::milliseconds(500);
  /// Lower bound of the maximum age, however long a decision takes to come into effect.
  common::Duration shortest_max_age = std::chrono::milliseconds(500);
};

/// Whether a table may be used for decisions.
enum class TableStatus {
  kCurrent,       ///< fresh enough for every decision
  kTooOld,        ///< in contact, but older than allowed; must not be used
  kOutOfContact,  ///< last known table; an entry that it lacks may exist
};

class TableFreshness {
 public:
  explicit TableFreshness(FreshnessOptions options) : options_(options) {}

  /// The router has sent a hello or query to a controller.
  void on_asked(common::TimePoint now);
  /// A controller that is the leader, or follows one, has answered.
  void on_answered() { asked_since_.reset(); }
  /// The router's event loop has woken up at `now`, planned for `due`.
  void on_woken(common::TimePoint now, common::TimePoint due);
  /// The table contains all changes acknowledged before `as_of`. Confirmations may arrive late and
  /// out of order. A confirmation with a time in the future belongs to the clock of an earlier boot
  /// of this router and is ignored.
  void on_confirmed(common::TimePoint now, common::TimePoint as_of);

  /// @param extra time that the decision takes to come into effect, beyond what `max_age` allows
  /// for.
  TableStatus status(common::TimePoint now, common::Duration extra = {}) const;
  /// @return std::nullopt before the first confirmation.
  std::optional<common::TimePoint> as_of() const { return as_of_; }
  /// Time since as_of(); std::nullopt before the first confirmation.
  std::optional<common::Duration> age(common::TimePoint now) const;
  /// True if other controllers should be asked for a newer table.
  bool is_aging(common::TimePoint now) const;
  const FreshnessOptions& options() const { return options_; }

 private:
  FreshnessOptions options_;
  std::optional<common::TimePoint> as_of_;
  std::optional<common::TimePoint> asked_since_;  ///< first hello since the last answer
};

}  // namespace planktray::routing
