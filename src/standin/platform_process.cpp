#include "standin/platform_process.hpp"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "transport/json_messages.hpp"
#include "transport/logging.hpp"

namespace planktray::standin {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxBody = 16 * 1024 * 1024;
constexpr unsigned kStatusOk = 200;
constexpr std::string_view kPrefix = "/machines/";

}  // namespace

common::Result<void> PlatformProcess::start() {
  std::ifstream file(settings_.file);
  std::ostringstream text;
  text << file.rdbuf();
  auto list = transport::parse_machine_list(text.str(), settings_.file);
  if (!list.has_value()) {
    return tl::unexpected(list.error());
  }
  versions_.emplace_back(common::TimePoint(), std::move(*list));
  auto server = transport::HttpServer::listen(
      settings_.address, transport::options_with_body_limit(kMaxBody),
      [this](const transport::ExchangePointer& exchange) { on_http(exchange); });
  if (!server.has_value()) {
    return tl::unexpected(server.error());
  }
  server_ = std::move(*server);
  transport::log_event("started", {{"address", settings_.address}});
  return {};
}

int PlatformProcess::run() {
  loop_.on_terminate([this] { loop_.quit(); });
  loop_.run();
  return 0;
}

const membership::MachineList& PlatformProcess::visible() {
  const auto now = transport::boot_time_now();
  while (versions_.size() > 1 && versions_[1].first <= now) {
    versions_.pop_front();
  }
  return versions_.front().second;
}

void PlatformProcess::on_http(const transport::ExchangePointer& exchange) {
  const std::string& path = exchange->path();
  if (path == "/machines" && exchange->method() == "GET") {
    return exchange->respond_json(kStatusOk, transport::to_json(visible()));
  }
  if (path.starts_with(kPrefix) && exchange->method() == "PUT") {
    return change(exchange, path.substr(kPrefix.size()));
  }
  if (path == "/healthz" || path == "/readyz") {
    return exchange->respond_text(kStatusOk, "text/plain", "ok\n");
  }
  exchange->respond_error({common::ErrorCode::kNotFound, "route request", "", "no such resource"});
}

void PlatformProcess::change(const transport::ExchangePointer& exchange, const std::string& name) {
  const json body = json::parse(exchange->body(), nullptr, false);
  if (!body.is_object()) {
    return exchange->respond_error(
        {common::ErrorCode::kInvalid, "change machine", "", "the body must be a JSON object"});
  }
  membership::MachineList next = versions_.back().second;
  const membership::Machine* present = next.find(common::MachineName(name));
  membership::Machine machine = present == nullptr ? membership::Machine() : *present;
  machine.name = common::MachineName(name);
  machine.address = body.value("address", machine.address);
  machine.zone = common::ZoneName(body.value("zone", machine.zone.value));
  machine.pool = common::PoolName(body.value("pool", machine.pool.value));
  machine.leaving = body.value("state", "live") == "leaving";
  next.add(std::move(machine));
  ++next.version;
  versions_.emplace_back(transport::boot_time_now() + settings_.lag, std::move(next));
  exchange->respond_json(kStatusOk, "{}");
}

}  // namespace planktray::standin
