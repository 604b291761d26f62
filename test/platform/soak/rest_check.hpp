#pragma once
/// Checks what routers still keep when nothing is sent any more: records of finished requests that
/// stay would grow for as long as the process lives.

#include <functional>
#include <string>
#include <vector>

#include "soak/processes.hpp"
#include "transport/http_client.hpp"

namespace planktray::soak {

class RestCheck {
 public:
  using Done = std::function<void(std::vector<std::string> violations)>;

  explicit RestCheck(const Processes& processes);

  /// Reads the metrics of every router. @param done receives the violated guarantees.
  void run(const Done& done);

 private:
  const Processes& processes_;
  transport::HttpClient client_;
};

}  // namespace planktray::soak
