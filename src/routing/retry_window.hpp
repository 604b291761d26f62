#pragma once
/// Retry budget over a sliding window. The routers share it without communication: each may retry a
/// fraction of its own first attempts, plus its share of a fixed allowance.

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>

#include "common/time.hpp"

namespace planktray::routing {

struct RetryWindowOptions {
  double ratio = 0.2;  ///< retries allowed per request in the window
  double extra = 60;   ///< additional retries allowed, over all routers
  common::Duration window = std::chrono::seconds(10);
  /// Fraction of the budget that is used. The rest is a margin for retries that count
  /// elsewhere before this router has counted them.
  double spent_share = 0.8;
};

/// Use of one router's share of a service's retry budget in the current window.
struct RetryUsage {
  std::uint32_t requests = 0;
  std::uint32_t repeats = 0;
  double allowed = 0;  ///< limit for `repeats`
};

/// Counts the requests and retries of one service at one router.
class RetryWindow {
 public:
  explicit RetryWindow(RetryWindowOptions options) : options_(options) {}

  void on_request(common::TimePoint now) {
    first_request_ = first_request_.value_or(now);
    ++slot_at(now).requests;
  }
  /// Takes one retry. @param routers number of routers that share `extra`.
  /// @return false if the budget is exhausted.
  bool take(common::TimePoint now, std::uint32_t routers) {
    const RetryUsage present = usage(now, routers);
    if (present.repeats + 1 > present.allowed) {
      return false;
    }
    ++slot_at(now).repeats;
    return true;
  }

  /// Returns the number of requests in the last window, extrapolated if the first request is not
  /// that long ago; nullopt while that would be a guess.
  std::optional<std::uint32_t> requests_per_window(common::TimePoint now) {
    constexpr int kLeastPart = 4;
    if (!first_request_.has_value() || now - *first_request_ < options_.window / kLeastPart) {
      return std::nullopt;
    }
    const double elapsed = std::chrono::duration<double>(now - *first_request_).count();
    const double window = std::chrono::duration<double>(options_.window).count();
    const double scale = std::max(1.0, window / elapsed);
    return static_cast<std::uint32_t>(scale * usage(now, 1).requests);
  }

  RetryUsage usage(common::TimePoint now, std::uint32_t routers) {
    const Slot& present = slot_at(now);
    RetryUsage usage;
    for (const Slot& slot : slots_) {
      const bool counts = present.number - slot.number < static_cast<std::int64_t>(kSlots);
      usage.requests += counts ? slot.requests : 0;
      usage.repeats += counts ? slot.repeats : 0;
    }
    const double extra_share = options_.extra / (routers == 0 ? 1 : routers);
    usage.allowed = options_.spent_share * (options_.ratio * usage.requests + extra_share);
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
  std::optional<common::TimePoint> first_request_;
};

}  // namespace planktray::routing
