#pragma once
/// Talks to a cell's controllers: finds the leader and asks again where that is safe.

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/error.hpp"

namespace planktray::cli {

struct ControllerAnswer {
  unsigned status = 0;
  nlohmann::json body;
};

class ControllerClient {
 public:
  /// @param controllers "IP:port" of operator addresses; @param patience how long to look for a
  ///   leader.
  ControllerClient(std::vector<std::string> controllers, std::chrono::milliseconds patience);

  /// Asks until a leader answers or patience ends. Changes carry a change id, so asking again is
  /// safe. @return kTimeout or kUnavailable where nobody answered.
  common::Result<ControllerAnswer> ask(const std::string& method, const std::string& path,
                                       const nlohmann::json& body = nullptr);
  /// Asks one controller once.
  common::Result<ControllerAnswer> ask_one(const std::string& controller, const std::string& method,
                                           const std::string& path,
                                           const nlohmann::json& body = nullptr);
  const std::vector<std::string>& controllers() const { return controllers_; }

 private:
  std::vector<std::string> controllers_;
  std::chrono::milliseconds patience_;
};

}  // namespace planktray::cli
