#pragma once
/// The targets of the soak test: HTTP servers in this process that register themselves, drain,
/// return as a new incarnation at the same address, and report each request that they execute.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/random.hpp"
#include "common/time.hpp"
#include "soak/gates.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

namespace planktray::soak {

using common::Duration;
using common::TimePoint;

/// A request that a target executed.
struct Arrival {
  std::string request;
  std::string service;
  std::string instance;
  TimePoint when;
  std::optional<TimePoint> leaving_since;  ///< when its draining was acknowledged
};

/// What the targets take and answer.
struct TargetBehavior {
  std::size_t max_body_bytes = 1024;
  /// Returns the body of the answer to a request for this path, or nothing if the request is not
  /// answered. Empty: a short body for each.
  std::function<std::optional<std::string>(const std::string& path)> body_of;
};

class Targets {
 public:
  using OnArrival = std::function<void(const Arrival&)>;

  Targets(const std::string& network, int count, std::vector<std::string> controllers,
          std::uint64_t seed, OnArrival on_arrival, TargetBehavior behavior = {});
  common::Result<void> start();
  /// Sends due heartbeats; deregisters drained targets and starts their next incarnation.
  void tick(TimePoint now);
  /// Starts draining one target whose service keeps at least one other.
  void drain_one(TimePoint now);
  std::uint64_t heartbeats_acknowledged() const { return acknowledged_; }
  std::uint64_t leavings_acknowledged() const { return leavings_; }
  /// Passes the connections between processes and targets.
  Gates& gates() { return gates_; }
  static std::vector<std::string> services() { return {"first", "second"}; }

 private:
  struct Target {
    std::string address;
    std::string service;
    std::string instance;
    int life = 0;
    std::uint64_t sequence = 0;
    bool draining = false;
    bool awaits_answer = false;
    std::optional<TimePoint> leaving_since;
    std::optional<TimePoint> gone_until;  ///< deregistered; the next incarnation starts then
    TimePoint next_heartbeat;
    std::string next_controller;
    std::unique_ptr<transport::HttpServer> server;
  };

  void handle(Target& target, const transport::ExchangePointer& exchange);
  void send_heartbeat(TimePoint now, Target& target);
  void on_answer(Target& target, int life, bool sent_draining,
                 const transport::HttpResponse& response);
  void deregister(TimePoint now, Target& target);
  const std::string& any_controller();

  std::vector<std::string> controllers_;
  common::RandomEngine random_;
  OnArrival on_arrival_;
  TargetBehavior behavior_;
  std::vector<transport::ExchangePointer> unanswered_;  ///< requests that get no answer
  transport::HttpClient client_;
  Gates gates_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::uint64_t acknowledged_ = 0;
  std::uint64_t leavings_ = 0;
};

}  // namespace planktray::soak
