#pragma once
/// What is known of the load of back ends: heard by routers in answers, merged by controllers, told
/// to all routers. A hint: nothing that has to hold relies on its being there or being right.

#include <algorithm>
#include <cstdint>

#include "common/codec.hpp"
#include "common/ids.hpp"
#include "common/time.hpp"

namespace planktray::routing {

/// What is older says nothing: a queue of some ten requests has come and gone by then.
inline constexpr common::Duration kRoomLifetime = std::chrono::milliseconds(1000);

/// Upper bound of the encoded size of a RoomReport: back end, running, waiting and age of five,
/// three, three and one bytes, and its head.
inline constexpr std::size_t kRoomReportBytes = 13;

/// The load of one back end at a moment, as its own answer told it.
struct RoomReport {
  common::BackendId backend;
  std::uint32_t running = 0;  ///< requests at work
  std::uint32_t waiting = 0;  ///< requests in its queue
  /// Since the answer came to the router that heard it, in units of 10 ms: one byte for all ages
  /// that count. The time on the way to the reader is not in it.
  std::uint32_t age_10ms = 0;
  MSGPACK_DEFINE_ARRAY(backend, running, waiting, age_10ms)

  static constexpr common::Duration kAgeUnit = std::chrono::milliseconds(10);
  common::Duration age() const { return age_10ms * kAgeUnit; }
  void set_age(common::Duration age) {
    age_10ms = static_cast<std::uint32_t>(std::max(age, common::Duration(0)) / kAgeUnit);
  }
};

}  // namespace planktray::routing
