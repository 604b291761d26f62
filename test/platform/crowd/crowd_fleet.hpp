#pragma once
/// A small fleet of real processes for crowds of clients: three controllers, one router, and two
/// targets in this process. What is checked does not depend on the speed of the machine.

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "soak/operator.hpp"
#include "soak/processes.hpp"
#include "soak/targets.hpp"
#include "transport/event_loop.hpp"
#include "transport/http_client.hpp"

namespace planktray::crowd {

using soak::Role;

/// The machine limits of the fleet's processes, and what its configuration says.
struct CrowdFleetOptions {
  std::uint64_t seed = 1;      ///< selects the network; each test has its own
  std::size_t memory_mb = 40;  ///< of the router
  std::size_t controller_memory_mb = 64;
  std::uint64_t descriptors = 400;  ///< of each process
  soak::ConfiguredLimits limits{8U << 20U, "60000ms", "60000ms", "1500ms"};
  soak::TargetBehavior targets{8U << 20U, {}};
};

/// The largest values that a process has reached.
struct Usage {
  std::size_t memory_bytes = 0;
  std::size_t descriptors = 0;
};

class CrowdFleet {
 public:
  explicit CrowdFleet(CrowdFleetOptions options);

  /// Starts all processes and waits until the router serves. @return false if it does not.
  bool start();
  /// Runs the event loop until the condition holds. @return false if it does not within a minute.
  bool run_until(const std::function<bool()>& condition);
  void run_for(common::Duration time);

  /// Sends a request to the router until it is answered with success, as a client would.
  bool serves(const transport::HttpRequest& request);
  /// Asks the first controller for the configuration until it answers, or names the leader.
  bool controller_answers();
  /// A GET that the targets answer with a short body.
  transport::HttpRequest ordinary_request() const;

  bool all_alive() const;
  const Usage& router() const { return router_usage_; }
  const Usage& controller() const { return controller_usage_; }
  const CrowdFleetOptions& options() const { return options_; }

  std::string front_address() const;
  std::string ready_address() const;
  std::string relay_address() const;
  std::string control_address() const;
  /// Address at which the first controller takes messages of other processes.
  std::string internal_address() const;
  /// Address of the first controller's own operator interface.
  std::string operator_address() const;

 private:
  std::vector<std::string> control_addresses() const;
  void tick();
  /// Updates the largest values of a process.
  static void sample(const soak::Process& process, Usage& usage);
  /// Sends a request on a connection of its own. @return the status; 0 if there is no answer.
  unsigned status_of(const transport::HttpRequest& request);

  CrowdFleetOptions options_;
  transport::EventLoop loop_;
  soak::Processes processes_;
  soak::Operator operator_;
  soak::Targets targets_;
  transport::HttpClient client_;
  Usage router_usage_;
  Usage controller_usage_;  ///< of the first controller
  std::size_t requests_ = 0;
  bool has_ended_process_ = false;
  std::function<bool()> condition_;
  bool condition_held_ = false;
  common::TimePoint give_up_;
};

}  // namespace planktray::crowd
