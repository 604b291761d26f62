#pragma once
/// Back ends that have stated in an answer to this router that they are leaving. The router
/// respects the statement regardless of its table and of its contact with controllers.
///
/// A statement applies to one incarnation of a back end, since a back end ID identifies an
/// incarnation, and is never withdrawn.

#include <optional>
#include <unordered_map>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace planktray::routing {

using common::BackendId;
using common::Duration;
using common::TimePoint;

class StatedDepartures {
 public:
  /// @param promised time after the statement from which the back end gets no more requests; 0: no
  /// such promise.
  explicit StatedDepartures(Duration promised) : promised_(promised) {}

  /// An answer of the back end states that it is leaving. @return true for the first statement.
  bool on_stated(TimePoint now, BackendId id) { return stated_at_.try_emplace(id, now).second; }
  bool has_stated(BackendId id) const { return stated_at_.contains(id); }
  /// When the back end gets no more requests; std::nullopt if it has not stated a departure or if
  /// nothing is promised.
  std::optional<TimePoint> closes_at(BackendId id) const {
    const auto found = stated_at_.find(id);
    const bool is_open = promised_.count() == 0 || found == stated_at_.end();
    return is_open ? std::nullopt : std::optional(found->second + promised_);
  }
  /// Drops back ends for which `keep(id)` is false.
  template <typename Keep>
  void keep_only(const Keep& keep) {
    std::erase_if(stated_at_, [&](const auto& item) { return !keep(item.first); });
  }
  /// Calls `visit(id)` for each back end that has stated its departure.
  template <typename Visit>
  void for_each(const Visit& visit) const {
    for (const auto& item : stated_at_) {
      visit(item.first);
    }
  }

 private:
  Duration promised_;
  std::unordered_map<BackendId, TimePoint> stated_at_;
};

}  // namespace planktray::routing
