#pragma once
/// Whether a router may decide with the table that it has.
///
/// What controllers acknowledge is promised to be in use at every router within a time that does
/// not depend on how full the leader is, on the way or on the router. So a router that is in
/// contact with its controllers decides only with a table that it knows to be young enough. One
/// that nobody answers is cut off, or its controllers have no leader; nothing new is acknowledged
/// behind its back where it could be in touch, and its callers are better served by the last table
/// than not.
///
/// Invariant: whatever was acknowledged to anybody before `as_of()`, a moment of the router's own
/// clock, is in the router's table.

#include <optional>

#include "common/time.hpp"

namespace planktray::routing {

struct FreshnessOptions {
  /// The oldest table to decide with while in contact; 0: any. Set to what is promised to operators
  /// less the time that a request takes to its back end.
  common::Duration max_age = std::chrono::milliseconds(2000);
  /// Contact is lost once nobody has answered for this long since the router asked. Two rounds of
  /// questions to other controllers (0.5 and 0.75 s) and an election (0.5 s) fit into it.
  common::Duration contact_timeout = std::chrono::milliseconds(1250);
  /// A router that does something this much later than it had planned was stopped meanwhile: that
  /// nobody answered then says nothing. Turns of a full router's loop are some 60 ms.
  common::Duration stall = std::chrono::milliseconds(500);
  /// No younger table is asked for, whatever a decision takes to come into effect.
  common::Duration shortest_max_age = std::chrono::milliseconds(500);
};

/// What a table is good for.
enum class TableStatus {
  kCurrent,       ///< young enough for every decision
  kTooOld,        ///< in contact, and older than allowed: nothing may be decided with it
  kOutOfContact,  ///< the last that was known; it does not show that something is not there
};

class TableFreshness {
 public:
  explicit TableFreshness(FreshnessOptions options) : options_(options) {}

  /// The router has asked a controller.
  void on_asked(common::TimePoint now);
  /// A controller that leads, or follows one that does, has said something.
  void on_answered() { asked_since_.reset(); }
  /// The router acts at `now`, and had planned to at `due`.
  void on_woken(common::TimePoint now, common::TimePoint due);
  /// The table is as it was at `as_of` or newer. Confirmations may come late and out of order; one
  /// from the future was made for an earlier life of this router's clock and is passed over.
  void on_confirmed(common::TimePoint now, common::TimePoint as_of);

  /// @param extra what the decision takes to come into effect beyond what `max_age` allows for.
  TableStatus status(common::TimePoint now, common::Duration extra = {}) const;
  /// @return nothing before the first confirmation.
  std::optional<common::TimePoint> as_of() const { return as_of_; }
  /// Time since as_of(); nothing before the first confirmation.
  std::optional<common::Duration> age(common::TimePoint now) const;
  /// True where the table is so old that other controllers should be asked for a newer one.
  bool is_aging(common::TimePoint now) const;
  const FreshnessOptions& options() const { return options_; }

 private:
  FreshnessOptions options_;
  std::optional<common::TimePoint> as_of_;
  std::optional<common::TimePoint> asked_since_;  ///< the first question without any answer since
};

}  // namespace planktray::routing
