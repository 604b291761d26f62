/// The platform's requests and answers; some tests use real connections.

#include "platform/request_dialect.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

#include "platform/control_api.hpp"
#include "platform/names.hpp"
#include "transport/event_loop.hpp"
#include "transport/http_client.hpp"

namespace planktray::platform {
namespace {

using routing::AttemptEnd;
using routing::NotRunReason;
using routing::Outcome;
using routing::Refusal;
using transport::HttpResponse;

constexpr const char* kAddress = "127.0.0.1:19874";

HttpResponse response(unsigned status, transport::HeaderList headers) {
  HttpResponse made;
  made.status = status;
  made.headers = std::move(headers);
  made.was_sent = true;
  return made;
}

AttemptEnd end_of(const HttpResponse& given) {
  return PlatformDialect().classify({}, {}, given).end;
}

TEST_CASE("only headers of a target prove that it did not run a request") {
  const transport::HeaderList not_executed = {{kNotExecutedHeader, "1"}};
  const transport::HeaderList sealed = {{kSealHeader, "seal"}};
  CHECK(end_of(response(200, sealed)) == AttemptEnd::kAnswered);
  CHECK(end_of(response(404, sealed)) == AttemptEnd::kAnswered);
  CHECK(end_of(response(500, sealed)) == AttemptEnd::kAnswered);
  CHECK(end_of(response(503, not_executed)) == AttemptEnd::kRefused);
  CHECK(end_of(response(429, not_executed)) == AttemptEnd::kRefused);
  CHECK(end_of(response(421, {})) == AttemptEnd::kRefused);
  // Guarantees that the target has not given, and successes that are not its own.
  for (const unsigned status : {408U, 429U, 503U}) {
    CHECK(end_of(response(status, sealed)) == AttemptEnd::kForeign);
  }
  CHECK(end_of(response(200, {})) == AttemptEnd::kForeign);
  CHECK(end_of(response(200, {{kSealHeader, "s"}, {"Content-Encoding", "gzip"}})) ==
        AttemptEnd::kForeign);
  HttpResponse broken;
  broken.was_sent = true;
  CHECK(end_of(broken) == AttemptEnd::kBroken);
  broken.was_sent = false;
  CHECK(end_of(broken) == AttemptEnd::kNotSent);
}

TEST_CASE("the mark of a 421 distinguishes a changed owner from another instance") {
  const PlatformDialect dialect;
  CHECK(dialect.classify({}, {}, response(421, {{kNotExecutedHeader, "1"}})).refusal ==
        Refusal::kNotOwner);
  CHECK(dialect.classify({}, {}, response(421, {})).refusal == Refusal::kWrongIncarnation);
}

TEST_CASE("the instance in a 421 distinguishes an ended back end from one without the key") {
  const PlatformDialect dialect;
  const auto refusal = [&](const std::string& answered_by) {
    const HttpResponse given =
        response(421, {{kNotExecutedHeader, "1"}, {kInstanceHeader, answered_by}});
    return dialect.classify({}, common::Incarnation("i-1"), given).refusal;
  };
  CHECK(refusal("i-1") == Refusal::kNotOwner);
  CHECK(refusal("i-2") == Refusal::kWrongIncarnation);
}

TEST_CASE("unrecognized headers of a target are reported") {
  const PlatformDialect dialect;
  const auto result = dialect.classify({}, {},
                                       response(200, {{kSealHeader, "s"},
                                                      {"Content-Type", "text/plain"},
                                                      {"x-planktray-server-mood", "low"},
                                                      {"Server-Mood", "high"},
                                                      {kLoadHeader, "1,0,3"}}));
  REQUIRE(result.unrecognized_headers.size() == 2);
  CHECK(result.unrecognized_headers[0].name == "x-planktray-server-mood");
  CHECK(result.unrecognized_headers[0].value == "low");
  CHECK(result.unrecognized_headers[1].name == "Server-Mood");
}

// Guards against a search for unrecognized headers by their prefix: a requested backoff in a
// standard HTTP header was neither parsed nor reported.
TEST_CASE("unrecognized headers without a prefix are reported, standard HTTP headers are not") {
  const PlatformDialect dialect;
  const auto result = dialect.classify({}, {},
                                       response(503, {{kNotExecutedHeader, "1"},
                                                      {"Date", "now"},
                                                      {"content-type", "text/plain"},
                                                      {"Keep-Alive", "timeout=5"},
                                                      {"Access-Control-Allow-Origin", "*"},
                                                      {"Please-Wait", "3"}}));
  REQUIRE(result.unrecognized_headers.size() == 1);
  CHECK(result.unrecognized_headers[0].name == "Please-Wait");
}

TEST_CASE("a target's load is parsed, and invalid texts are not accepted as a load") {
  const PlatformDialect dialect;
  const auto load = [&](const char* text) {
    return dialect.classify({}, {}, response(200, {{kSealHeader, "s"}, {kLoadHeader, text}})).load;
  };
  REQUIRE(load("3,1,8").has_value());
  CHECK(load("3,1,8")->running == 3);
  CHECK(load("3,1,8")->waiting == 1);
  CHECK(load("3,1,8")->slots == 8);
  CHECK_FALSE(load("3,1,8")->work_time_percent.has_value());
  for (const char* text : {"", "3", "3,1", "3,1,", "a,b,c", "3,1,-8"}) {
    CAPTURE(text);
    CHECK_FALSE(load(text).has_value());
  }
}

TEST_CASE("a target's limit is parsed, and invalid texts are reported") {
  const PlatformDialect dialect;
  const auto classify = [&](transport::HeaderList headers) {
    headers.emplace_back(kSealHeader, "s");
    return dialect.classify({}, {}, response(200, headers));
  };
  struct Readable {
    const char* text;
    double value;
  };
  for (const Readable& given :
       {Readable{"4.8", 4.8}, Readable{"0", 0.0}, Readable{"0.25", 0.25}, Readable{"1e12", 1e12}}) {
    CAPTURE(given.text);
    const auto result = classify({{kLimitHeader, given.text}});
    CHECK(result.limit.is_stated);
    CHECK(result.limit.per_second == given.value);
    CHECK(result.unrecognized_headers.empty());
  }
  CHECK(classify({{"server-limit", "3"}}).limit.per_second == 3.0);
  CHECK(classify({{kLimitHeader, "7"}, {kLimitHeader, "2"}}).limit.per_second == 2.0);
  // An invalid text neither sets nor removes a limit.
  for (const char* text : {"", "-1", "many", "nan", "inf", "4.8 a second", "1,5"}) {
    CAPTURE(text);
    const auto result = classify({{kLimitHeader, text}});
    CHECK_FALSE(result.limit.is_stated);
    REQUIRE(result.unrecognized_headers.size() == 1);
    CHECK(result.unrecognized_headers[0].value == text);
  }
  CHECK(classify({}).limit.is_stated);
  CHECK_FALSE(classify({}).limit.per_second.has_value());
}

TEST_CASE("only answers of the target itself remove its limit") {
  const PlatformDialect dialect;
  const auto refused = dialect.classify({}, {}, response(503, {{kNotExecutedHeader, "1"}}));
  CHECK_FALSE(refused.limit.is_stated);
  const auto limited =
      dialect.classify({}, {}, response(503, {{kNotExecutedHeader, "1"}, {kLimitHeader, "2"}}));
  CHECK(limited.limit.per_second == 2.0);
  HttpResponse broken;
  broken.was_sent = true;
  CHECK_FALSE(dialect.classify({}, {}, broken).limit.is_stated);
  const auto other = dialect.classify(
      {}, common::Incarnation("i-1"),
      response(421, {{kInstanceHeader, "i-2"}, {kNotExecutedHeader, "1"}, {kLimitHeader, "2"}}));
  CHECK_FALSE(other.limit.is_stated);  // the limit of another process
}

TEST_CASE("the readable part of an extended load report is used, and the rest is reported") {
  const PlatformDialect dialect;
  const auto classify = [&](const char* text) {
    return dialect.classify({}, {}, response(200, {{kSealHeader, "s"}, {kLoadHeader, text}}));
  };
  const auto with_percent = classify("3,1,8,250");
  REQUIRE(with_percent.load.has_value());
  CHECK(with_percent.load->slots == 8);
  CHECK(with_percent.load->work_time_percent == 250);
  CHECK(with_percent.unparsed_load.empty());
  for (const char* text : {"3,1,8,250,7", "3,1,8,fast", "3,1,8,", "3,1,8,250,"}) {
    CAPTURE(text);
    const auto extended = classify(text);
    REQUIRE(extended.load.has_value());
    CHECK(extended.load->running == 3);
    CHECK(extended.load->waiting == 1);
    CHECK(extended.load->slots == 8);
    CHECK(extended.unparsed_load == text);
  }
  for (const char* text : {"3", "3,1", "a,b,c", "3,1,-8", ","}) {
    CAPTURE(text);
    CHECK(classify(text).unparsed_load == text);
  }
  CHECK(classify("").unparsed_load.empty());
  CHECK(classify("3,1,8").unparsed_load.empty());
}

/// Sends one request to a server with this handler and returns the response.
HttpResponse exchange_one(transport::HttpRequest request,
                          const std::function<void(const transport::ExchangePointer&)>& handler) {
  auto server = transport::HttpServer::listen(kAddress, {}, handler);
  REQUIRE(server.has_value());
  transport::EventLoop loop;
  transport::HttpClient client({});
  request.address = kAddress;
  HttpResponse got;
  client.send(std::move(request), [&](const HttpResponse& answer) {
    got = answer;
    loop.quit();
  });
  loop.run();
  return got;
}

TEST_CASE(
    "a request keeps its method, path and headers, and states the instance and the time left") {
  const PlatformDialect dialect;
  transport::HttpRequest request;
  request.method = "PUT";
  request.target = "/a/b%zz?q=1";
  request.headers = {{"Host", "h.example:80"}, {kRequestIdHeader, "id-1"},
                     {kDeadlineHeader, "800"}, {kExpectedInstanceHeader, "someone"},
                     {kKeyHeader, "65535"},    {"X-Own", "kept"}};
  request.body = "body";
  transport::HttpRequest sent;
  exchange_one(request, [&](const transport::ExchangePointer& exchange) {
    const auto parsed = dialect.parse(*exchange);
    REQUIRE(parsed.has_value());
    CHECK(parsed->request.timeout_ms == 800);
    CHECK(parsed->request.route->host == "h.example:80");
    CHECK(parsed->request.route->path == "/a/b%zz");
    CHECK(parsed->request.route->key == 65'535U);
    router::Forward forward;
    forward.incarnation = common::Incarnation("i-1");
    forward.time_left = std::chrono::milliseconds(640);
    sent = dialect.to_backend(*exchange, *parsed, forward);
    exchange->respond(200, {}, "");
  });
  CHECK(sent.method == "PUT");
  CHECK(sent.target == "/a/b%zz?q=1");
  CHECK(sent.body == "body");
  CHECK(transport::find_header(sent.headers, kRequestIdHeader) == "id-1");
  CHECK(transport::find_header(sent.headers, kDeadlineHeader) == "640");
  CHECK(transport::find_header(sent.headers, kExpectedInstanceHeader) == "i-1");
  CHECK(transport::find_header(sent.headers, "X-Own") == "kept");
  CHECK(sent.answer_value == "id-1");
}

TEST_CASE("invalid keys and deadlines are refused") {
  const PlatformDialect dialect;
  const std::vector<transport::HeaderList::value_type> unreadable = {
      {kKeyHeader, "65536"}, {kKeyHeader, "a"}, {kDeadlineHeader, "soon"}, {kDeadlineHeader, "-1"}};
  for (const auto& header : unreadable) {
    CAPTURE(header.second);
    transport::HttpRequest request;
    request.headers = {{"Host", "h"}, header};
    const HttpResponse got = exchange_one(request, [&](const transport::ExchangePointer& exchange) {
      const auto parsed = dialect.parse(*exchange);
      REQUIRE_FALSE(parsed.has_value());
      dialect.refuse(*exchange, parsed.error());
    });
    CHECK(got.status == 400);
  }
}

TEST_CASE("each outcome has its status, and \"not run\" has a retry time") {
  const PlatformDialect dialect;
  const auto answered = [&](const router::Answer& answer) {
    return exchange_one({}, [&](const transport::ExchangePointer& exchange) {
      dialect.answer(*exchange, {}, answer);
    });
  };
  router::Answer answer;
  answer.outcome = Outcome::kNotRun;
  answer.reason = NotRunReason::kOverload;
  answer.retry_after = std::chrono::milliseconds(150);
  const HttpResponse not_run = answered(answer);
  CHECK(not_run.status == 503);
  CHECK(not_run.header(kRetryAfterHeader) == "0.150");
  answer.can_never_run = true;
  answer.reason = NotRunReason::kUnknownRoute;
  CHECK(answered(answer).status == 404);
  answer.reason = NotRunReason::kKeyMissing;
  CHECK(answered(answer).status == 400);
  answer.outcome = Outcome::kUnknown;
  CHECK(answered(answer).status == 504);
}

// Guards against a late copy of the answer to one order that is taken for the answer to the next
// one: keys would count as granted or released before the target has seen the order.
TEST_CASE("each order has a request id of its own, by which its answer is recognized") {
  controller::ControllerCore core({}, common::ReplicaId(1), {}, common::RandomEngine(1),
                                  common::TimePoint());
  const ControlApi api(core, [] {});
  ownership::GrantOrder grant;
  grant.id = 7;
  ownership::ReleaseOrder release;
  release.id = 8;
  const transport::HttpRequest first = api.to_request(grant);
  const transport::HttpRequest second = api.to_request(release);
  for (const transport::HttpRequest& request : {first, second}) {
    CHECK(request.answer_header == kRequestIdHeader);
    CHECK_FALSE(request.answer_value.empty());
    CHECK(request.accepts_unmarked);
    CHECK(transport::find_header(request.headers, kRequestIdHeader) == request.answer_value);
  }
  CHECK(first.answer_value != second.answer_value);
}

TEST_CASE("orders to targets are encoded and their answers classified") {
  controller::ControllerCore core({}, common::ReplicaId(1), {}, common::RandomEngine(1),
                                  common::TimePoint());
  const ControlApi api(core, [] {});
  ownership::GrantOrder order;
  order.keys = {4096, 8191};
  order.fence = common::Epoch(12);
  order.hold_time = std::chrono::milliseconds(4000);
  order.incarnation = common::Incarnation("i-1");
  const transport::HttpRequest request = api.to_request(order);
  CHECK(request.target == "/v1/grant");
  CHECK(request.body == R"({"fence":12,"from":4096,"hold_time":"4000ms","to_version":8191})");
  CHECK(transport::find_header(request.headers, kExpectedInstanceHeader) == "i-1");
  using ownership::OrderOutcome;
  CHECK(api.read_reply(order.incarnation, response(200, {{kHandoverHeader, "token"}})).handover ==
        "token");
  CHECK(api.read_reply(order.incarnation, response(409, {})).outcome == OrderOutcome::kFenced);
  CHECK(api.read_reply(order.incarnation, response(421, {})).outcome == OrderOutcome::kReplaced);
  CHECK(api.read_reply(order.incarnation, response(421, {{kInstanceHeader, "i-2"}})).outcome ==
        OrderOutcome::kReplaced);
  CHECK(api.read_reply(order.incarnation, response(421, {{kInstanceHeader, "i-1"}})).outcome ==
        OrderOutcome::kRefused);
  CHECK(api.read_reply(order.incarnation, response(400, {})).outcome == OrderOutcome::kRefused);
  CHECK_FALSE(api.read_reply(order.incarnation, response(200, {})).is_leaving);
  CHECK(api.read_reply(order.incarnation, response(200, {{kShortLeavingHeader, "1"}})).is_leaving);
  CHECK(api.read_reply(order.incarnation, response(409, {{kLeavingHeader, "1"}})).is_leaving);
  CHECK_FALSE(api.read_reply(order.incarnation,
                             response(421, {{kInstanceHeader, "i-2"}, {kLeavingHeader, "1"}}))
                  .is_leaving);
  HttpResponse lost;
  CHECK(api.read_reply(order.incarnation, lost).outcome == OrderOutcome::kNotSent);
  lost.was_sent = true;
  CHECK(api.read_reply(order.incarnation, lost).outcome == OrderOutcome::kUnanswered);
}

}  // namespace
}  // namespace planktray::platform
