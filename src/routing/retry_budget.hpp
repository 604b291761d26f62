#pragma once
/// Token bucket that limits retries to a fraction of the first attempts, so that retries cannot
/// amplify an overload.

#include <algorithm>
#include <cstdint>

#include "common/time.hpp"

namespace planktray::routing {

struct RetryBudgetOptions {
  double tokens_per_request = 0.2;  ///< retries allowed for each first attempt
  double tokens_per_second = 10.0;  ///< retries allowed regardless of traffic
  double capacity = 100.0;
};

class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options) : options_(options), tokens_(options.capacity) {}

  void on_first_attempt() {
    tokens_ = std::min(options_.capacity, tokens_ + options_.tokens_per_request);
  }
  /// Takes a token. @return false if the budget is exhausted.
  bool take(common::TimePoint now) {
    const double seconds = std::chrono::duration<double>(now - filled_at_).count();
    filled_at_ = now;
    tokens_ = std::min(options_.capacity, tokens_ + seconds * options_.tokens_per_second);
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

 private:
  RetryBudgetOptions options_;
  double tokens_;
  common::TimePoint filled_at_;
};

}  // namespace planktray::routing
