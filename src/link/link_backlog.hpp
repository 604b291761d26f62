#pragma once
/// How far behind a router's link is, as admission needs to know it.

#include "common/time.hpp"

namespace planktray::link {

/// How long the bytes that wait for the link, in each direction, will take to pass. 0 where the
/// link's speed is not stated or nothing waits.
struct LinkBacklog {
  common::Duration inbound{0};   ///< bodies that come: requests of callers, answers of back ends
  common::Duration outbound{0};  ///< bodies that leave: answers to callers, requests to back ends
};

}  // namespace planktray::link
