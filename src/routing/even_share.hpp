#pragma once
/// Admits a fixed share of a stream of requests at even spacing: one in every 1 / share. The start
/// is random, so that routers do not admit requests in step.

#include <optional>

#include "common/random.hpp"

namespace planktray::routing {

class EvenShare {
 public:
  /// Whether the next request is admitted. @param share of the requests to admit, at most 1.
  bool admits(double share, common::RandomEngine& random) {
    credit_ = credit_.value_or(common::uniform_real(random)) + share;
    const bool admitted = *credit_ >= 1;
    *credit_ -= admitted ? 1 : 0;
    return admitted;
  }
  /// Restarts at a random position.
  void reset() { credit_.reset(); }

 private:
  std::optional<double> credit_;  ///< accumulated share, below 1 between calls
};

}  // namespace planktray::routing
