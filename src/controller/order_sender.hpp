#pragma once
/// Carries orders about keys to back ends.
///
/// Invariants:
///  - Grants of one back end go one after the other, on a connection that was opened for them: one
///    to a machine that is gone never comes up, so its orders are known not to have been sent.
///  - Releases wait for running work: each has a connection of its own, a few of one back end at a
///    time, and they hold no grants up.

#include <deque>
#include <functional>
#include <map>

#include "controller/control_interface.hpp"
#include "transport/http_client.hpp"

namespace planktray::controller {

struct OrderSenderOptions {
  /// An order without an answer is given up after this time.
  common::Duration grant_timeout = std::chrono::milliseconds(500);
  common::Duration release_timeout = std::chrono::milliseconds(3000);
  common::Duration connect_timeout = std::chrono::milliseconds(400);
  std::size_t connections_per_backend = 16;
  /// Releases of one back end under way at once; the others wait for them, so that a back end that
  /// gives up all its ranges can be asked for each. Its connections are shared with routers, and a
  /// new one may take a slot of it for a moment.
  std::size_t releases_at_once = 8;
};

class OrderSender {
 public:
  using ReplyHandler =
      std::function<void(ownership::OrderId id, const ownership::OrderReply& reply)>;

  /// @param interface says how orders look, and must outlive the sender.
  OrderSender(OrderSenderOptions options, const ControlInterface& interface, ReplyHandler on_reply);

  void send(const ownership::GrantOrder& order);
  void send(const ownership::ReleaseOrder& order);

  struct Counters {
    std::uint64_t grants = 0;    ///< asked for
    std::uint64_t releases = 0;  ///< asked for
    std::uint64_t failed = 0;    ///< ended without the back end's answer
  };
  const Counters& counters() const { return counters_; }
  /// Grants that wait for another of the same back end, or are under way.
  std::size_t grants_open() const;
  std::size_t releases_open() const { return releases_open_; }

 private:
  void send_next(common::BackendId backend);
  void send_waiting_releases(common::BackendId backend);
  void send_now(const ownership::ReleaseOrder& order);
  void on_release_response(const ownership::ReleaseOrder& order,
                           const transport::HttpResponse& response);
  void on_grant_response(const ownership::GrantOrder& order,
                         const transport::HttpResponse& response);
  void log_grant(const ownership::GrantOrder& order, const ownership::OrderReply& reply,
                 const transport::HttpResponse& response) const;
  void log_release(const ownership::ReleaseOrder& order, const ownership::OrderReply& reply,
                   const transport::HttpResponse& response) const;

  OrderSenderOptions options_;
  const ControlInterface& interface_;
  ReplyHandler on_reply_;
  transport::HttpClient client_;
  std::map<common::BackendId, std::deque<ownership::GrantOrder>> waiting_;  ///< first: under way
  struct Releases {
    std::deque<ownership::ReleaseOrder> waiting;
    std::size_t under_way = 0;
  };
  std::map<common::BackendId, Releases> releases_;
  std::size_t releases_open_ = 0;  ///< waiting or under way
  Counters counters_;
};

}  // namespace planktray::controller
