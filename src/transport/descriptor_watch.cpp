#include "transport/descriptor_watch.hpp"

#include <glib-unix.h>
#include <sys/epoll.h>

#include <array>
#include <unordered_map>
#include <utility>

#include "transport/turn_budget.hpp"

namespace planktray::transport {

/// The epoll queue of the process. Its main loop source stays until the process ends.
class DescriptorQueue {
 public:
  static DescriptorQueue& instance() {
    static DescriptorQueue queue;
    return queue;
  }

  std::uint64_t add(DescriptorWatch& watch) {
    watches_[++last_token_] = &watch;
    return last_token_;
  }
  void remove(std::uint64_t token) { watches_.erase(token); }

  void change(const DescriptorWatch& watch, std::uint32_t before, std::uint32_t after) const {
    epoll_event event{};
    event.events = after;
    event.data.u64 = watch.token_;
    const int present = after != 0 ? EPOLL_CTL_MOD : EPOLL_CTL_DEL;
    const int operation = before == 0 ? EPOLL_CTL_ADD : present;
    epoll_ctl(queue_, operation, watch.descriptor_, &event);
  }

 private:
  /// Events fetched by one epoll_wait() call.
  static constexpr std::size_t kBatch = 16;

  DescriptorQueue() : queue_(epoll_create1(EPOLL_CLOEXEC)) {
    // The same priority as the ZeroMQ sockets: with a lower one, connections are not served at all
    // while messages keep arriving on those sockets.
    g_unix_fd_add_full(G_PRIORITY_HIGH, queue_, G_IO_IN, on_ready, this, nullptr);
  }
  static gboolean on_ready(gint /*fd*/, GIOCondition /*condition*/, gpointer self) {
    static_cast<DescriptorQueue*>(self)->dispatch();
    return G_SOURCE_CONTINUE;
  }
  void dispatch() {
    const TurnBudget budget;
    while (dispatch_batch() == kBatch && !budget.is_spent()) {
    }
  }
  /// @return the number of events handled.
  std::size_t dispatch_batch() {
    std::array<epoll_event, kBatch> events{};
    const int count = epoll_wait(queue_, events.data(), kBatch, 0);
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events[static_cast<std::size_t>(i)];
      const auto found = watches_.find(event.data.u64);
      if (found != watches_.end()) {
        call(*found->second, event.events);
      }
    }
    return count > 0 ? static_cast<std::size_t>(count) : 0;
  }
  static void call(const DescriptorWatch& watch, std::uint32_t events) {
    const bool has_ended = (events & (EPOLLERR | EPOLLHUP)) != 0;
    DescriptorWatch::Readiness readiness;
    readiness.readable = (watch.wanted_ & EPOLLIN) != 0 && ((events & EPOLLIN) != 0 || has_ended);
    readiness.writable = (watch.wanted_ & EPOLLOUT) != 0 && ((events & EPOLLOUT) != 0 || has_ended);
    readiness.hung_up =
        (watch.wanted_ & EPOLLRDHUP) != 0 && ((events & EPOLLRDHUP) != 0 || has_ended);
    const DescriptorWatch::Callback callback = watch.callback_;  // may destroy the watch
    callback(readiness);
  }

  int queue_;
  std::uint64_t last_token_ = 0;
  std::unordered_map<std::uint64_t, DescriptorWatch*> watches_;
};

DescriptorWatch::DescriptorWatch(int descriptor, Callback callback)
    : descriptor_(descriptor),
      callback_(std::move(callback)),
      token_(DescriptorQueue::instance().add(*this)) {}

DescriptorWatch::~DescriptorWatch() {
  want(false, false);
  DescriptorQueue::instance().remove(token_);
}

void DescriptorWatch::want(bool read, bool write, bool hang_up) {
  const std::uint32_t wanted =
      (read ? EPOLLIN : 0U) | (write ? EPOLLOUT : 0U) | (hang_up ? EPOLLRDHUP : 0U);
  if (wanted != wanted_) {
    DescriptorQueue::instance().change(*this, std::exchange(wanted_, wanted), wanted);
  }
}

}  // namespace planktray::transport
