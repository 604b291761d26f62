#pragma once
/// The link's schedulers in the main loop: gives streams leave to write and read large bodies, and
/// wakes only while one waits.
///
/// Invariant: a stream that is removed is not called again.

#include <cstdint>
#include <functional>
#include <map>

#include "link/link_scheduler.hpp"
#include "transport/event_loop.hpp"

namespace planktray::transport {

/// One direction of the link.
class PacedDirection {
 public:
  /// May write or read so many bytes; may remove its body.
  using Leave = std::function<void(std::size_t bytes)>;

  /// @param bytes_per_second of the link in this direction.
  explicit PacedDirection(double bytes_per_second);

  /// A large body waits; leave is given later, never within this call.
  link::BodyId add(std::size_t bytes, link::BodyRank rank, Leave leave);
  void extend(link::BodyId body, std::size_t bytes) { scheduler_.extend(body, bytes); }
  /// @return true where all bytes of the body have passed.
  bool passed(link::BodyId body, std::size_t bytes);
  void remove(link::BodyId body);
  void note_small(std::size_t bytes) { scheduler_.note_small(boot_time_now(), bytes); }
  const link::LinkScheduler& scheduler() const { return scheduler_; }

 private:
  void give();
  void set_alarm();

  link::LinkScheduler scheduler_;
  std::map<link::BodyId, Leave> waiting_;
  Alarm alarm_;
  bool giving_ = false;
};

class LinkPacer {
 public:
  /// @param bytes_per_second what the link carries each way; more than 0.
  explicit LinkPacer(double bytes_per_second)
      : inbound_(bytes_per_second), outbound_(bytes_per_second) {}
  PacedDirection& inbound() { return inbound_; }
  PacedDirection& outbound() { return outbound_; }

 private:
  PacedDirection inbound_;
  PacedDirection outbound_;
};

}  // namespace planktray::transport
