#pragma once
/// How a router finds the leader again once that is silent. The times do not depend on the size of
/// the fleet: with a wait of two intervals between hellos, 281 routers kept old tables for 4.5 s.

#include <chrono>
#include <cstddef>

#include "common/time.hpp"

namespace planktray::routing {

struct LeaderSearchOptions {
  /// A hello that the leader has not answered after this time is reason to ask other controllers
  /// whom they follow. A leader in trouble was seen to take 0.6 s for a turn of its loop; asking
  /// others does not add to that.
  common::Duration answer_timeout = std::chrono::milliseconds(500);
  /// Others are asked again after this time, which doubles up to the maximum.
  common::Duration inquiry_interval = std::chrono::milliseconds(250);
  common::Duration longest_inquiry_interval = std::chrono::milliseconds(1000);
  /// Controllers that are asked at once.
  std::size_t inquired_controllers = 3;
  /// Routers that are told of a new leader say hello to it within this time, each at a moment of
  /// its own: all of them lack what it has committed.
  common::Duration announcement_spread = std::chrono::milliseconds(200);

  /// From the first hello that stays without an answer to the hello at the new leader, where the
  /// second round of questions finds somebody who knows it.
  common::Duration longest() const {
    return answer_timeout + inquiry_interval + announcement_spread;
  }
};

}  // namespace planktray::routing
