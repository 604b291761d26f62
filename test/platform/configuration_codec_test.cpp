#include "platform/configuration_codec.hpp"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace planktray::platform {
namespace {

using nlohmann::json;

json route_item() {
  return json::parse(R"({"resource_kind":"routes","metadata":{"name":"r"},"specification":{
    "host":"h.example","path_prefix":"/a/","kind":"safe","timeout":"800ms",
    "objective_latency":"300ms","priority":2,
    "traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10}],"max_attempts":2}})");
}

json service_item(const std::string& name) {
  return {{"resource_kind", "services"},
          {"metadata", {{"name", name}}},
          {"specification", {{"max_connections", 130}, {"sharded", true}, {"warmup", "3s"}}}};
}

json limits_item() {
  return json::parse(R"({"resource_kind":"limits","metadata":{},"specification":{
    "max_header_bytes":16384,"max_body_bytes":1024,"header_timeout":"3000ms",
    "idle_timeout":"15000ms"}})");
}

json complete() {
  return {{"version", 7},
          {"base_version", 5},
          {"resources", {route_item(), service_item("s"), service_item("t"), limits_item()}}};
}

TEST_CASE("a complete configuration is parsed into the product's types") {
  const auto change = parse_configuration(complete().dump());
  REQUIRE(change.has_value());
  CHECK(change->version == 7);
  CHECK(change->base_version == 5);
  CHECK(change->replaces_all);
  REQUIRE(change->routes.size() == 1);
  const config::Route& route = change->routes[0];
  CHECK(route.host == "h.example");
  CHECK(route.path_prefix == "/a/");
  CHECK(route.kind.repeatable);
  CHECK(route.timeout_ms == 800);
  CHECK(route.objective_ms == 300);
  CHECK(route.maximum_attempts == 2);
  REQUIRE(route.parts.size() == 2);
  CHECK(route.parts[0].weight == 90);
  REQUIRE(change->services.size() == 2);
  CHECK(change->services[0].keyed);
  CHECK(change->services[0].connections == 130);
  CHECK(change->services[0].warm_up_ms == 3000);
  REQUIRE(change->limits.size() == 1);
  CHECK(change->limits[0].idle_timeout_ms == 15'000);
}

TEST_CASE("each kind of route defines what is repeatable and what is large") {
  const auto kind_of = [](const std::string& kind) {
    json change = complete();
    change["resources"][0]["specification"]["kind"] = kind;
    return parse_configuration(change.dump()).value().routes[0].kind;
  };
  CHECK(kind_of("safe") == config::RequestKind{.repeatable = true});
  CHECK(kind_of("unsafe") == config::RequestKind{});
  CHECK(kind_of("upload") == config::RequestKind{.large_request = true});
  CHECK(kind_of("download") == config::RequestKind{.repeatable = true, .large_answer = true});
}

TEST_CASE("the error for an unknown kind names the route") {
  json change = complete();
  change["resources"][0]["specification"]["kind"] = "odd";
  const auto parsed = parse_configuration(change.dump());
  REQUIRE_FALSE(parsed.has_value());
  CHECK(parsed.error().message.find("route r ") != std::string::npos);
}

TEST_CASE("a stored route without body sizes is decoded as one with small bodies") {
  config::Route route;
  route.name = "r";
  route.kind = {.repeatable = true, .large_request = true, .large_answer = true};
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, route);
  msgpack::object_handle handle = msgpack::unpack(buffer.data(), buffer.size());
  msgpack::object written = handle.get();
  constexpr std::uint32_t kSizes = 2;
  written.via.array.size -= kSizes;
  const auto decoded = written.as<config::Route>();
  CHECK(decoded.name == "r");
  CHECK(decoded.kind == config::RequestKind{.repeatable = true});
}

TEST_CASE("equal content has equal digests; other content and patches have different ones") {
  const auto first = parse_configuration(complete().dump());
  const auto indented = parse_configuration(complete().dump(2));
  CHECK(first->digest == indented->digest);
  json other = complete();
  other["resources"][0]["specification"]["timeout"] = "801ms";
  CHECK(parse_configuration(other.dump())->digest != first->digest);
  const json patch = {{"version", 7}, {"base_version", 5}};
  CHECK(parse_patch(patch.dump())->digest != first->digest);
}

TEST_CASE("a patch lists added and removed items") {
  const json patch = {{"version", 9},
                      {"base_version", 7},
                      {"upsert", {{"resources", {route_item()}}}},
                      {"remove", {{"routes", {"old"}}, {"services", {"gone"}}}}};
  const auto change = parse_patch(patch.dump());
  REQUIRE(change.has_value());
  CHECK_FALSE(change->replaces_all);
  CHECK(change->routes.size() == 1);
  CHECK(change->removed_routes == std::vector<std::string>{"old"});
  CHECK(change->removed_services == std::vector<std::string>{"gone"});
}

TEST_CASE("configurations with invalid fields are refused, and the error names the field") {
  const auto refused = [](const json& body, const std::string& field) {
    const auto change = parse_configuration(body.dump());
    REQUIRE_FALSE(change.has_value());
    CHECK(change.error().code == common::ErrorCode::kInvalid);
    CHECK_MESSAGE(change.error().message.find(field) != std::string::npos, change.error().message);
  };
  json body = complete();
  body.erase("version");
  refused(body, "version");
  body = complete();
  body["base_version"] = -1;
  refused(body, "base_version");
  body = complete();
  body["resources"][0]["specification"]["kind"] = "sometimes";
  refused(body, "kind");
  body = complete();
  body["resources"][0]["specification"].erase("host");
  refused(body, "host");
  body = complete();
  body["resources"][0]["specification"]["timeout"] = 800;
  refused(body, "timeout");
  body = complete();
  body["resources"][0]["specification"]["traffic_split"][0]["weight"] = "much";
  refused(body, "weight");
  body = complete();
  body["resources"][1]["specification"]["max_connections"] = 5'000'000'000;
  refused(body, "max_connections");
  body = complete();
  body["resources"][1]["resource_kind"] = "wishes";
  refused(body, "wishes");
  const std::string text = complete().dump();
  CHECK_FALSE(parse_configuration(text.substr(0, text.size() / 2)).has_value());
  CHECK_FALSE(parse_configuration("[]").has_value());
  CHECK_FALSE(parse_configuration("").has_value());
}

TEST_CASE("the encoded configuration equals the submitted one") {
  const auto change = parse_configuration(complete().dump());
  REQUIRE(change.has_value());
  config::RouteConfiguration configuration;
  configuration.version = change->version;
  configuration.base_version = change->base_version;
  configuration.routes[change->routes[0].name] = change->routes[0];
  for (const config::RoutedService& service : change->services) {
    configuration.services[service.name.value] = service;
  }
  configuration.limits = change->limits[0];
  CHECK(json::parse(to_json(configuration)) == complete());
}

}  // namespace
}  // namespace planktray::platform
