#include "soak/targets.hpp"

#include <nlohmann/json.hpp>

#include "platform/names.hpp"
#include "transport/event_loop.hpp"

namespace planktray::soak {
namespace {

using nlohmann::json;
using transport::boot_time_now;

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(1000);
constexpr Duration kDrainTime = std::chrono::milliseconds(4000);
constexpr Duration kAbsence = std::chrono::milliseconds(2000);
/// Short, since all targets share the file descriptors of one process and every router may keep
/// connections to each target.
constexpr Duration kIdleTimeout = std::chrono::milliseconds(1000);
constexpr int kPort = 7003;
/// Where the server itself listens, behind its gate.
constexpr int kInnerPort = 7004;
constexpr int kSubnet = 40;
constexpr int kPerSubnet = 200;
constexpr int kSlots = 8;

transport::HttpClientOptions client_options() {
  transport::HttpClientOptions options;
  options.connect_timeout = kAnswerTimeout;
  options.connections_per_server = 1000;
  return options;
}

}  // namespace

Targets::Targets(const std::string& network, int count, std::vector<std::string> controllers,
                 std::uint64_t seed, OnArrival on_arrival, TargetBehavior behavior)
    : controllers_(std::move(controllers)),
      random_(seed),
      on_arrival_(std::move(on_arrival)),
      behavior_(std::move(behavior)),
      client_(client_options()) {
  for (int i = 0; i < count; ++i) {
    auto target = std::make_unique<Target>();
    target->address = network + "." + std::to_string(kSubnet + i / kPerSubnet) + "." +
                      std::to_string(1 + i % kPerSubnet) + ":" + std::to_string(kPort);
    target->service = services()[static_cast<std::size_t>(i) % services().size()];
    target->instance = "t" + std::to_string(i) + "-0";
    targets_.push_back(std::move(target));
  }
}

common::Result<void> Targets::start() {
  transport::HttpServerOptions options =
      transport::options_with_body_limit(behavior_.max_body_bytes);
  options.idle_timeout = kIdleTimeout;
  for (auto& target : targets_) {
    const std::string inner =
        target->address.substr(0, target->address.rfind(':') + 1) + std::to_string(kInnerPort);
    if (auto opened = gates_.open(target->address, inner); !opened) {
      return opened;
    }
    auto server = transport::HttpServer::listen(
        inner, options, [this, raw = target.get()](const transport::ExchangePointer& exchange) {
          handle(*raw, exchange);
        });
    if (!server.has_value()) {
      return tl::unexpected(server.error());
    }
    target->server = std::move(*server);
  }
  return {};
}

void Targets::handle(Target& target, const transport::ExchangePointer& exchange) {
  const std::string id(exchange->header(platform::kRequestIdHeader));
  const std::string_view expected = exchange->header(platform::kExpectedInstanceHeader);
  transport::HeaderList headers = {{platform::kRequestIdHeader, id},
                                   {platform::kInstanceHeader, target.instance}};
  if (target.gone_until.has_value() || (!expected.empty() && expected != target.instance)) {
    headers.emplace_back(platform::kNotExecutedHeader, "1");
    return exchange->respond(platform::kStatusMisdirected, headers, "");
  }
  on_arrival_({id, target.service, target.instance, boot_time_now(), target.leaving_since});
  headers.emplace_back(platform::kSealHeader, "seal-" + id);
  const std::optional<std::string> body =
      behavior_.body_of ? behavior_.body_of(exchange->path()) : "ran " + id;
  if (!body.has_value()) {
    unanswered_.push_back(exchange);
    return;
  }
  exchange->respond(platform::kStatusOk, headers, *body);
}

void Targets::tick(TimePoint now) {
  for (auto& target : targets_) {
    if (target->gone_until.has_value()) {
      if (now < *target->gone_until) {
        continue;
      }
      target->gone_until.reset();
      target->instance = target->instance.substr(0, target->instance.find('-') + 1) +
                         std::to_string(++target->life);
      target->sequence = 0;
      target->draining = false;
      target->leaving_since.reset();
      target->awaits_answer = false;
    }
    if (target->leaving_since.has_value() && now > *target->leaving_since + kDrainTime) {
      deregister(now, *target);
    } else if (now >= target->next_heartbeat && !target->awaits_answer) {
      send_heartbeat(now, *target);
    }
  }
}

void Targets::drain_one(TimePoint now) {
  const std::size_t first = common::uniform(random_, 0, targets_.size() - 1);
  std::map<std::string, int> staying;
  for (const auto& target : targets_) {
    staying[target->service] += target->draining ? 0 : 1;
  }
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    Target& target = *targets_[(first + i) % targets_.size()];
    if (!target.draining && staying[target.service] > 1) {
      target.draining = true;
      target.next_heartbeat = now;
      return;
    }
  }
}

const std::string& Targets::any_controller() {
  return controllers_[common::uniform(random_, 0, controllers_.size() - 1)];
}

void Targets::send_heartbeat(TimePoint now, Target& target) {
  target.next_heartbeat = now + kHeartbeatInterval;
  target.awaits_answer = true;
  const json body = {
      {"address", target.address},
      {"information",
       {{"service", target.service}, {"version", "v1"}, {"zone", "z"}, {"slots", kSlots}}},
      {"status",
       {{"state", target.draining ? "draining" : "ready"},
        {"sequence", ++target.sequence},
        {"cold_remaining", "0ms"}}}};
  transport::HttpRequest request;
  request.method = "POST";
  request.address = target.next_controller.empty() ? any_controller() : target.next_controller;
  request.target = platform::kInstancesPrefix + target.instance + platform::kHeartbeatSuffix;
  request.headers = {{"Content-Type", "application/json"}};
  request.body = body.dump();
  request.timeout = kAnswerTimeout;
  client_.send(std::move(request),
               [this, &target, life = target.life,
                sent_draining = target.draining](const transport::HttpResponse& response) {
                 on_answer(target, life, sent_draining, response);
               });
}

void Targets::on_answer(Target& target, int life, bool sent_draining,
                        const transport::HttpResponse& response) {
  if (life != target.life || target.gone_until.has_value()) {
    return;
  }
  target.awaits_answer = false;
  if (response.status != platform::kStatusOk) {
    target.next_controller.clear();
    target.next_heartbeat = boot_time_now() + kHeartbeatInterval / 5;
    const std::string_view location = response.header("Location");
    if (!location.empty()) {
      target.next_controller = transport::split_url(std::string(location)).first;
      target.next_heartbeat = boot_time_now();
    }
    return;
  }
  ++acknowledged_;
  const json body = json::parse(response.text(), nullptr, false);
  if (body.is_object()) {
    target.next_controller = body.value(platform::kNextHeartbeatField, "");
  }
  if (sent_draining && !target.leaving_since.has_value()) {
    ++leavings_;
    target.leaving_since = boot_time_now();
  }
}

void Targets::deregister(TimePoint now, Target& target) {
  transport::HttpRequest request;
  request.method = "POST";
  request.address = any_controller();
  request.target = platform::kInstancesPrefix + target.instance + platform::kDeregisterSuffix;
  request.timeout = kAnswerTimeout;
  client_.send(std::move(request), [](const transport::HttpResponse& /*response*/) {});
  target.gone_until = now + kAbsence;
}

}  // namespace planktray::soak
