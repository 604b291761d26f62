#pragma once
/// The shell around RouterCore: HTTP towards callers and back ends, ZeroMQ towards controllers.

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "router/core/router_core.hpp"
#include "transport/event_loop.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"
#include "transport/metrics.hpp"
#include "transport/zmq_socket.hpp"

namespace planktray::router {

struct RouterSettings {
  RouterOptions options;
  std::vector<std::string> controllers;  ///< ZeroMQ endpoints
  std::size_t maximum_body = 8 * 1024 * 1024;
  int connections_per_backend = 130;
  common::Duration drain_timeout = std::chrono::milliseconds(30'000);
};

class RouterProcess {
 public:
  explicit RouterProcess(RouterSettings settings);

  common::Result<void> start();
  int run();

 private:
  /// A caller that waits, with what its request carries.
  struct Caller {
    transport::ExchangePointer exchange;
    std::string request_id;
    std::string key;
    common::ServiceKey service;
    common::TimePoint arrived;
  };
  /// An attempt that is under way, or whose answer waits to be passed on.
  struct Sent {
    std::uint64_t call = 0;
    transport::HttpResponse response;
  };

  void on_http(const transport::ExchangePointer& exchange);
  void on_caller(const transport::ExchangePointer& exchange);
  void refuse_bad_request(const transport::ExchangePointer& exchange, const std::string& message);
  void flush();
  void send_forward(const Forward& forward);
  void on_response(AttemptId attempt, const transport::HttpResponse& response);
  AttemptResult judge(const Caller& caller, const transport::HttpResponse& response) const;
  void send_answer(const Answer& answer);
  void begin_drain();
  std::string metrics_text();

  RouterSettings settings_;
  transport::EventLoop loop_;
  zmq::context_t context_;
  RouterCore core_;
  transport::Metrics metrics_;
  prometheus::Histogram& latency_;
  std::unique_ptr<transport::HttpServer> server_;
  std::unique_ptr<transport::HttpClient> client_;
  std::vector<std::unique_ptr<transport::ZmqSocket>> controllers_;
  std::unordered_map<RequestHandle, Caller> callers_;
  std::unordered_map<AttemptId, Sent> sent_;
  RequestHandle next_handle_ = 1;
  bool was_serving_ = false;
  bool flushing_ = false;
  bool draining_ = false;
  common::TimePoint drain_until_;
};

}  // namespace planktray::router
