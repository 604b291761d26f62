#pragma once
/// Readiness of sockets, through one event queue of the system: the main loop looks at one source
/// instead of one for each connection, whose number its time for every event would grow with
/// (measured: 1.4 us with 5 sources, 19 us with 300; docs/DECISIONS.md).
///
/// Invariant: a watch that is destroyed is never called again, also not for events that were
/// fetched before.

#include <cstdint>
#include <functional>

namespace planktray::transport {

class DescriptorWatch {
 public:
  struct Readiness {
    bool readable = false;  ///< also where the connection has ended
    bool writable = false;  ///< also where the connection has failed
    /// The peer sends no more: what it has sent has come, or the connection has failed.
    bool hung_up = false;
  };
  /// Called from the main loop; may destroy the watch.
  using Callback = std::function<void(Readiness readiness)>;

  /// Watches nothing until want() is called.
  DescriptorWatch(int descriptor, Callback callback);
  DescriptorWatch(const DescriptorWatch&) = delete;
  DescriptorWatch& operator=(const DescriptorWatch&) = delete;
  ~DescriptorWatch();

  /// Calls back whenever the descriptor is ready for what is wanted.
  /// @param hang_up also when the peer sends no more; for descriptors that are not read for now.
  void want(bool read, bool write, bool hang_up = false);

 private:
  friend class DescriptorQueue;

  int descriptor_;
  Callback callback_;
  std::uint64_t token_;
  std::uint32_t wanted_ = 0;  ///< event mask at the queue; 0: not there
};

}  // namespace planktray::transport
