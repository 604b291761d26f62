#pragma once
/// Checks whether a process listens at an address by opening a connection and sending nothing on
/// it.

#include <glib.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/time.hpp"
#include "transport/tcp_stream.hpp"

namespace planktray::transport {

enum class Reach : std::uint8_t {
  kListens,  ///< a connection was established
  kRefused,  ///< the connection was refused or ended: no process listens there
  kUnknown,  ///< no result in time
};

class ReachChecker {
 public:
  using Callback = std::function<void(Reach reach)>;

  /// @param delay time before the connection attempt: an exiting process closes its connections a
  ///   moment before it stops listening.
  /// @param timeout of the connection attempt.
  /// @param settle_time how long an established connection has to stay up to count: what lies in
  ///   between may accept a connection and reset it.
  ReachChecker(common::Duration delay, common::Duration timeout,
               common::Duration settle_time = common::Duration(0))
      : delay_(delay), timeout_(timeout), settle_time_(settle_time) {}
  ReachChecker(const ReachChecker&) = delete;
  ReachChecker& operator=(const ReachChecker&) = delete;
  ~ReachChecker();

  /// Calls `callback` exactly once, never within this call, and not after the checker's
  /// destruction.
  void check(const std::string& address, Callback callback);

 private:
  struct Check {
    ReachChecker* owner = nullptr;
    std::uint64_t id = 0;
    std::string address;
    Callback callback;
    std::shared_ptr<TcpStream> stream;
    guint timer = 0;
  };

  static gboolean on_begin(gpointer data);
  static gboolean on_timeout(gpointer data);
  static gboolean on_settled(gpointer data);
  static gboolean on_release(gpointer data);
  static guint set_timer(common::Duration wait, GSourceFunc function, Check* check);
  void begin(Check& check);
  void on_connected(std::uint64_t id);
  void finish(std::uint64_t id, Reach reach);

  common::Duration delay_;
  common::Duration timeout_;
  common::Duration settle_time_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, std::unique_ptr<Check>> checks_;
};

}  // namespace planktray::transport
