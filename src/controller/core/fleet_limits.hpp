#pragma once
/// The leader's view of the limits that back ends name to routers: of all that routers report, the
/// newest word on each back end counts. Volatile: routers tell a new leader what they know.

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "common/time.hpp"
#include "routing/table_messages.hpp"

namespace planktray::controller {

struct FleetLimitsOptions {
  /// Limits told to routers at most, for about 20 bytes each in every update; beyond them each
  /// router keeps to what it has heard itself.
  std::size_t most_told = routing::kMaxLimits;
  /// A limit that no router has heard again for this long is forgotten: its back end has hardly any
  /// requests, and would otherwise get none for good.
  common::Duration memory = std::chrono::seconds(20);
};

class FleetLimits {
 public:
  explicit FleetLimits(FleetLimitsOptions options) : options_(options) {}

  void begin_term() { heard_.clear(); }
  void take(common::TimePoint now, const std::vector<routing::LimitReport>& reports);
  /// Requests a second that the back end takes, or nothing where it names no limit.
  std::optional<double> of(common::BackendId backend) const;
  /// What routers are told. @param admission part of the requests for a back end's keys that may be
  /// sent; nothing where it owns none, or demand is not known.
  struct Told {
    std::vector<routing::TargetLimit> limits;
    bool is_whole = true;
  };
  using Admission = std::function<std::optional<double>(common::BackendId, double per_second)>;
  Told told(const Admission& admission) const;
  /// Forgets what is old, and back ends that are gone.
  void expire(common::TimePoint now, const std::function<bool(common::BackendId)>& is_known);
  bool empty() const { return heard_.empty(); }

 private:
  struct Heard {
    std::optional<double> per_second;  ///< none: the limit has ended
    common::TimePoint at;
  };

  FleetLimitsOptions options_;
  std::map<common::BackendId, Heard> heard_;
};

}  // namespace planktray::controller
