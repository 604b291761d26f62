#pragma once
/// One router's part of the requests that cold targets bear.
///
/// A cold target bears a few requests a second from all routers together: fewer than there are
/// routers, and none of them knows what the others send. Each sends one request to it per
/// `routers / (share * rate)` seconds, the first at a random moment of that time. So all together
/// send `share * rate` a second on average, at independent moments, whatever each knows of the
/// others, is cut off from, or has forgotten; with 68 routers, a rate of 4.2 and a share of 0.6 a
/// second with more than 14 requests has a probability below 1e-7.

#include <cstdint>
#include <unordered_map>

#include "common/ids.hpp"
#include "common/random.hpp"
#include "common/time.hpp"

namespace planktray::routing {

struct ColdLimitOptions {
  /// Part of the rate that all routers together use on average. The rest covers chance, and routers
  /// that do not know yet that the target is cold.
  double share = 0.6;
  /// Safeguard; off only in mutants.
  bool holds = true;
};

class ColdLimit {
 public:
  explicit ColdLimit(ColdLimitOptions options) : options_(options) {}

  /// @param rate requests a second that the target bears while it is cold; 0: no bound.
  /// @param routers that send to it.
  bool allows(common::TimePoint now, common::BackendId target, double rate, std::uint32_t routers,
              common::RandomEngine& random);
  /// A request was sent to the cold target.
  void on_sent(common::TimePoint now, common::BackendId target, double rate, std::uint32_t routers);
  /// Forgets targets that are not cold any more.
  template <typename IsCold>
  void keep_only(const IsCold& is_cold) {
    std::erase_if(next_, [&](const auto& item) { return !is_cold(item.first); });
  }

 private:
  common::Duration interval(double rate, std::uint32_t routers) const;

  ColdLimitOptions options_;
  std::unordered_map<common::BackendId, common::TimePoint> next_;  ///< when one more may be sent
};

}  // namespace planktray::routing
