#pragma once
/// The GLib main loop of a process, its timers, signals and clock.

#include <glib.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "common/time.hpp"

namespace planktray::transport {

/// Reads CLOCK_BOOTTIME, which continues while the process is stopped or the machine is suspended.
common::TimePoint boot_time_now();

/// Returns the processor time that this thread has used so far (CLOCK_THREAD_CPUTIME_ID).
common::Duration thread_time_used();
/// Returns the processor time that all threads of this process have used so far.
common::Duration process_time_used();

/// Returns how often the machine was suspended while the main loop of this process ran. Each
/// suspension is logged.
std::uint64_t suspensions_seen();

/// Ends the process at once, without running static destructors: those of the libraries join their
/// threads, which may delay the exit for seconds. The data folder is consistent at any time.
[[noreturn]] void end_process(int exit_code);

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
  /// Calls `callback` at each SIGHUP.
  void on_hangup(std::function<void()> callback);
  /// Calls `callback` from the loop, never within this call; may be called from any thread.
  static void post(std::function<void()> callback);

  void run();
  void quit();
  /// Returns the longest loop iteration (time between two waits for events) since the last call and
  /// resets it.
  common::Duration take_longest_turn();
  /// Returns how long the loop has waited for events since the process started.
  common::Duration idle_time() const;

 private:
  GMainLoop* loop_;
  std::vector<std::unique_ptr<std::function<void()>>> callbacks_;
  std::vector<guint> sources_;
};

/// A single-shot timer that can be moved to an earlier or later time, so that the process wakes
/// only when there is work to do.
class Alarm {
 public:
  explicit Alarm(std::function<void()> callback) : callback_(std::move(callback)) {}
  Alarm(const Alarm&) = delete;
  Alarm& operator=(const Alarm&) = delete;
  ~Alarm() { cancel(); }

  /// Returns the longest delay of a call after its due time since the last call of this function,
  /// and resets it: how long the process waited for a processor or for other callbacks of its loop.
  common::Duration take_latest_call() { return std::exchange(latest_call_, common::Duration(0)); }
  /// Schedules one call at `when`; replaces a time that was set before.
  void set(common::TimePoint when);
  void cancel();

 private:
  static gboolean on_time(gpointer self);

  std::function<void()> callback_;
  guint source_ = 0;
  common::TimePoint when_;
  common::Duration latest_call_{0};
};

}  // namespace planktray::transport
