#pragma once
/// The leader's view of the rate limits that back ends announce to routers. Of all reports on a
/// back end the newest counts. The view is not replicated: routers report their limits to a new
/// leader.

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "common/time.hpp"
#include "routing/table_messages.hpp"

namespace planktray::controller {

struct FleetLimitsOptions {
  /// Maximum number of limits published to routers, at about 20 bytes each in every update. For the
  /// others, each router applies the limits that it has received itself.
  std::size_t maximum_published = routing::kMaxLimits;
  /// A limit that no router has received again for this long is removed: its back end gets hardly
  /// any requests, and would otherwise never get any again.
  common::Duration memory = std::chrono::seconds(20);
};

class FleetLimits {
 public:
  explicit FleetLimits(FleetLimitsOptions options) : options_(options) {}

  void begin_term() { limits_.clear(); }
  void add_reports(common::TimePoint now, const std::vector<routing::LimitReport>& reports);
  /// The back end's limit in requests per second, or nullopt if it has none.
  std::optional<double> limit_of(common::BackendId backend) const;
  /// The limits that updates carry to routers.
  struct Published {
    std::vector<routing::TargetLimit> limits;
    bool is_complete = true;
  };
  /// Returns the fraction of the requests for a back end's keys that may be sent, or nullopt if
  /// the back end owns no keys or the demand is unknown.
  using Admission = std::function<std::optional<double>(common::BackendId, double per_second)>;
  Published published(const Admission& admission) const;
  /// Removes old limits and those of back ends that no longer exist.
  void expire(common::TimePoint now, const std::function<bool(common::BackendId)>& is_known);
  bool empty() const { return limits_.empty(); }

 private:
  struct Limit {
    std::optional<double> per_second;  ///< nullopt: the limit has ended
    common::TimePoint received;        ///< by the router that reported it
  };

  FleetLimitsOptions options_;
  std::map<common::BackendId, Limit> limits_;
};

}  // namespace planktray::controller
