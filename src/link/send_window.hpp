#pragma once
/// Limits how many large bodies are bound to a receiver at once. A waiting body gets its receiver
/// only when its turn comes and is written soon after, which bounds the time from the choice of the
/// receiver to the last byte.
///
/// A pure state machine. The caller identifies bodies by tickets.
///
/// Invariant: the bytes of all bound bodies take at most `span` to transfer, or there is only one
/// bound body. Stalled bodies are excluded: they no longer count after twice their expected time.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "common/time.hpp"
#include "link/link_scheduler.hpp"

namespace planktray::link {

struct SendWindowOptions {
  double bytes_per_second = 0;  ///< capacity of the link; 0: not known, no limit
  /// Longest transfer time of all bound bodies together. Long enough to establish the connection of
  /// the next body while one body is written.
  Duration span = std::chrono::milliseconds(450);
  /// Additional time for a bound body to start before it counts as stalled.
  Duration start_time = std::chrono::milliseconds(250);
};

class SendWindow {
 public:
  using Ticket = std::uint64_t;

  explicit SendWindow(SendWindowOptions options) : options_(options) {}

  /// True if a body of this size is subject to the window. Other bodies may be bound at any time.
  bool is_limited(std::size_t bytes) const {
    return options_.bytes_per_second > 0 && bytes > kLargeBodyBytes;
  }
  /// True if a body that arrives now may be bound without waiting.
  bool admits(TimePoint now, std::size_t bytes);
  /// Adds a body that waits until next() returns its ticket.
  void wait(Ticket ticket, std::size_t bytes);
  /// Removes and returns the next waiting body if it may be bound now.
  std::optional<Ticket> next(TimePoint now);
  /// Removes all waiting bodies and returns their tickets, in the order of arrival.
  std::vector<Ticket> take_waiting();
  /// Binds a body, whose receiver has been chosen.
  void bind(TimePoint now, Ticket ticket, std::size_t bytes);
  /// Removes a body that has been transferred or is no longer needed.
  void release(Ticket ticket);

  /// Longest transfer time of a body that is bound now, if the link has its stated capacity.
  Duration passing_time(std::size_t bytes) const;
  /// Expected time until a body that arrives now has been transferred, including its wait.
  Duration delay(std::size_t bytes) const;
  /// When next() may return a body: a time in the past for immediately, max() while none waits.
  TimePoint next_due() const;
  std::size_t waiting() const { return waiting_.size(); }

 private:
  struct Bound {
    std::size_t bytes = 0;
    TimePoint counts_until;  ///< when the body counts as stalled
  };

  bool fits(std::size_t bytes) const;
  void drop_stalled(TimePoint now);
  /// True if the oldest waiting body is next, false if the shortest one is.
  bool is_oldest_next() const { return oldest_bytes_ * kPiecesPerOldest <= served_bytes_; }
  std::map<Ticket, std::size_t>::const_iterator choose() const;
  /// Time to transfer the bytes with the share of the link for promised bodies.
  Duration time_for(std::size_t bytes) const;

  SendWindowOptions options_;
  std::map<Ticket, Bound> bound_;
  std::map<Ticket, std::size_t> waiting_;  ///< bytes, in the order of arrival
  std::size_t bound_bytes_ = 0;
  std::uint64_t served_bytes_ = 0;  ///< bytes of all bodies that have waited
  std::uint64_t oldest_bytes_ = 0;  ///< of these, of bodies chosen as the oldest
};

}  // namespace planktray::link
