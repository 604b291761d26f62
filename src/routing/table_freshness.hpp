#pragma once
/// How old a router's table is, as its controllers have confirmed it.
///
/// Invariant: whatever was acknowledged to anybody before `as_of()`, a moment of the router's own
/// clock, is in the router's table.

#include <optional>

#include "common/time.hpp"

namespace planktray::routing {

class TableFreshness {
 public:
  /// The table is as it was at `as_of` or newer. Confirmations may come late and out of order.
  void on_confirmed(common::TimePoint as_of);

  /// @return nothing before the first confirmation.
  std::optional<common::TimePoint> as_of() const { return as_of_; }
  /// Time since as_of(); nothing before the first confirmation.
  std::optional<common::Duration> age(common::TimePoint now) const;

 private:
  std::optional<common::TimePoint> as_of_;
};

}  // namespace planktray::routing
