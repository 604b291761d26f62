#pragma once
/// One router's part of a rate of requests that all routers together send to a target.
///
/// None of them knows what the others send, and the rate may be below one request a second for
/// hundreds of routers. Each may send one request per `routers / (share * rate)` seconds, from a
/// random moment on, and only within `open_for` of that moment: what it has not used then is lost.
/// So all together send `share * rate` a second at most, at independent moments, whatever each
/// knows of the others, is cut off from, or has forgotten, and however long there was no demand.
///
/// With many routers the count in a time is Poisson distributed. For a rate of 4.2, a share of 0.6
/// and 68 routers, a second with more than 14 requests has a probability below 1e-7.

#include <cstdint>
#include <unordered_map>

#include "common/ids.hpp"
#include "common/random.hpp"
#include "common/time.hpp"

namespace planktray::routing {

struct RateShareOptions {
  /// Part of the rate that all routers together use on average. The rest covers chance, and routers
  /// that do not know of the rate yet.
  double share = 0.6;
  /// How long one request may be sent after its moment. Routers that all had no demand hold
  /// `open_for * share * rate` unused moments together at any time, which is what they can send at
  /// once when it comes; a second's worth is within every bound that allows for chance.
  common::Duration open_for = std::chrono::milliseconds(1000);
  /// Safeguard; off only in mutants.
  bool is_enabled = true;
};

class RateShare {
 public:
  explicit RateShare(RateShareOptions options) : options_(options) {}

  /// @param rate requests a second that the target bears; 0: no bound.
  /// @param routers that send to it.
  bool allows(common::TimePoint now, common::BackendId target, double rate, std::uint32_t routers,
              common::RandomEngine& random);
  /// A request was sent to the target.
  void on_sent(common::TimePoint now, common::BackendId target, double rate, std::uint32_t routers);
  /// Draws a new first moment when it is asked next: the target's requests were bounded by other
  /// means meanwhile.
  void forget(common::BackendId target) { parts_.erase(target); }
  /// Forgets targets that are not bounded any more.
  template <typename IsBounded>
  void keep_only(const IsBounded& is_bounded) {
    std::erase_if(parts_, [&](const auto& item) { return !is_bounded(item.first); });
  }

 private:
  struct Part {
    common::TimePoint next;        ///< when one more may be sent
    common::Duration interval{0};  ///< as of the last look
  };

  common::Duration interval(double rate, std::uint32_t routers) const;
  /// Moves the part on to the present: a changed interval, moments that have passed unused.
  void bring_up_to_date(common::TimePoint now, Part& part, common::Duration interval,
                        common::RandomEngine& random) const;

  RateShareOptions options_;
  std::unordered_map<common::BackendId, Part> parts_;
};

}  // namespace planktray::routing
