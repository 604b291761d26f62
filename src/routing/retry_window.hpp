#pragma once
/// A budget of repeated sends that holds in every sliding window, shared by routers without talk:
/// each may repeat a share of its own first sends and its part of a fixed extra.

#include <array>
#include <cstdint>

#include "common/time.hpp"

namespace planktray::routing {

struct RetryWindowOptions {
  double ratio = 0.2;  ///< repeats allowed for each request of the window
  double extra = 60;   ///< repeats allowed beside them, over all routers
  common::Duration window = std::chrono::seconds(10);
  /// Only this part is spent: what a router has not seen yet may count elsewhere.
  double spent_share = 0.8;
};

/// What a router has spent of its part of a service's budget in the present window.
struct RetryUsage {
  std::uint32_t requests = 0;
  std::uint32_t repeats = 0;
  double allowed = 0;  ///< repeats
};

/// Counts requests and repeats of one service at one router.
class RetryWindow {
 public:
  explicit RetryWindow(RetryWindowOptions options) : options_(options) {}

  void on_request(common::TimePoint now) { ++slot_at(now).requests; }
  /// Takes one repeat. @param routers among which the extra is divided.
  /// @return false where the budget is spent.
  bool take(common::TimePoint now, std::uint32_t routers) {
    const RetryUsage present = usage(now, routers);
    if (present.repeats + 1 > present.allowed) {
      return false;
    }
    ++slot_at(now).repeats;
    return true;
  }

  RetryUsage usage(common::TimePoint now, std::uint32_t routers) {
    const Slot& present = slot_at(now);
    RetryUsage usage;
    for (const Slot& slot : slots_) {
      const bool counts = present.number - slot.number < static_cast<std::int64_t>(kSlots);
      usage.requests += counts ? slot.requests : 0;
      usage.repeats += counts ? slot.repeats : 0;
    }
    const double part = options_.extra / (routers == 0 ? 1 : routers);
    usage.allowed = options_.spent_share * (options_.ratio * usage.requests + part);
    return usage;
  }

 private:
  static constexpr std::size_t kSlots = 50;

  struct Slot {
    std::int64_t number = -static_cast<std::int64_t>(kSlots);
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
  };

  Slot& slot_at(common::TimePoint now) {
    const auto length = options_.window / static_cast<std::int64_t>(kSlots);
    const std::int64_t number = now.time_since_epoch() / length;
    Slot& slot = slots_[static_cast<std::size_t>(number) % kSlots];
    if (slot.number != number) {
      slot = Slot{number, 0, 0};
    }
    return slot;
  }

  RetryWindowOptions options_;
  std::array<Slot, kSlots> slots_{};
};

}  // namespace planktray::routing
