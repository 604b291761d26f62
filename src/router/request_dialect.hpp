#pragma once
/// How requests and answers look on the wire, to callers and to back ends. The router's process
/// knows HTTP; the names of headers, and which statuses mean what, are the dialect's.

#include <string>
#include <string_view>

#include "router/core/router_core.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

namespace planktray::router {

/// A request of a caller in parsed form.
struct ParsedRequest {
  CallerRequest request;   ///< its handle is set by the process
  std::string request_id;  ///< as the caller sent it, or made here where it sent none
};

class RequestDialect {
 public:
  RequestDialect() = default;
  RequestDialect(const RequestDialect&) = delete;
  RequestDialect& operator=(const RequestDialect&) = delete;
  virtual ~RequestDialect() = default;

  /// @return kInvalid where the request can never run as it is.
  virtual common::Result<ParsedRequest> parse(const transport::HttpExchange& exchange) const = 0;
  /// Answers a request that parse() refused.
  virtual void refuse(transport::HttpExchange& exchange, const common::Error& error) const = 0;
  /// The request as a back end gets it. Its address is the process's.
  virtual transport::HttpRequest to_backend(const transport::HttpExchange& exchange,
                                            const ParsedRequest& parsed,
                                            const Forward& forward) const = 0;
  /// A digest of what the request is: the same for each try of the same request, by any router.
  /// @return 0 where the dialect makes none.
  virtual routing::RequestDigest digest(const transport::HttpExchange& /*exchange*/) const {
    return 0;
  }
  /// What a response, or the lack of one, says of the attempt. @param expected the incarnation
  /// that the request was sent to.
  virtual AttemptResult classify(const ParsedRequest& parsed, const common::Incarnation& expected,
                                 const transport::HttpResponse& response) const = 0;
  /// Passes a back end's answer on.
  virtual void forward_response(transport::HttpExchange& exchange, const ParsedRequest& parsed,
                                const transport::HttpResponse& response) const = 0;
  /// Answers "not run" or "unknown".
  virtual void answer(transport::HttpExchange& exchange, const ParsedRequest& parsed,
                      const Answer& answer) const = 0;
};

/// Headers that are passed on: all but those of one connection (RFC 9110, 7.6.1), those that the
/// router sets by itself for every message, and those with the prefix `own_prefix`.
transport::HeaderList forwardable_headers(const transport::HeaderList& headers,
                                          std::string_view own_prefix);

}  // namespace planktray::router
