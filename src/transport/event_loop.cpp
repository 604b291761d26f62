#include "transport/event_loop.hpp"

#include <glib-unix.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <utility>

#include "transport/logging.hpp"
#include "transport/suspension_watch.hpp"

namespace planktray::transport {
namespace {

gboolean call_repeatedly(gpointer data) {
  (*static_cast<std::function<void()>*>(data))();
  return G_SOURCE_CONTINUE;
}

gboolean call_once(gpointer data) {
  const std::unique_ptr<std::function<void()>> callback(static_cast<std::function<void()>*>(data));
  (*callback)();
  return G_SOURCE_REMOVE;
}

common::Duration read_clock(clockid_t clock) {
  timespec value{};
  clock_gettime(clock, &value);
  return std::chrono::duration_cast<common::Duration>(std::chrono::seconds(value.tv_sec) +
                                                      std::chrono::nanoseconds(value.tv_nsec));
}

/// Duration of the main loop's iterations and of its waits for events. Used only on the loop's
/// thread.
struct TurnWatch {
  common::TimePoint began;
  common::Duration longest{0};
  common::Duration idle{0};
};

/// Suspensions of the machine since the process started.
struct Suspensions {
  SuspensionWatch watch;
  std::uint64_t count = 0;
};

Suspensions& suspensions() {
  static Suspensions all;
  return all;
}

void record_suspension() {
  Suspensions& all = suspensions();
  const auto suspended =
      all.watch.observe({read_clock(CLOCK_BOOTTIME), read_clock(CLOCK_MONOTONIC)});
  if (!suspended.has_value()) {
    return;
  }
  ++all.count;
  const auto suspended_ms = *suspended / std::chrono::milliseconds(1);
  log_event("resumed",
            {{"suspended_ms", std::to_string(suspended_ms)}, {"total", std::to_string(all.count)}});
}

TurnWatch& turn_watch() {
  static TurnWatch watch;
  return watch;
}

gint poll_and_record(GPollFD* descriptors, guint count, gint timeout) {
  TurnWatch& watch = turn_watch();
  const common::TimePoint ended = boot_time_now();
  watch.longest = std::max(watch.longest, ended - watch.began);
  const gint ready = g_poll(descriptors, count, timeout);
  watch.began = boot_time_now();
  watch.idle += watch.began - ended;
  record_suspension();
  return ready;
}

}  // namespace

common::TimePoint boot_time_now() { return common::TimePoint(read_clock(CLOCK_BOOTTIME)); }

common::Duration thread_time_used() { return read_clock(CLOCK_THREAD_CPUTIME_ID); }

common::Duration process_time_used() { return read_clock(CLOCK_PROCESS_CPUTIME_ID); }

std::uint64_t suspensions_seen() { return suspensions().count; }

void end_process(int exit_code) {
  std::fflush(nullptr);
  std::_Exit(exit_code);
}

EventLoop::EventLoop() : loop_(g_main_loop_new(nullptr, FALSE)) {}

EventLoop::~EventLoop() {
  for (const guint source : sources_) {
    g_source_remove(source);
  }
  g_main_loop_unref(loop_);
}

void EventLoop::every(common::Duration interval, std::function<void()> callback) {
  callbacks_.push_back(std::make_unique<std::function<void()>>(std::move(callback)));
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(interval).count();
  sources_.push_back(g_timeout_add_full(G_PRIORITY_HIGH, static_cast<guint>(milliseconds),
                                        call_repeatedly, callbacks_.back().get(), nullptr));
}

void EventLoop::after(common::Duration delay, std::function<void()> callback) {
  auto* owned = new std::function<void()>(std::move(callback));
  const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(delay).count();
  g_timeout_add(static_cast<guint>(milliseconds), call_once, owned);
}

void EventLoop::on_terminate(std::function<void()> callback) {
  callbacks_.push_back(std::make_unique<std::function<void()>>(std::move(callback)));
  for (const int signal : {SIGTERM, SIGINT}) {
    sources_.push_back(g_unix_signal_add(signal, call_repeatedly, callbacks_.back().get()));
  }
}

void EventLoop::on_hangup(std::function<void()> callback) {
  callbacks_.push_back(std::make_unique<std::function<void()>>(std::move(callback)));
  sources_.push_back(g_unix_signal_add(SIGHUP, call_repeatedly, callbacks_.back().get()));
}

void EventLoop::post(std::function<void()> callback) {
  g_idle_add_full(G_PRIORITY_HIGH, call_once, new std::function<void()>(std::move(callback)),
                  nullptr);
}

void EventLoop::run() {
  turn_watch().began = boot_time_now();
  g_main_context_set_poll_func(nullptr, poll_and_record);
  g_main_loop_run(loop_);
  g_main_context_set_poll_func(nullptr, nullptr);
}

common::Duration EventLoop::take_longest_turn() {
  return std::exchange(turn_watch().longest, common::Duration(0));
}

common::Duration EventLoop::idle_time() const { return turn_watch().idle; }

void EventLoop::quit() { g_main_loop_quit(loop_); }

void Alarm::set(common::TimePoint when) {
  if (source_ != 0 && when == when_) {
    return;
  }
  cancel();
  when_ = when;
  const auto wait = std::max(common::Duration(0), when - boot_time_now());
  const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
  source_ =
      g_timeout_add_full(G_PRIORITY_HIGH, static_cast<guint>(milliseconds), on_time, this, nullptr);
}

void Alarm::cancel() {
  if (source_ != 0) {
    g_source_remove(std::exchange(source_, 0));
  }
}

gboolean Alarm::on_time(gpointer self) {
  auto* alarm = static_cast<Alarm*>(self);
  alarm->source_ = 0;
  alarm->latest_call_ = std::max(alarm->latest_call_, boot_time_now() - alarm->when_);
  alarm->callback_();
  return G_SOURCE_REMOVE;
}

}  // namespace planktray::transport
