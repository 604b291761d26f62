#pragma once
/// Sends orders about keys to back ends.
///
/// Invariants:
///  - Grants to one back end are sent one at a time, on a connection that is opened for them. A
///    connection to a lost machine is never established, so its orders are known not to have been
///    sent.
///  - A release is answered only after running work has ended. Each release uses its own
///  connection,
///    with a limited number in flight per back end, and releases never delay grants.

#include <deque>
#include <functional>
#include <map>

#include "controller/control_interface.hpp"
#include "transport/http_client.hpp"

namespace planktray::controller {

struct OrderSenderOptions {
  /// An order without an answer fails after its timeout.
  common::Duration grant_timeout = std::chrono::milliseconds(500);
  common::Duration release_timeout = std::chrono::milliseconds(3000);
  common::Duration connect_timeout = std::chrono::milliseconds(400);
  std::size_t connections_per_backend = 16;
  /// Maximum releases in flight per back end; further ones are queued. The queue allows a back end
  /// to release all its ranges without exhausting its connections, which it shares with routers; a
  /// new connection may also occupy one of its slots for a moment.
  std::size_t max_releases_in_flight = 8;
};

class OrderSender {
 public:
  using ReplyHandler =
      std::function<void(ownership::OrderId id, const ownership::OrderReply& reply)>;

  /// @param interface encodes the orders and must outlive the sender.
  OrderSender(OrderSenderOptions options, const ControlInterface& interface, ReplyHandler on_reply);

  void send(const ownership::GrantOrder& order);
  void send(const ownership::ReleaseOrder& order);

  struct Counters {
    std::uint64_t grants = 0;    ///< requested
    std::uint64_t releases = 0;  ///< requested
    std::uint64_t failed = 0;    ///< ended without an answer of the back end
  };
  const Counters& counters() const { return counters_; }
  /// Grants that are queued or in flight.
  std::size_t grants_open() const;
  std::size_t releases_open() const { return releases_open_; }

 private:
  void send_next_grant(common::BackendId backend);
  void send_queued_releases(common::BackendId backend);
  void send_release(const ownership::ReleaseOrder& order);
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
  std::map<common::BackendId, std::deque<ownership::GrantOrder>> grants_;  ///< front: in flight
  struct Releases {
    std::deque<ownership::ReleaseOrder> queued;
    std::size_t in_flight = 0;
  };
  std::map<common::BackendId, Releases> releases_;
  std::size_t releases_open_ = 0;  ///< queued or in flight
  Counters counters_;
};

}  // namespace planktray::controller
