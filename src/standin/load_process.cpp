#include "standin/load_process.hpp"

#include <iostream>
#include <nlohmann/json.hpp>

#include "transport/http_server.hpp"

namespace planktray::standin {
namespace {

using nlohmann::json;
using transport::boot_time_now;

constexpr common::Duration kTick = std::chrono::milliseconds(1);
constexpr std::size_t kConnections = 4096;
/// Time after a request's deadline for which the tool still waits for its response.
constexpr std::uint32_t kGraceMs = 3000;

double milliseconds(common::Duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

transport::HttpClientOptions client_options() {
  transport::HttpClientOptions options;
  options.connections_per_server = kConnections;
  return options;
}

}  // namespace

LoadProcess::LoadProcess(LoadSettings settings)
    : settings_(std::move(settings)), random_(settings_.seed), client_(client_options()) {}

common::Result<void> LoadProcess::start() {
  if (!settings_.record.empty()) {
    record_.open(settings_.record, std::ios::app);
    if (!record_) {
      return common::fail(common::ErrorCode::kIo, "open record", settings_.record,
                          "cannot be written");
    }
  }
  run_id_ = std::to_string(common::to_microseconds(boot_time_now()));
  return {};
}

int LoadProcess::run() {
  started_ = boot_time_now();
  loop_.every(kTick, [this] { send_due(); });
  loop_.on_terminate([this] { settings_.duration = boot_time_now() - started_; });
  loop_.run();
  report();
  return mismatched_ == 0 ? 0 : 1;
}

void LoadProcess::send_due() {
  const common::Duration elapsed = boot_time_now() - started_;
  if (elapsed >= settings_.duration) {
    if (finished_ == sent_) {
      loop_.quit();
    }
    return;
  }
  const double seconds = std::chrono::duration<double>(elapsed).count();
  const auto due = static_cast<std::uint64_t>(seconds * settings_.rate);
  while (sent_ < due) {
    send_one();
  }
}

void LoadProcess::send_one() {
  Call call;
  call.id = run_id_ + "-" + std::to_string(sent_++);
  call.service = settings_.services[common::uniform(random_, 0, settings_.services.size() - 1)];
  call.repeatable = !common::chance(random_, settings_.write_share);
  call.method = call.repeatable ? "GET" : (common::chance(random_, 0.5) ? "POST" : "PUT");
  call.key = "key-" + std::to_string(common::uniform(random_, 0, settings_.keys - 1));
  call.sent_at = boot_time_now();
  const std::string& router =
      settings_.routers[common::uniform(random_, 0, settings_.routers.size() - 1)];
  transport::HttpRequest request;
  request.method = call.method;
  request.address = router;
  request.target = "/" + call.service + "/item";
  request.headers = {{"Planktray-Request-Id", call.id},
                     {"Planktray-Key", call.key},
                     {"Planktray-Timeout-Ms", std::to_string(settings_.timeout_ms)}};
  if (!call.repeatable) {
    request.body = R"({"pallets":1})";
  }
  request.timeout = std::chrono::milliseconds(settings_.timeout_ms + kGraceMs);
  request.fresh_connection = !call.repeatable;
  client_.send(request, [this, call](const auto& response) { on_answer(call, response); });
}

void LoadProcess::on_answer(const Call& call, const transport::HttpResponse& response) {
  ++finished_;
  std::string outcome(response.header("Planktray-Outcome"));
  std::string body_id;
  if (!response.is_whole()) {
    outcome = response.was_sent ? "lost" : "router-unreachable";
  } else if (outcome == "answered") {
    const json body = json::parse(response.text(), nullptr, false);
    body_id = body.is_object() ? body.value("request_id", "") : "";
    latency_.add(boot_time_now() - call.sent_at);
    mismatched_ += body_id == call.id ? 0 : 1;
  }
  ++outcomes_[outcome];
  if (record_.is_open()) {
    record_ << json{{"request_id", call.id},
                    {"service", call.service},
                    {"method", call.method},
                    {"key", call.key},
                    {"repeatable", call.repeatable},
                    {"asked_us", common::to_microseconds(call.sent_at)},
                    {"told_us", common::to_microseconds(boot_time_now())},
                    {"outcome", outcome},
                    {"status", response.status},
                    {"answer_id", body_id}}
                   .dump()
            << "\n";
  }
}

void LoadProcess::report() const {
  json body = {{"sent", sent_},
               {"outcomes", outcomes_},
               {"foreign_answers", mismatched_},
               {"p50_ms", milliseconds(latency_.quantile(0.5))},
               {"p99_ms", milliseconds(latency_.quantile(0.99))},
               {"max_ms", milliseconds(latency_.maximum())}};
  if (settings_.as_json) {
    std::cout << body.dump(2) << "\n";
    return;
  }
  std::cout << "requests sent      " << sent_ << "\n";
  for (const auto& [outcome, count] : outcomes_) {
    std::cout << "  " << outcome << "  " << count << "\n";
  }
  std::cout << "answers to another request  " << mismatched_ << "\n"
            << "latency of answers  p50 " << body["p50_ms"] << " ms  p99 " << body["p99_ms"]
            << " ms  max " << body["max_ms"] << " ms\n";
}

}  // namespace planktray::standin
