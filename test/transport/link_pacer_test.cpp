#include "transport/link_pacer.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "transport/event_loop.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

namespace planktray::transport {
namespace {

using std::chrono::milliseconds;

constexpr const char* kAddress = "127.0.0.1:19874";
constexpr double kSlowLink = 4.1e6 / 8;  // bytes per second
constexpr std::size_t kStatement = 90'000;

/// Returns a body in which a lost or misplaced byte is detected.
std::string patterned(std::size_t bytes) {
  std::string body(bytes, ' ');
  for (std::size_t i = 0; i < bytes; ++i) {
    body[i] = static_cast<char>('a' + (i * 7 + i / 251) % 26);
  }
  return body;
}

HttpServerOptions paced_server(LinkPacer& pacer) {
  HttpServerOptions options = options_with_body_limit(1024 * 1024);
  options.pacer = &pacer;
  return options;
}

HttpClientOptions paced_client(LinkPacer& pacer) {
  HttpClientOptions options;
  options.pacer = &pacer;
  return options;
}

HttpRequest upload(std::size_t bytes) {
  HttpRequest request;
  request.address = kAddress;
  request.method = "POST";
  request.body = patterned(bytes);
  return request;
}

TEST_CASE("a large response is written at the link's rate, and small ones overtake it") {
  LinkPacer pacer(kSlowLink);
  auto server = HttpServer::listen(kAddress, paced_server(pacer), [](const ExchangePointer& it) {
    it->respond_text(200, "text/plain", it->path() == "/large" ? patterned(kStatement) : "ok");
  });
  REQUIRE(server.has_value());
  EventLoop loop;
  HttpClient client{HttpClientOptions{}};
  const common::TimePoint start = boot_time_now();
  common::TimePoint small_at;
  HttpResponse large;
  HttpRequest request;
  request.address = kAddress;
  request.target = "/large";
  client.send(request, [&](const HttpResponse& got) {
    large = got;
    loop.quit();
  });
  loop.after(milliseconds(40), [&] {
    HttpRequest small;
    small.address = kAddress;
    client.send(small, [&](const HttpResponse& /*got*/) { small_at = boot_time_now(); });
  });
  loop.run();
  const common::TimePoint end = boot_time_now();
  CHECK(large.text() == patterned(kStatement));
  CHECK(end - start >= milliseconds(150));  // 176 ms at the link's rate, less the initial burst
  CHECK(small_at > start);
  CHECK(small_at < end);
  CHECK(pacer.outbound().scheduler().waiting() == 0);
  CHECK(pacer.outbound().scheduler().bytes_passed() >= kStatement);
}

TEST_CASE("a large request is read at the link's rate and arrives complete") {
  LinkPacer pacer(kSlowLink);
  std::string read;
  auto server = HttpServer::listen(kAddress, paced_server(pacer), [&](const ExchangePointer& it) {
    read = it->body();
    it->respond_text(200, "text/plain", "ok");
  });
  REQUIRE(server.has_value());
  EventLoop loop;
  HttpClient client{HttpClientOptions{}};
  const common::TimePoint start = boot_time_now();
  client.send(upload(kStatement), [&](const HttpResponse& got) {
    CHECK(got.status == 200);
    loop.quit();
  });
  loop.run();
  CHECK(read == patterned(kStatement));
  CHECK(boot_time_now() - start >= milliseconds(100));  // less the first read, which is not paced
  CHECK(pacer.inbound().scheduler().waiting() == 0);
}

TEST_CASE("a large response is read at the link's rate, also if its server closes the connection") {
  LinkPacer pacer(kSlowLink);
  auto server =
      HttpServer::listen(kAddress, options_with_body_limit(1024), [](const ExchangePointer& it) {
        it->respond(200, {{"Connection", "close"}}, patterned(kStatement));
      });
  REQUIRE(server.has_value());
  EventLoop loop;
  HttpClient client(paced_client(pacer));
  HttpResponse response;
  HttpRequest request;
  request.address = kAddress;
  request.fresh_connection = true;
  client.send(request, [&](const HttpResponse& got) {
    response = got;
    loop.quit();
  });
  loop.run();
  CHECK(response.text() == patterned(kStatement));
  CHECK(pacer.inbound().scheduler().waiting() == 0);
}

TEST_CASE(
    "a client that disconnects during its paced upload is detected, and its body is removed") {
  constexpr double kCrawl = 2000;  // bytes per second: the upload would take 45 s
  LinkPacer pacer(kCrawl);
  bool handled = false;
  auto server = HttpServer::listen(kAddress, paced_server(pacer), [&](const ExchangePointer& it) {
    handled = true;
    it->respond_text(200, "text/plain", "ok");
  });
  REQUIRE(server.has_value());
  EventLoop loop;
  HttpClient client{HttpClientOptions{}};
  const std::uint64_t call = client.send(upload(kStatement), [](const HttpResponse& /*got*/) {});
  std::size_t waiting = 0;
  std::size_t unfinished = 0;
  loop.after(milliseconds(100), [&] {
    waiting = pacer.inbound().scheduler().waiting();
    unfinished = (*server)->unfinished();
    client.cancel(call);
  });
  loop.after(milliseconds(200), [&] { loop.quit(); });
  loop.run();
  CHECK(waiting == 1);
  CHECK(unfinished == 1);
  CHECK_FALSE(handled);
  CHECK(pacer.inbound().scheduler().waiting() == 0);
  CHECK((*server)->connections() == 0);
}

TEST_CASE("no further bytes of a held large request are written until it is resumed") {
  std::string received;
  auto server = HttpServer::listen(kAddress, options_with_body_limit(1024 * 1024),
                                   [&received](const ExchangePointer& it) {
                                     received = std::string(it->body());
                                     it->respond_text(200, "text/plain", "ok");
                                   });
  REQUIRE(server.has_value());
  LinkPacer pacer(kSlowLink);
  EventLoop loop;
  HttpClient client(paced_client(pacer));
  std::uint64_t id = 0;
  bool is_held = false;
  std::optional<common::TimePoint> written;
  id = client.send(
      upload(kStatement), [&loop](const HttpResponse& /*response*/) { loop.quit(); },
      [&written](SendStage stage) {
        if (stage == SendStage::kWritten) {
          written = boot_time_now();
        }
      });
  constexpr auto kBegun = milliseconds(50);  // about a quarter of the transfer time at this rate
  constexpr auto kHeld = milliseconds(500);
  const common::TimePoint start = boot_time_now();
  loop.after(kBegun, [&] {
    is_held = !written.has_value();
    client.hold(id, true);
  });
  loop.after(kHeld, [&] {
    is_held = is_held && !written.has_value();
    client.hold(id, false);
  });
  loop.run();
  CHECK(is_held);
  REQUIRE(written.has_value());
  CHECK(*written - start >= kHeld);
  CHECK(received == patterned(kStatement));
}

TEST_CASE("a client that disconnects while its large response is written is detected") {
  constexpr double kCrawl = 2000;
  LinkPacer pacer(kCrawl);
  auto server = HttpServer::listen(kAddress, paced_server(pacer), [](const ExchangePointer& it) {
    it->respond_text(200, "text/plain", patterned(kStatement));
  });
  REQUIRE(server.has_value());
  EventLoop loop;
  HttpClient client{HttpClientOptions{}};
  HttpRequest request;
  request.address = kAddress;
  const std::uint64_t call = client.send(request, [](const HttpResponse& /*got*/) {});
  std::size_t unfinished = 0;
  loop.after(milliseconds(100), [&] {
    unfinished = (*server)->unfinished();
    client.cancel(call);
  });
  loop.after(milliseconds(200), [&] { loop.quit(); });
  loop.run();
  CHECK(unfinished == 1);
  CHECK(pacer.outbound().scheduler().waiting() == 0);
  CHECK((*server)->connections() == 0);
}

}  // namespace
}  // namespace planktray::transport
