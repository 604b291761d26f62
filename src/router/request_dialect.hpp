#pragma once
/// Encoding of requests and answers, towards callers and back ends. RouterProcess handles HTTP in
/// general; a dialect defines header names and the meaning of statuses.

#include <optional>
#include <string>
#include <string_view>

#include "router/core/router_core.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

namespace planktray::router {

/// A request of a caller in parsed form.
struct ParsedRequest {
  CallerRequest request;   ///< RouterProcess sets its handle
  std::string request_id;  ///< from the caller; if absent, a dialect may generate it
};

class RequestDialect {
 public:
  RequestDialect() = default;
  RequestDialect(const RequestDialect&) = delete;
  RequestDialect& operator=(const RequestDialect&) = delete;
  virtual ~RequestDialect() = default;

  /// @return kInvalid if the request can never run in this form.
  virtual common::Result<ParsedRequest> parse(const transport::HttpExchange& exchange) const = 0;
  /// Returns what selects the route of a request with this head; nothing if the dialect or the
  /// request has no route.
  virtual std::optional<RouteCall> route_call(const transport::HttpMessage& /*head*/) const {
    return std::nullopt;
  }
  /// Answers a request that parse() refused.
  virtual void refuse(transport::HttpExchange& exchange, const common::Error& error) const = 0;
  /// Encodes the request for a back end. The caller sets the address.
  virtual transport::HttpRequest to_backend(const transport::HttpExchange& exchange,
                                            const ParsedRequest& parsed,
                                            const Forward& forward) const = 0;
  /// Returns a digest that identifies the request: equal for each attempt of the same request at
  /// any router; 0 if the dialect does not compute one.
  virtual routing::RequestDigest digest(const transport::HttpExchange& /*exchange*/) const {
    return 0;
  }
  /// Determines the result of an attempt from its response or its error. @param expected the
  /// incarnation that the request was sent to.
  virtual AttemptResult classify(const ParsedRequest& parsed, const common::Incarnation& expected,
                                 const transport::HttpResponse& response) const = 0;
  /// Sends a back end's answer to the caller.
  virtual void forward_response(transport::HttpExchange& exchange, const ParsedRequest& parsed,
                                const transport::HttpResponse& response) const = 0;
  /// Answers "not run" or "unknown".
  virtual void answer(transport::HttpExchange& exchange, const ParsedRequest& parsed,
                      const Answer& answer) const = 0;
};

/// Returns the headers to forward: all except connection-specific ones (RFC 9110, 7.6.1), those
/// that the router sets itself on every message, and those with the prefix `own_prefix`.
transport::HeaderList forwardable_headers(const transport::HeaderList& headers,
                                          std::string_view own_prefix);

}  // namespace planktray::router
