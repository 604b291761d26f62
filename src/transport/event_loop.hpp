#pragma once
/// The GLib main loop of a process, its timers, signals and clock.

#include <glib.h>

#include <functional>
#include <memory>
#include <vector>

#include "common/time.hpp"

namespace planktray::transport {

/// CLOCK_BOOTTIME: runs on while the process or the machine is stopped.
common::TimePoint boot_time_now();

class EventLoop {
 public:
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop();

  /// Calls `callback` every `interval` until the loop ends.
  void every(common::Duration interval, std::function<void()> callback);
  /// Calls `callback` once after `delay`.
  void after(common::Duration delay, std::function<void()> callback);
  /// Calls `callback` at each SIGTERM or SIGINT.
  void on_terminate(std::function<void()> callback);
  /// Calls `callback` on the loop's thread; may be called from any thread.
  static void post(std::function<void()> callback);

  void run();
  void quit();

 private:
  GMainLoop* loop_;
  std::vector<std::unique_ptr<std::function<void()>>> callbacks_;
  std::vector<guint> sources_;
};

}  // namespace planktray::transport
