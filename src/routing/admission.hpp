#pragma once
/// Admission of requests where there is too little room: decides at arrival, and again whenever a
/// waiting request is looked at, whether a request goes ahead, waits, or is refused with a time to
/// return. A plain function of what is known; no clock, socket or map of its own.

#include <cstdint>

#include "common/time.hpp"

namespace planktray::routing {

using common::Duration;

/// What is known of one request and of the place it wants to go to.
struct AdmissionInput {
  std::uint32_t priority = 0;    ///< of its route; 0 is the most urgent
  Duration objective{0};         ///< within it an answer earns its full worth; 0: none stated
  Duration time_left{0};         ///< until its deadline or its route's timeout
  Duration waited{0};            ///< since its arrival here
  Duration expected{0};          ///< until its answer, if it were sent now: queue and work
  Duration link_wait{0};         ///< what its own body waits for the router's link
  bool has_room = true;          ///< a target may take it now
  bool returns = false;          ///< its caller was refused here lately
  Duration room_expected_in{0};  ///< without room: when there will be some, as far as is known
};

enum class Admission : std::uint8_t {
  kAdmit,   ///< send it now
  kWait,    ///< look again after `look_again`
  kRefuse,  ///< answer at once; the caller may return after `retry_after`
};

struct AdmissionDecision {
  Admission verdict = Admission::kAdmit;
  Duration look_again{0};
  Duration retry_after{0};
};

}  // namespace planktray::routing
