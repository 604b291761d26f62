#pragma once
/// Smoothed requests per second for each key of the keyed services, from the reports of routers.

#include <cstdint>
#include <map>
#include <vector>

#include "common/time.hpp"
#include "ownership/key_ranges.hpp"
#include "routing/table_messages.hpp"

namespace planktray::ownership {

struct KeyRate {
  std::uint32_t key = 0;
  double rate = 0;  ///< requests per second
};

/// Keeps exponentially smoothed request rates of keys.
class KeyLoads {
 public:
  /// @param half_life time after which the weight of an observation is halved.
  explicit KeyLoads(common::Duration half_life) : half_life_(half_life) {}

  /// Adds request counts reported by a router.
  void add(const std::vector<routing::KeyLoad>& loads);
  /// Updates the smoothed rates with the counts added since the last call.
  void fold(common::TimePoint now);
  /// Drops all loads and counts; observation starts again at `now`.
  void clear(common::TimePoint now);
  /// Returns the smoothed requests per second for one key.
  double rate(common::ServiceId service, std::uint32_t key) const;
  /// Returns the smoothed requests per second for a range of keys.
  double rate(common::ServiceId service, const KeyRange& keys) const;
  /// Returns the estimated requests per second for a range of keys. Unlike rate(), the estimate is
  /// not too low shortly after clear(), and it follows a significant increase in the last fold
  /// immediately.
  double demand(common::ServiceId service, const KeyRange& keys) const;
  /// Returns the time from clear() to the last fold.
  common::Duration observed_time() const { return folded_at_ - cleared_at_; }
  /// Returns the busiest key, by its requests between the last two folds where those are
  /// significant, otherwise by its smoothed rate. The rate is 0 if there is no such key.
  KeyRate hottest(common::ServiceId service) const;
  /// Returns the keys of a range with recent requests, in ascending order.
  std::vector<KeyRate> busy_keys(common::ServiceId service, const KeyRange& keys) const;

 private:
  struct ServiceLoads {
    std::map<std::uint32_t, float> counted;      ///< requests since the last fold
    std::map<std::uint32_t, float> rates;        ///< smoothed rates of at least kMinRate
    std::map<std::uint32_t, float> last_counts;  ///< requests between the last two folds
    KeyRate burst;                               ///< the busiest key between the last two folds
  };

  common::Duration half_life_;
  common::TimePoint folded_at_;
  common::TimePoint cleared_at_;
  double last_interval_s_ = 1;  ///< between the last two folds
  std::map<common::ServiceId, ServiceLoads> services_;
};

}  // namespace planktray::ownership
