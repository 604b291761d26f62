#pragma once
/// One of a stream of requests is let through in every 1 / part, from a random one on: as even as
/// it can be, and routers differ.

#include <optional>

#include "common/random.hpp"

namespace planktray::routing {

class EvenShare {
 public:
  /// Whether one more request is let through. @param part of the requests; at most 1.
  bool admits(double part, common::RandomEngine& random) {
    credit_ = credit_.value_or(common::uniform_real(random)) + part;
    const bool admitted = *credit_ >= 1;
    *credit_ -= admitted ? 1 : 0;
    return admitted;
  }
  /// Begins anew at a random request.
  void reset() { credit_.reset(); }

 private:
  std::optional<double> credit_;  ///< parts of requests that were not let through, below 1
};

}  // namespace planktray::routing
