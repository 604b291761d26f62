#include "cli/controller_client.hpp"

#include <thread>
#include <utility>

#include "transport/event_loop.hpp"
#include "transport/http_client.hpp"

namespace planktray::cli {
namespace {

constexpr std::chrono::milliseconds kPause(100);
constexpr std::chrono::milliseconds kRequestTimeout(3000);
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

}  // namespace

ControllerClient::ControllerClient(std::vector<std::string> controllers,
                                   std::chrono::milliseconds patience)
    : controllers_(std::move(controllers)), patience_(patience) {}

common::Result<ControllerAnswer> ControllerClient::ask_one(const std::string& controller,
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
  ControllerAnswer answer;
  answer.status = response.status;
  answer.body = nlohmann::json::parse(response.text(), nullptr, false);
  if (answer.body.is_discarded()) {
    answer.body = std::string(response.text());
  }
  return answer;
}

common::Result<ControllerAnswer> ControllerClient::ask(const std::string& method,
                                                       const std::string& path,
                                                       const nlohmann::json& body) {
  const auto give_up = std::chrono::steady_clock::now() + patience_;
  common::Error last{common::ErrorCode::kUnavailable, "ask controllers", "",
                     "no controller is configured"};
  std::string next;
  for (std::size_t i = 0; std::chrono::steady_clock::now() < give_up && !controllers_.empty();
       ++i) {
    const std::string controller = next.empty() ? controllers_[i % controllers_.size()] : next;
    next.clear();
    auto answer = ask_one(controller, method, path, body);
    if (answer.has_value() && answer->status != kServiceUnavailable &&
        answer->status != kGatewayTimeout) {
      return answer;
    }
    if (answer.has_value()) {
      last = {common::ErrorCode::kUnavailable, answer->body.value("step", "ask controllers"),
              controller, answer->body.value("error", "no answer")};
      if (answer->body.value("code", "") == "not-leader") {
        next = answer->body.value("peer", "");
      }
    } else {
      last = answer.error();
    }
    std::this_thread::sleep_for(next.empty() ? kPause : kPause / 10);
  }
  return tl::unexpected(last);
}

}  // namespace planktray::cli
