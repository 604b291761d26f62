#pragma once
/// HTTP client for the controllers of a cell. Finds the leader and retries requests.

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/error.hpp"

namespace planktray::cli {

/// Status and body of a controller's response. A body that is not JSON is kept as a string.
struct ControllerResponse {
  unsigned status = 0;
  nlohmann::json body;
};

/// Sends requests to the controllers of one cell and blocks until they complete.
class ControllerClient {
 public:
  /// @param controllers operator addresses, each "IP:port".
  /// @param patience time limit for finding a leader.
  ControllerClient(std::vector<std::string> controllers, std::chrono::milliseconds patience);

  /// Retries the request until a leader responds or the time limit expires. Retries are safe
  /// because changes carry a change id.
  /// @return kTimeout or kUnavailable if no leader responded.
  common::Result<ControllerResponse> send(const std::string& method, const std::string& path,
                                          const nlohmann::json& body = nullptr);
  /// Sends the request to one controller, without retries.
  common::Result<ControllerResponse> send_to(const std::string& controller,
                                             const std::string& method, const std::string& path,
                                             const nlohmann::json& body = nullptr);
  const std::vector<std::string>& controllers() const { return controllers_; }

 private:
  std::vector<std::string> controllers_;
  std::chrono::milliseconds patience_;
};

}  // namespace planktray::cli
