#include "router/native_dialect.hpp"

#include <glib.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "common/json_text.hpp"

namespace planktray::router {
namespace {

constexpr const char* kRequestId = "Planktray-Request-Id";
constexpr const char* kOutcome = "Planktray-Outcome";
constexpr const char* kOwnPrefix = "Planktray-";
constexpr std::size_t kMaxRequestIdLength = 128;
constexpr std::size_t kMaxKeyLength = 1024;

constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusUnavailable = 503;
constexpr unsigned kStatusTimeout = 504;

/// Reads a path of the form "/tenant/service/...". @return false if a segment is missing or empty.
bool parse_path(const std::string& path, common::ServiceKey& service) {
  const auto first = path.find('/', 1);
  if (path.empty() || path[0] != '/' || first == std::string::npos) {
    return false;
  }
  const auto second = path.find('/', first + 1);
  service.tenant.value = path.substr(1, first - 1);
  service.service.value =
      path.substr(first + 1, second == std::string::npos ? second : second - first - 1);
  return !service.tenant.value.empty() && !service.service.value.empty();
}

std::string new_request_id() {
  char* text = g_uuid_string_random();
  std::string id(text);
  g_free(text);
  return id;
}

std::string retry_after_seconds(common::Duration wait) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait).count();
  return std::to_string(std::max<std::int64_t>(1, seconds));
}

tl::unexpected<common::Error> bad_request(const std::string& message) {
  return common::fail(common::ErrorCode::kInvalid, "read request", "", message);
}

}  // namespace

transport::HeaderList forwardable_headers(const transport::HeaderList& headers,
                                          std::string_view own_prefix) {
  constexpr std::array<std::string_view, 12> kNotForwarded = {"Connection",
                                                              "Keep-Alive",
                                                              "Proxy-Connection",
                                                              "Transfer-Encoding",
                                                              "TE",
                                                              "Trailer",
                                                              "Upgrade",
                                                              "Host",
                                                              "Content-Length",
                                                              "Expect",
                                                              "Date",
                                                              "Server"};
  const auto is_forwarded = [&](const auto& header) {
    const std::string_view name = header.first;
    const bool has_own_prefix =
        !own_prefix.empty() && transport::begins_with_ignoring_case(name, own_prefix);
    return !has_own_prefix &&
           std::none_of(kNotForwarded.begin(), kNotForwarded.end(), [&](std::string_view excluded) {
             return transport::equals_ignoring_case(excluded, name);
           });
  };
  transport::HeaderList forwarded;
  std::copy_if(headers.begin(), headers.end(), std::back_inserter(forwarded), is_forwarded);
  return forwarded;
}

common::Result<ParsedRequest> NativeDialect::parse(const transport::HttpExchange& exchange) const {
  ParsedRequest parsed;
  CallerRequest& request = parsed.request;
  if (!parse_path(exchange.path(), request.service)) {
    return bad_request("the path must be /tenant/service/...");
  }
  const std::string_view timeout = exchange.header("Planktray-Timeout-Ms");
  if (!timeout.empty()) {
    const char* end = timeout.data() + timeout.size();
    const auto result = std::from_chars(timeout.data(), end, request.timeout_ms);
    if (result.ec != std::errc() || result.ptr != end || request.timeout_ms == 0 ||
        request.timeout_ms > config::kMaxTimeoutMs) {
      return bad_request("Planktray-Timeout-Ms must be from 1 to " +
                         std::to_string(config::kMaxTimeoutMs));
    }
  }
  const std::string_view given_id = exchange.header(kRequestId);
  const std::string_view key = exchange.header("Planktray-Key");
  if (given_id.size() > kMaxRequestIdLength || key.size() > kMaxKeyLength) {
    return bad_request("Planktray-Request-Id or Planktray-Key is too long");
  }
  request.key = std::string(key);
  request.method = std::string(exchange.method());
  parsed.request_id = given_id.empty() ? new_request_id() : std::string(given_id);
  return parsed;
}

void NativeDialect::refuse(transport::HttpExchange& exchange, const common::Error& error) const {
  const nlohmann::json body = {{"error", error.message}, {"step", error.step}, {"peer", ""}};
  exchange.respond_json(
      kStatusBadRequest, common::json_text(body),
      {{kOutcome, "not-run"}, {kRequestId, std::string(exchange.header(kRequestId))}});
}

transport::HttpRequest NativeDialect::to_backend(const transport::HttpExchange& exchange,
                                                 const ParsedRequest& parsed,
                                                 const Forward& forward) const {
  transport::HttpRequest request;
  request.method = std::string(exchange.method());
  request.target = exchange.target();
  request.headers = forwardable_headers(exchange.headers(), kOwnPrefix);
  request.body = exchange.shared_body();
  request.fresh_connection = !forward.repeatable;
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(forward.time_left).count();
  request.headers.insert(request.headers.end(),
                         {{kRequestId, parsed.request_id},
                          {"Planktray-Tenant", parsed.request.service.tenant.value},
                          {"Planktray-Service", parsed.request.service.service.value},
                          {"Planktray-Timeout-Ms", std::to_string(std::max<std::int64_t>(1, left))},
                          {"Planktray-Incarnation", forward.incarnation.value}});
  if (forward.keyed) {
    request.headers.insert(request.headers.end(),
                           {{"Planktray-Key", parsed.request.key},
                            {"Planktray-Shard", std::to_string(forward.shard.value)},
                            {"Planktray-Epoch", std::to_string(forward.epoch.value)}});
  }
  return request;
}

AttemptResult NativeDialect::classify(const ParsedRequest& parsed,
                                      const common::Incarnation& /*expected*/,
                                      const transport::HttpResponse& response) const {
  AttemptResult result;
  if (!response.is_whole()) {
    result.end = response.was_sent ? routing::AttemptEnd::kBroken : routing::AttemptEnd::kNotSent;
  } else if (routing::parse_refusal(response.header("Planktray-Not-Run"), result.refusal)) {
    result.end = routing::AttemptEnd::kRefused;
  } else if (response.header(kRequestId) == parsed.request_id) {
    result.end = routing::AttemptEnd::kAnswered;
  } else {
    result.end = routing::AttemptEnd::kForeign;
  }
  return result;
}

void NativeDialect::forward_response(transport::HttpExchange& exchange, const ParsedRequest& parsed,
                                     const transport::HttpResponse& response) const {
  transport::HeaderList headers = forwardable_headers(response.headers, kOwnPrefix);
  headers.emplace_back(kOutcome, "answered");
  headers.emplace_back(kRequestId, parsed.request_id);
  exchange.respond(response.status, headers, response.body);
}

void NativeDialect::answer(transport::HttpExchange& exchange, const ParsedRequest& parsed,
                           const Answer& answer) const {
  transport::HeaderList headers = {{kOutcome, std::string(routing::to_string(answer.outcome))},
                                   {kRequestId, parsed.request_id}};
  nlohmann::json body = {{"step", "route request"}, {"peer", router_}};
  if (answer.outcome == routing::Outcome::kUnknown) {
    body["error"] = "the request was sent, but no whole answer came; it may have run";
    return exchange.respond_json(kStatusTimeout, common::json_text(body), headers);
  }
  body["error"] = "not run: " + std::string(routing::to_string(answer.reason));
  unsigned status = kStatusUnavailable;
  if (answer.can_never_run) {
    status =
        answer.reason == routing::NotRunReason::kKeyMissing ? kStatusBadRequest : kStatusNotFound;
  } else {
    headers.emplace_back("Retry-After", retry_after_seconds(answer.retry_after));
  }
  exchange.respond_json(status, common::json_text(body), headers);
}

}  // namespace planktray::router
