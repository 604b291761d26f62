#pragma once
/// A router in the simulator: the shipping RouterCore with virtual connections to back ends.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "router/core/router_core.hpp"
#include "sim/backend_node.hpp"
#include "sim/directory.hpp"
#include "sim/environment.hpp"

namespace planktray::sim {

/// What a caller asks.
struct CallerCall {
  std::string request;
  common::ServiceKey service;
  std::string key;
  std::string method;
  std::uint32_t timeout_ms = 0;
};

/// What a caller is told.
struct CallerReply {
  routing::Outcome outcome = routing::Outcome::kUnknown;
  std::string answer_to;
  bool whole = true;
};

class RouterNode {
 public:
  using CallHandler = std::function<void(const CallerReply&)>;

  RouterNode(Environment& environment, Directory& directory, HostId host,
             router::RouterOptions options, Duration connect_time);

  void start();
  void kill();
  void stop_as_planned();

  /// A caller's request; `reply` runs here when the router answers.
  void receive(const CallerCall& call, CallHandler reply);
  void receive(const routing::TableUpdate& update);

  /// Tells the history which revisions it serves now.
  void observe_service();

  Host& host() { return environment_.network.host(host_); }
  HostId host_id() const { return host_; }
  bool is_up() { return host().is_alive(); }
  bool is_stopping() const { return stopping_; }
  bool is_listening() { return is_up() && !stopping_; }
  const router::RouterCore& core() const { return *core_; }
  const common::RouterName& name() const { return options_.name; }
  bool is_serving() { return is_up() && core_->is_serving(host().clock()); }

 private:
  struct Call {
    std::string request;
    common::ServiceKey service;
    CallHandler reply;
    std::map<router::AttemptId, WorkReply> answers;
  };
  /// One attempt's connection.
  struct Connection {
    router::RequestHandle handle = 0;
    bool written = false;
  };

  void tick();
  void flush();
  void forward(const router::Forward& forward);
  void connect(const router::Forward& forward, BackendNode* backend);
  void write(const router::Forward& forward, BackendNode* backend, std::uint64_t connection);
  void end_attempt(router::AttemptId attempt, const router::AttemptResult& result);
  void take_reply(router::AttemptId attempt, const WorkReply& reply);
  void answer(const router::Answer& answer);
  void check_stop();
  void stop_now();

  Environment& environment_;
  Directory& directory_;
  HostId host_;
  router::RouterOptions options_;
  Duration connect_time_;
  std::optional<router::RouterCore> core_;
  bool stopping_ = false;
  bool was_serving_ = false;
  std::map<std::string, std::uint64_t> served_;
  router::RequestHandle next_handle_ = 1;
  std::map<router::RequestHandle, Call> calls_;
  std::map<router::AttemptId, Connection> connections_;
};

}  // namespace planktray::sim
