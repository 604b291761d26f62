#pragma once
/// What a deployment adds to a controller beside the product's own operator API: an HTTP interface
/// of its own, and the form of the orders to back ends that hold fenced grants.

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
  /// Answers the caller whose request has ended; requests of others are passed over.
  virtual void complete(const Completion& completion) = 0;
  /// An order as a back end reads it. Address, time-out and connection are the process's.
  virtual transport::HttpRequest to_request(const ownership::GrantOrder& order) const = 0;
  virtual transport::HttpRequest to_request(const ownership::ReleaseOrder& order) const = 0;
  /// @param expected the incarnation that the order was for.
  virtual ownership::OrderReply read_reply(const common::Incarnation& expected,
                                           const transport::HttpResponse& response) const = 0;
};

/// Makes the interface of a running controller; `flush` carries out what the core wants done.
using ControlInterfaceFactory = std::function<std::unique_ptr<ControlInterface>(
    ControllerCore& core, std::function<void()> flush)>;

}  // namespace planktray::controller
