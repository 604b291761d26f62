#pragma once
/// Runs the link's schedulers in the main loop: grants streams permission to write and read large
/// bodies, and wakes only while a body is waiting.
///
/// Invariant: the callback of a removed body is not called again.

#include <cstdint>
#include <functional>
#include <map>

#include "link/link_scheduler.hpp"
#include "transport/event_loop.hpp"

namespace planktray::transport {

/// One direction of the link.
class PacedDirection {
 public:
  /// Grants the stream this many more bytes to write or read. The callback may remove its body.
  using GrantCallback = std::function<void(std::size_t bytes)>;

  /// @param bytes_per_second capacity of the link in this direction.
  explicit PacedDirection(double bytes_per_second);

  /// Adds a large body. Bytes are granted later, never within this call.
  link::BodyId add(std::size_t bytes, link::BodyRank rank, GrantCallback grant);
  void extend(link::BodyId body, std::size_t bytes) { scheduler_.extend(body, bytes); }
  /// @return true if all bytes of the body have passed.
  bool passed(link::BodyId body, std::size_t bytes);
  void remove(link::BodyId body);
  void note_small(std::size_t bytes) { scheduler_.note_small(boot_time_now(), bytes); }
  const link::LinkScheduler& scheduler() const { return scheduler_; }

 private:
  void grant_waiting();
  void set_alarm();

  link::LinkScheduler scheduler_;
  std::map<link::BodyId, GrantCallback> waiting_;
  Alarm alarm_;
  bool granting_ = false;
};

class LinkPacer {
 public:
  /// @param bytes_per_second capacity of the link in each direction; greater than 0.
  explicit LinkPacer(double bytes_per_second)
      : inbound_(bytes_per_second), outbound_(bytes_per_second) {}
  PacedDirection& inbound() { return inbound_; }
  PacedDirection& outbound() { return outbound_; }

 private:
  PacedDirection inbound_;
  PacedDirection outbound_;
};

}  // namespace planktray::transport
