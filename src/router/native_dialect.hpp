#pragma once
/// The product's own HTTP interface to callers and back ends (docs/PROTOCOLS.md).

#include <string>

#include "router/request_dialect.hpp"

namespace planktray::router {

class NativeDialect final : public RequestDialect {
 public:
  /// @param router name of this router, for error bodies.
  explicit NativeDialect(std::string router) : router_(std::move(router)) {}

  common::Result<ParsedRequest> parse(const transport::HttpExchange& exchange) const override;
  void refuse(transport::HttpExchange& exchange, const common::Error& error) const override;
  transport::HttpRequest to_backend(const transport::HttpExchange& exchange,
                                    const ParsedRequest& parsed,
                                    const Forward& forward) const override;
  AttemptResult classify(const ParsedRequest& parsed, const common::Incarnation& expected,
                         const transport::HttpResponse& response) const override;
  void forward_response(transport::HttpExchange& exchange, const ParsedRequest& parsed,
                        const transport::HttpResponse& response) const override;
  void answer(transport::HttpExchange& exchange, const ParsedRequest& parsed,
              const Answer& answer) const override;

 private:
  std::string router_;
};

}  // namespace planktray::router
