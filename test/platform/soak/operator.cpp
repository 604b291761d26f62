#include "soak/operator.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "platform/names.hpp"
#include "soak/targets.hpp"
#include "transport/event_loop.hpp"

namespace planktray::soak {
namespace {

using nlohmann::json;
using transport::boot_time_now;

constexpr common::Duration kChangeInterval = std::chrono::milliseconds(150);
constexpr common::Duration kAnswerTimeout = std::chrono::milliseconds(1000);
constexpr common::Duration kPause = std::chrono::milliseconds(50);
/// Maximum number of changing routes in force at the same time.
constexpr std::size_t kMaxRoutes = 12;

json route(const std::string& name, const std::string& path, const std::string& service, bool safe,
           const std::string& timeout) {
  return {{"resource_kind", "routes"},
          {"metadata", {{"name", name}}},
          {"specification",
           {{"host", Operator::kHost},
            {"path_prefix", path},
            {"kind", safe ? "safe" : "unsafe"},
            {"timeout", timeout},
            {"objective_latency", "400ms"},
            {"priority", 0},
            {"service", service},
            {"max_attempts", 2}}}};
}

json service(const std::string& name) {
  return {{"resource_kind", "services"},
          {"metadata", {{"name", name}}},
          {"specification",
           {{"health_check_path", "/health"},
            {"max_connections", 1000},
            {"protocol", "h1"},
            {"tls", false}}}};
}

}  // namespace

Operator::Operator(std::vector<std::string> controllers, std::uint64_t seed,
                   ConfiguredLimits limits)
    : controllers_(std::move(controllers)),
      limits_(std::move(limits)),
      random_(seed),
      client_({}) {}

void Operator::tick(TimePoint now, bool may_start) {
  if (!change_.has_value()) {
    if (!may_start || now < next_change_) {
      return;
    }
    begin_change();
  }
  if (!change_->is_under_way && now >= change_->next_try) {
    send(now);
  }
}

void Operator::begin_change() {
  Change change;
  change.version = version_ + 1 + common::uniform(random_, 0, 2);
  json body = {{"version", change.version}, {"base_version", version_}};
  if (version_ == 0) {
    change.path = platform::kPutPath;
    body["resources"] = first_resources();
  } else {
    change.path = platform::kPatchPath;
    const auto in_force = [](const ChangingRoute& item) { return !item.removal_sent; };
    const auto oldest = std::find_if(routes_.begin(), routes_.end(), in_force);
    const auto count =
        static_cast<std::size_t>(std::count_if(routes_.begin(), routes_.end(), in_force));
    if (count >= kMaxRoutes) {
      change.removes = static_cast<std::size_t>(oldest - routes_.begin());
      oldest->removal_sent = true;
      body["remove"] = {{"routes", {"r" + std::to_string(*change.removes)}}};
    } else {
      change.adds = routes_.size();
      const std::string name = "r" + std::to_string(routes_.size());
      routes_.push_back({"/" + name + "/", std::nullopt, false, std::nullopt});
      body["upsert"]["resources"] = {route(name, routes_.back().path,
                                           Targets::services()[*change.adds % 2], true,
                                           limits_.route_timeout)};
    }
  }
  change.body = body.dump();
  change_ = std::move(change);
}

nlohmann::json Operator::first_resources() const {
  const std::vector<std::string> services = Targets::services();
  return {service(services[0]),
          service(services[1]),
          route("safe", kSafePath, services[0], true, limits_.route_timeout),
          route("unsafe", kUnsafePath, services[1], false, limits_.route_timeout),
          {{"resource_kind", "limits"},
           {"metadata", json::object()},
           {"specification",
            {{"max_header_bytes", 16384},
             {"max_body_bytes", limits_.max_body_bytes},
             {"header_timeout", limits_.header_timeout},
             {"idle_timeout", limits_.idle_timeout}}}}};
}

void Operator::send(TimePoint /*now*/) {
  change_->is_under_way = true;
  transport::HttpRequest request;
  request.method = "POST";
  request.target = change_->path;
  request.address = change_->next_controller.empty()
                        ? controllers_[common::uniform(random_, 0, controllers_.size() - 1)]
                        : change_->next_controller;
  request.headers = {{"Content-Type", "application/json"}};
  request.body = change_->body;
  request.timeout = kAnswerTimeout;
  client_.send(std::move(request),
               [this](const transport::HttpResponse& response) { on_answer(response); });
}

void Operator::on_answer(const transport::HttpResponse& response) {
  const TimePoint now = boot_time_now();
  Change& change = *change_;
  change.is_under_way = false;
  change.next_controller.clear();
  change.next_try = now + kPause;
  const std::string_view location = response.header("Location");
  if (response.status == platform::kStatusTemporaryRedirect && !location.empty()) {
    change.next_controller = transport::split_url(std::string(location)).first;
    change.next_try = now;
    return;
  }
  if (response.status >= 400 && response.status < 500) {
    // This is the only operator and it builds on the newest version: any refusal is a violation.
    violations_.push_back("CONFIG version " + std::to_string(change.version) + " on " +
                          std::to_string(version_) + " was refused with " +
                          std::to_string(response.status) + " " + std::string(response.text()));
    change_.reset();
    next_change_ = TimePoint::max();
    return;
  }
  if (response.status != platform::kStatusOk) {
    return;
  }
  ++acknowledged_;
  version_ = change.version;
  if (change.adds.has_value()) {
    routes_[*change.adds].added = now;
  }
  if (change.removes.has_value()) {
    routes_[*change.removes].removed = now;
  }
  change_.reset();
  next_change_ = now + kChangeInterval;
}

}  // namespace planktray::soak
