#include "cli/controller_client.hpp"

#include <thread>
#include <utility>

#include "transport/event_loop.hpp"
#include "transport/http_client.hpp"

namespace planktray::cli {
namespace {

constexpr std::chrono::milliseconds kRetryInterval(100);
constexpr std::chrono::milliseconds kRequestTimeout(3000);
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

}  // namespace

ControllerClient::ControllerClient(std::vector<std::string> controllers,
                                   std::chrono::milliseconds patience)
    : controllers_(std::move(controllers)), patience_(patience) {}

common::Result<ControllerResponse> ControllerClient::send_to(const std::string& controller,
                                                             const std::string& method,
                                                             const std::string& path,
                                                             const nlohmann::json& body) {
  transport::EventLoop loop;
  transport::HttpClient client(transport::HttpClientOptions{});
  transport::HttpRequest request;
  request.method = method;
  request.address = controller;
  request.target = path;
  request.headers = {{"Content-Type", "application/json"}};
  request.body = body.is_null() ? "" : body.dump();
  request.timeout = kRequestTimeout;
  transport::HttpResponse response;
  client.send(request, [&](const transport::HttpResponse& received) {
    response = received;
    loop.quit();
  });
  loop.run();
  if (!response.is_whole()) {
    return tl::unexpected(response.error);
  }
  ControllerResponse answer;
  answer.status = response.status;
  answer.body = nlohmann::json::parse(response.text(), nullptr, false);
  if (answer.body.is_discarded()) {
    answer.body = std::string(response.text());
  }
  return answer;
}

common::Result<ControllerResponse> ControllerClient::send(const std::string& method,
                                                          const std::string& path,
                                                          const nlohmann::json& body) {
  const auto deadline = std::chrono::steady_clock::now() + patience_;
  common::Error last_error{common::ErrorCode::kUnavailable, "ask controllers", "",
                           "no controller is configured"};
  std::string leader;
  for (std::size_t i = 0; std::chrono::steady_clock::now() < deadline && !controllers_.empty();
       ++i) {
    const std::string controller = leader.empty() ? controllers_[i % controllers_.size()] : leader;
    leader.clear();
    auto answer = send_to(controller, method, path, body);
    if (answer.has_value() && answer->status != kServiceUnavailable &&
        answer->status != kGatewayTimeout) {
      return answer;
    }
    if (answer.has_value()) {
      last_error = {common::ErrorCode::kUnavailable, answer->body.value("step", "ask controllers"),
                    controller, answer->body.value("error", "no response")};
      if (answer->body.value("code", "") == "not-leader") {
        leader = answer->body.value("peer", "");
      }
    } else {
      last_error = answer.error();
    }
    std::this_thread::sleep_for(leader.empty() ? kRetryInterval : kRetryInterval / 10);
  }
  return tl::unexpected(last_error);
}

}  // namespace planktray::cli
