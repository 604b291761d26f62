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

/// CLOCK_BOOTTIME: runs on while the process or the machine is stopped.
common::TimePoint boot_time_now();

/// Processor time that this thread has used so far (CLOCK_THREAD_CPUTIME_ID).
common::Duration thread_time_used();
/// Processor time that all threads of this process have used so far.
common::Duration process_time_used();

/// How often the machine was suspended while the main loop of this process ran; each time has a
/// log line.
std::uint64_t suspensions_seen();

/// Ends the process at once. The data folder is safe at every moment, and the libraries' static
/// destructors join threads of their own, which may hold a stopping process up for seconds.
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
  /// The longest time from one wait for events to the next since the last call, while running.
  common::Duration take_longest_turn();

 private:
  GMainLoop* loop_;
  std::vector<std::unique_ptr<std::function<void()>>> callbacks_;
  std::vector<guint> sources_;
};

/// One call at a time that can be put off or brought forward, so that a process wakes only when
/// there is something to do.
class Alarm {
 public:
  explicit Alarm(std::function<void()> callback) : callback_(std::move(callback)) {}
  Alarm(const Alarm&) = delete;
  Alarm& operator=(const Alarm&) = delete;
  ~Alarm() { cancel(); }

  /// The longest that a call came after its time since the last question: how long this process
  /// waited for a processor, or for its own turns.
  common::Duration take_latest_call() { return std::exchange(latest_call_, common::Duration(0)); }
  /// Calls back once at `when`, in place of an earlier time.
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
