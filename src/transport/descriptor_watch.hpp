#pragma once
/// Readiness of sockets through one epoll queue. The main loop polls one source instead of one for
/// each connection, since its time for each event grows with the number of sources (1.4 us with 5
/// sources, 19 us with 300; docs/DECISIONS.md).
///
/// Invariant: the callback of a destroyed watch is never called, not even for events that were
/// fetched before its destruction.

#include <cstdint>
#include <functional>

namespace planktray::transport {

class DescriptorWatch {
 public:
  struct Readiness {
    bool readable = false;  ///< also set when the connection has ended
    bool writable = false;  ///< also set when the connection has failed
    /// The peer sends no more data: all that it sent has arrived, or the connection has failed.
    bool hung_up = false;
  };
  /// Called from the main loop; may destroy the watch.
  using Callback = std::function<void(Readiness readiness)>;

  /// Watches nothing until want() is called.
  DescriptorWatch(int descriptor, Callback callback);
  DescriptorWatch(const DescriptorWatch&) = delete;
  DescriptorWatch& operator=(const DescriptorWatch&) = delete;
  ~DescriptorWatch();

  /// Selects the events for which the callback is called.
  /// @param hang_up also report that the peer sends no more data; for descriptors whose reading is
  ///   paused.
  void want(bool read, bool write, bool hang_up = false);

 private:
  friend class DescriptorQueue;

  int descriptor_;
  Callback callback_;
  std::uint64_t token_;
  std::uint32_t wanted_ = 0;  ///< event mask registered with epoll; 0: not registered
};

}  // namespace planktray::transport
