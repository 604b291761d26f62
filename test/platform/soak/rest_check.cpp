#include "soak/rest_check.hpp"

#include <array>
#include <memory>
#include <sstream>
#include <utility>

namespace planktray::soak {
namespace {

constexpr Duration kAnswerTimeout = std::chrono::milliseconds(2000);
constexpr unsigned kStatusOk = 200;
/// Gauges of a router that are 0 while it has no request.
constexpr std::array kEmptyAtRest = {"planktray_attempts_kept", "planktray_requests_in_flight",
                                     "planktray_requests_waiting"};

/// Returns the sample of a metric without labels; empty if it is missing.
std::string sample_of(const std::string& metrics, const std::string& name) {
  std::istringstream lines(metrics);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(name + " ")) {
      return line.substr(name.size() + 1);
    }
  }
  return "";
}

std::vector<std::string> violations_of(const std::string& router,
                                       const transport::HttpResponse& response) {
  if (response.status != kStatusOk) {
    return {"KEPT " + router + " does not tell its metrics"};
  }
  std::vector<std::string> violations;
  for (const char* name : kEmptyAtRest) {
    const std::string sample = sample_of(std::string(response.text()), name);
    if (sample != "0") {
      std::string violation = "KEPT " + router;
      violation.append(" has ").append(name).append(" ").append(sample).append(" at rest");
      violations.push_back(std::move(violation));
    }
  }
  return violations;
}

}  // namespace

RestCheck::RestCheck(const Processes& processes)
    : processes_(processes), client_(transport::HttpClientOptions()) {}

void RestCheck::run(const Done& done) {
  struct Progress {
    std::size_t unanswered;
    std::vector<std::string> violations;
  };
  const std::vector<std::size_t> routers = processes_.of(Role::kRouter);
  const auto progress = std::make_shared<Progress>(Progress{routers.size(), {}});
  for (const std::size_t router : routers) {
    const Process& process = processes_.all()[router];
    transport::HttpRequest request;
    request.address = process.ready;
    request.target = "/metrics";
    request.timeout = kAnswerTimeout;
    client_.send(std::move(request),
                 [progress, done, name = process.name](const transport::HttpResponse& response) {
                   for (std::string& violation : violations_of(name, response)) {
                     progress->violations.push_back(std::move(violation));
                   }
                   if (--progress->unanswered == 0) {
                     done(std::move(progress->violations));
                   }
                 });
  }
}

}  // namespace planktray::soak
