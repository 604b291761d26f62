#pragma once
/// Which large bodies may be on their way out at once. A body whose receiver is chosen only when
/// its turn has come is written soon after: this bounds the time from the choice to the last byte.
///
/// A plain state machine. Bodies are named by their owner's tickets.
///
/// Invariant: the bytes of bound bodies take `span` to pass at most, or there is one bound body,
/// but for bodies that make no headway: after twice the time that they should take they no longer
/// keep others waiting.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "common/time.hpp"
#include "link/link_scheduler.hpp"

namespace planktray::link {

struct SendWindowOptions {
  double bytes_per_second = 0;  ///< that the link carries; 0: not known, all bodies may go at once
  /// Long enough for the next body's connection to come up while one is written.
  Duration span = std::chrono::milliseconds(450);
  /// A bound body may take this long to begin before it counts as making no headway.
  Duration start_time = std::chrono::milliseconds(250);
};

class SendWindow {
 public:
  using Ticket = std::uint64_t;

  explicit SendWindow(SendWindowOptions options) : options_(options) {}

  /// False where a body of this size is bound at any time.
  bool is_bounded(std::size_t bytes) const {
    return options_.bytes_per_second > 0 && bytes > kLargeBodyBytes;
  }
  /// True where a body that comes now need not wait for others.
  bool admits(TimePoint now, std::size_t bytes);
  /// The body waits until next() names it.
  void wait(Ticket ticket, std::size_t bytes);
  /// The next body that waits, where one may be bound now; it waits no more.
  std::optional<Ticket> next(TimePoint now);
  /// The body's receiver has been chosen.
  void bind(TimePoint now, Ticket ticket, std::size_t bytes);
  /// The body has passed, or is not wanted any more.
  void release(Ticket ticket);

  /// The longest that a body which is bound now takes to pass, as long as the link carries it.
  Duration passing_time(std::size_t bytes) const;
  /// Expected time until a body that comes now has passed.
  Duration delay(std::size_t bytes) const;
  /// When next() may have one, a moment long past for at once; max() while none waits.
  TimePoint next_due() const;
  std::size_t waiting() const { return waiting_.size(); }

 private:
  struct Bound {
    std::size_t bytes = 0;
    TimePoint counts_until;
  };

  bool has_room(std::size_t bytes) const;
  void drop_stuck(TimePoint now);
  /// True where the oldest of those that wait is the next, rather than the shortest.
  bool is_oldests_turn() const { return oldest_bytes_ * kPiecesPerOldest <= served_bytes_; }
  std::map<Ticket, std::size_t>::const_iterator choose() const;
  /// Time for bytes at the part of the link that promised bodies get.
  Duration time_for(std::size_t bytes) const;

  SendWindowOptions options_;
  std::map<Ticket, Bound> bound_;
  std::map<Ticket, std::size_t> waiting_;  ///< bytes, in the order in which they came
  std::size_t bound_bytes_ = 0;
  std::uint64_t served_bytes_ = 0;  ///< of bodies that waited
  std::uint64_t oldest_bytes_ = 0;  ///< of these, where the oldest one's turn had come
};

}  // namespace planktray::link
