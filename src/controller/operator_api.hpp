#pragma once
/// HTTP API for operators (docs/PROTOCOLS.md): declarations, status, members, drains and moves.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "controller/core/controller_core.hpp"
#include "transport/http_server.hpp"
#include "transport/metrics.hpp"

namespace planktray::controller {

class OperatorApi {
 public:
  /// @param core handles the requests. @param flush executes the core's pending output.
  OperatorApi(ControllerCore& core, transport::Metrics& metrics, std::function<void()> flush);

  void handle(const transport::ExchangePointer& exchange);
  /// Answers the operator whose request has completed.
  void complete(const Completion& completion);
  /// Called before /metrics is rendered, to update the metrics of ControllerProcess.
  std::function<void()> on_metrics;

 private:
  using Render = std::function<void(transport::HttpExchange& exchange)>;
  struct PendingRequest {
    transport::ExchangePointer exchange;
    Render render;  ///< of a read, once the leader is confirmed; empty for other requests
  };

  void handle_declaration(const transport::ExchangePointer& exchange,
                          ownership::DeclarationKind kind, const std::string& name);
  void change(const transport::ExchangePointer& exchange, ownership::DeclarationKind kind,
              const std::string& name);
  void handle_drain(const transport::ExchangePointer& exchange, const std::string& machine);
  void handle_evacuation(const transport::ExchangePointer& exchange, const std::string& zone);
  void handle_move(const transport::ExchangePointer& exchange);
  void handle_members(const transport::ExchangePointer& exchange);
  void handle_create(const transport::ExchangePointer& exchange);
  /// Renders the answer once this replica has confirmed that it is still the leader.
  void read(const transport::ExchangePointer& exchange, Render render);
  /// Keeps the exchange until its request completes. @return the id of the request.
  OperatorRequestId add_pending(const transport::ExchangePointer& exchange,
                                Render render = nullptr);

  void render_declaration(transport::HttpExchange& exchange, ownership::DeclarationKind kind,
                          const std::string& name) const;
  void render_assignments(transport::HttpExchange& exchange,
                          const common::ServiceKey& service) const;
  std::string identity_json() const;
  std::string status_json() const;
  std::string members_json() const;
  std::string evacuations_json() const;
  std::string sites_json() const;
  std::string metrics_text();

  ControllerCore& core_;
  transport::Metrics& metrics_;
  std::function<void()> flush_;
  std::map<OperatorRequestId, PendingRequest> pending_;
};

}  // namespace planktray::controller
