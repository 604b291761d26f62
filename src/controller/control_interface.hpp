#pragma once
/// Extension point of a deployment: an HTTP interface in addition to the product's operator API,
/// and the encoding of orders to back ends that hold fenced grants.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "controller/core/controller_core.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

namespace planktray::controller {

class ControlInterface {
 public:
  ControlInterface() = default;
  ControlInterface(const ControlInterface&) = delete;
  ControlInterface& operator=(const ControlInterface&) = delete;
  virtual ~ControlInterface() = default;

  virtual void handle(const transport::ExchangePointer& exchange) = 0;
  /// Returns how many body bytes a request with this head may have.
  virtual std::size_t largest_body(const transport::HttpMessage& head) const = 0;
  /// Answers the caller whose request has completed. Ignores requests of other interfaces.
  virtual void complete(const Completion& completion) = 0;
  /// Returns the number of heartbeats whose sender closed its connection before the answer; 0 for
  /// an interface without heartbeats.
  virtual std::uint64_t abandoned_heartbeats() const { return 0; }
  /// Encodes an order for a back end. The caller sets address, timeout and connection options.
  virtual transport::HttpRequest to_request(const ownership::GrantOrder& order) const = 0;
  virtual transport::HttpRequest to_request(const ownership::ReleaseOrder& order) const = 0;
  /// Decodes a back end's reply. @param expected the incarnation that the order was sent to.
  virtual ownership::OrderReply read_reply(const common::Incarnation& expected,
                                           const transport::HttpResponse& response) const = 0;
};

/// Creates the interface of a running controller. `flush` executes the pending output of the core.
using ControlInterfaceFactory = std::function<std::unique_ptr<ControlInterface>(
    ControllerCore& core, std::function<void()> flush)>;

}  // namespace planktray::controller
