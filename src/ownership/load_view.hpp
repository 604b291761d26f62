#pragma once
/// Load of shards as routers count it, smoothed. Volatile: a new leader starts with none.

#include <map>
#include <vector>

#include "common/time.hpp"
#include "routing/table_messages.hpp"

namespace planktray::ownership {

class LoadView {
 public:
  /// @param half_life time after which an old observation counts half.
  explicit LoadView(common::Duration half_life = std::chrono::seconds(5)) : half_life_(half_life) {}

  /// Adds what one router counted since its last report.
  void add(const std::vector<routing::ShardLoad>& loads);
  /// Folds what was added since the last call into the smoothed rates.
  void fold(common::TimePoint now);
  /// Requests a second of one shard, smoothed.
  double rate(common::ServiceId service, common::ShardNumber shard) const;
  void clear();

 private:
  struct ServiceLoad {
    std::vector<double> counted;
    std::vector<double> rates;
  };

  common::Duration half_life_;
  common::TimePoint folded_at_;
  std::map<common::ServiceId, ServiceLoad> services_;
};

}  // namespace planktray::ownership
