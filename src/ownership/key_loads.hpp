#pragma once
/// Requests a second for each key of the keyed services, as routers report them, smoothed.

#include <cstdint>
#include <map>
#include <vector>

#include "common/time.hpp"
#include "ownership/key_ranges.hpp"
#include "routing/table_messages.hpp"

namespace planktray::ownership {

struct KeyRate {
  std::uint32_t key = 0;
  double rate = 0;  ///< requests a second
};

class KeyLoads {
 public:
  /// @param half_life after which what was seen counts half.
  explicit KeyLoads(common::Duration half_life) : half_life_(half_life) {}

  void add(const std::vector<routing::KeyLoad>& loads);
  /// Takes what was added since the last call into the smoothed rates.
  void fold(common::TimePoint now);
  /// Begins anew, with what is added from now on.
  void clear(common::TimePoint now);
  /// Requests a second for one key.
  double rate(common::ServiceId service, std::uint32_t key) const;
  /// Requests a second for a range of keys.
  double rate(common::ServiceId service, const KeyRange& keys) const;
  /// Requests a second for a range of keys, not low while little was seen yet: freed of the time
  /// before clear(), and at once as high as the last fold where that is no chance.
  double demand(common::ServiceId service, const KeyRange& keys) const;
  /// Time since clear() that the rates cover.
  common::Duration observed_time() const { return folded_at_ - cleared_at_; }
  /// The busiest key, by what was seen since the last fold where that is enough to tell, by its
  /// smoothed rate otherwise; rate 0 where there is none.
  KeyRate hottest(common::ServiceId service) const;
  /// The keys of a range that had requests lately, in their order.
  std::vector<KeyRate> busy_keys(common::ServiceId service, const KeyRange& keys) const;

 private:
  struct ServiceLoads {
    std::map<std::uint32_t, float> counted;  ///< since the last fold
    std::map<std::uint32_t, float> rates;    ///< keys with a rate worth keeping
    std::map<std::uint32_t, float> last;     ///< counted between the last two folds
    KeyRate burst;                           ///< the busiest key between the last two folds
  };

  common::Duration half_life_;
  common::TimePoint folded_at_;
  common::TimePoint cleared_at_;
  double last_seconds_ = 1;  ///< between the last two folds
  std::map<common::ServiceId, ServiceLoads> services_;
};

}  // namespace planktray::ownership
