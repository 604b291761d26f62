#pragma once
/// Many hollow back ends and routers in one process: they use the real protocols on real sockets
/// and execute no requests. Measures control-plane cost at a scale that one machine cannot run in
/// full.

#include <deque>
#include <memory>
#include <string>
#include <vector>
#include <zmq.hpp>

#include "router/core/router_core.hpp"
#include "standin/core/backend_core.hpp"
#include "transport/event_loop.hpp"
#include "transport/http_server.hpp"
#include "transport/zmq_socket.hpp"

namespace planktray::standin {

struct HollowSettings {
  std::string host = "127.0.0.1";
  int first_port = 20'000;  ///< port of the machine list; back ends use the ports after it
  int backends = 0;
  int routers = 0;
  std::string pool = "hollow";
  std::string zone = "hollow";
  std::string cell = "cell-1";
  std::vector<std::string> controllers;  ///< ZeroMQ endpoints, for routers
};

class HollowProcess {
 public:
  explicit HollowProcess(HollowSettings settings) : settings_(std::move(settings)) {}

  common::Result<void> start();
  int run();

 private:
  struct Backend {
    std::unique_ptr<BackendCore> core;
    std::unique_ptr<transport::HttpServer> server;
  };
  struct Router {
    std::unique_ptr<router::RouterCore> core;
    std::vector<std::unique_ptr<transport::ZmqSocket>> controllers;
  };

  common::Result<void> add_backend(int number);
  common::Result<void> add_router(int number);
  void answer(Backend& backend, const transport::ExchangePointer& exchange);
  void tick_routers();
  std::string address(int port) const { return settings_.host + ":" + std::to_string(port); }

  HollowSettings settings_;
  transport::EventLoop loop_;
  zmq::context_t context_;
  std::string machine_list_;
  std::unique_ptr<transport::HttpServer> list_server_;
  std::deque<Backend> backends_;
  std::deque<Router> routers_;
};

}  // namespace planktray::standin
