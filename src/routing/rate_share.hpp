#pragma once
/// One router's share of the rate of requests that all routers together may send to a target.
///
/// No router knows what the others send, and the rate may be below one request per second for
/// hundreds of routers. Each router has one send slot every `routers / (share * rate)` seconds,
/// starting at a random time. A slot is usable for `open_for` and then lost. So all routers
/// together send at most `share * rate` requests per second, at independent times, even after
/// partitions, restarts or long times without demand.
///
/// With many routers, the number of requests in a period is Poisson distributed. For a rate of 4.2,
/// a share of 0.6 and 68 routers, a second with more than 14 requests has a probability below 1e-7.

#include <cstdint>
#include <unordered_map>

#include "common/ids.hpp"
#include "common/random.hpp"
#include "common/time.hpp"

namespace planktray::routing {

struct RateShareOptions {
  /// Fraction of the rate that all routers together use on average. The rest covers random
  /// variation and routers that do not know the rate yet.
  double share = 0.6;
  /// How long a send slot stays usable. While there is no demand, all routers together have
  /// `open_for * share * rate` unused slots at any time, which is the largest burst when demand
  /// comes. The slots of one second are within every bound that allows for random variation.
  common::Duration open_for = std::chrono::milliseconds(1000);
  /// Safeguard; disabled only in mutants.
  bool is_enabled = true;
};

class RateShare {
 public:
  explicit RateShare(RateShareOptions options) : options_(options) {}

  /// Whether this router may send a request to the target now.
  /// @param rate requests per second that the target accepts; 0: no limit.
  /// @param routers number of routers that send to the target.
  bool allows(common::TimePoint now, common::BackendId target, double rate, std::uint32_t routers,
              common::RandomEngine& random);
  /// Uses a slot for a request that was sent to the target.
  void on_sent(common::TimePoint now, common::BackendId target, double rate, std::uint32_t routers);
  /// Drops the target's slots; the next call of allows() draws a new random start. For targets
  /// whose rate is limited by other means for a time.
  void forget(common::BackendId target) { slots_.erase(target); }
  /// Drops targets that are no longer limited.
  template <typename IsLimited>
  void keep_only(const IsLimited& is_limited) {
    std::erase_if(slots_, [&](const auto& item) { return !is_limited(item.first); });
  }

 private:
  struct Slot {
    common::TimePoint next;        ///< start of the next slot
    common::Duration interval{0};  ///< between slots, as of the last call
  };

  common::Duration interval(double rate, std::uint32_t routers) const;
  /// Applies a changed interval and skips slots that have expired unused.
  void update(common::TimePoint now, Slot& slot, common::Duration interval,
              common::RandomEngine& random) const;

  RateShareOptions options_;
  std::unordered_map<common::BackendId, Slot> slots_;
};

}  // namespace planktray::routing
