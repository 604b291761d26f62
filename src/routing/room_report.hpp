#pragma once
/// What is known of the room at back ends: heard by routers in answers, merged by controllers, told
/// to all routers. A hint: nothing that has to hold relies on its being there or being right.

#include <cstdint>
#include <vector>

#include "common/codec.hpp"
#include "common/ids.hpp"

namespace planktray::routing {

/// The load of one back end at a moment, as its own answer told it.
struct RoomReport {
  common::BackendId backend;
  std::uint32_t running = 0;  ///< requests at work
  std::uint32_t waiting = 0;  ///< requests in its queue
  std::uint32_t age_ms = 0;   ///< since the answer came to the router that heard it
  MSGPACK_DEFINE_ARRAY(backend, running, waiting, age_ms)
};

}  // namespace planktray::routing
