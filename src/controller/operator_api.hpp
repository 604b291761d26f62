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
  /// @param core is asked and told; `flush` carries out what it wants done.
  OperatorApi(ControllerCore& core, transport::Metrics& metrics, std::function<void()> flush);

  void handle(const transport::ExchangePointer& exchange);
  /// Answers the operator whose request has ended.
  void complete(const Completion& completion);
  /// Bytes and counts that the shell keeps, shown at /metrics.
  std::function<void()> on_metrics;

 private:
  using Render = std::function<void(transport::HttpExchange& exchange)>;
  struct Waiting {
    transport::ExchangePointer exchange;
    Render render;  ///< for reads
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
  /// Answers once the leader has confirmed that it still leads.
  void read(const transport::ExchangePointer& exchange, Render render);
  OperatorRequestId await(const transport::ExchangePointer& exchange, Render render = nullptr);

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
  std::map<OperatorRequestId, Waiting> waiting_;
};

}  // namespace planktray::controller
