#pragma once
/// Back ends that have told this router in an answer that they are leaving. A router keeps to it
/// whatever its table says, and whether it hears of controllers or not.
///
/// A word holds for one incarnation, since back ends are named by incarnations here, and to its
/// end.

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
  /// @param promised a back end that is leaving gets nothing more after this time; 0: no promise.
  explicit StatedDepartures(Duration promised) : promised_(promised) {}

  /// An answer of the back end said so. @return true where that is news.
  bool on_stated(TimePoint now, BackendId id) { return said_at_.try_emplace(id, now).second; }
  bool has_stated(BackendId id) const { return said_at_.contains(id); }
  /// When the back end is to get nothing more; nothing where it has not said so, or where nothing
  /// is promised.
  std::optional<TimePoint> closes_at(BackendId id) const {
    const auto found = said_at_.find(id);
    const bool is_open = promised_.count() == 0 || found == said_at_.end();
    return is_open ? std::nullopt : std::optional(found->second + promised_);
  }
  /// Forgets back ends that `keep(id)` is false for.
  template <typename Keep>
  void keep_only(const Keep& keep) {
    std::erase_if(said_at_, [&](const auto& item) { return !keep(item.first); });
  }
  template <typename Visit>
  void for_each(const Visit& visit) const {
    for (const auto& item : said_at_) {
      visit(item.first);
    }
  }

 private:
  Duration promised_;
  std::unordered_map<BackendId, TimePoint> said_at_;
};

}  // namespace planktray::routing
