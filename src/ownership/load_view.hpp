#pragma once
/// Smoothed load of shards, from the request counts that routers report. Not replicated: a new
/// leader starts without loads.

#include <map>
#include <vector>

#include "common/time.hpp"
#include "routing/table_messages.hpp"

namespace planktray::ownership {

/// Keeps exponentially smoothed request rates of shards.
class LoadView {
 public:
  /// @param half_life time after which the weight of an observation is halved.
  explicit LoadView(common::Duration half_life = std::chrono::seconds(5)) : half_life_(half_life) {}

  /// Adds the requests that a router has counted since its last report.
  void add(const std::vector<routing::ShardLoad>& loads);
  /// Updates the smoothed rates with the counts added since the last call.
  void fold(common::TimePoint now);
  /// Returns the smoothed requests per second of a shard.
  double rate(common::ServiceId service, common::ShardNumber shard) const;
  void clear();

 private:
  struct ServiceLoad {
    std::vector<double> counted;  ///< requests since the last fold, by shard
    std::vector<double> rates;    ///< smoothed requests per second, by shard
  };

  common::Duration half_life_;
  common::TimePoint folded_at_;
  std::map<common::ServiceId, ServiceLoad> services_;
};

}  // namespace planktray::ownership
