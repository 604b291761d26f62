#pragma once
/// Fair shares of the main loop. A source with more work than fits its share continues in the next
/// loop iteration (turn), after all other sources have been served.

#include "transport/event_loop.hpp"

namespace planktray::transport {

/// Time that one source may take in a turn. The limit is a time and not a number of events, since
/// an event may take microseconds or milliseconds: with limits of 256 messages and 16 connections
/// per turn, a fully loaded leader served only 60 connections per second.
constexpr common::Duration kTurnShare = std::chrono::milliseconds(20);
/// Upper bound of a turn: two such shares and a sweep.
constexpr common::Duration kLongestTurn = 3 * kTurnShare;

class TurnBudget {
 public:
  explicit TurnBudget(common::Duration share = kTurnShare) : ends_(boot_time_now() + share) {}
  bool is_spent() const { return boot_time_now() >= ends_; }

 private:
  common::TimePoint ends_;
};

}  // namespace planktray::transport
