/// Servers whose connections hold too much, are too many, or make no progress.

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>

#include "held_server.hpp"
#include "limits/memory_account.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"
#include "transport/link_pacer.hpp"

namespace planktray::transport {
namespace {

constexpr std::size_t kMebibyte = std::size_t{1} << 20U;
constexpr std::size_t kBody = 4 * kMebibyte;
/// A second more than the shortest timeout of these tests, and a sweep.
constexpr milliseconds kTimeout(1000);
constexpr milliseconds kAfterTimeout(3500);

std::string head(const std::string& path, std::size_t body_bytes) {
  return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body_bytes) +
         "\r\n\r\n";
}

HttpServerOptions options_with(limits::MemoryAccount* memory) {
  HttpServerOptions options = options_with_body_limit(64 * kMebibyte);
  options.memory = memory;
  return options;
}

/// Memory that somebody else holds and does not give up.
class Holder final : public limits::MemoryHolder {
 public:
  Holder(limits::MemoryAccount& account, std::size_t bytes) : share_(&account, *this) {
    share_.set({limits::Phase::kRunning, bytes, 0, {}});
  }
  void revoke_memory() override {}

 private:
  limits::MemoryAccount::Share share_;
};

TEST_CASE("a request that does not fit into memory is refused by its head") {
  limits::MemoryAccount memory(8 * kMebibyte);
  HeldServer held(options_with(&memory));
  const RawClient client(head("/x", 60 * kMebibyte));
  run_for(kShortly);
  CHECK(client.received().starts_with("HTTP/1.1 503"));
  CHECK(client.received().find("Retry-After: ") != std::string::npos);
  CHECK(client.received().find("Connection: close") != std::string::npos);
  CHECK(held.exchanges.empty());
  CHECK(held.server->unread() == 1);
}

// Guards against reading a body whose request is refused by its head in any case.
TEST_CASE("a request that the head check refuses is answered before its body has come") {
  HeldServer held(options_with_body_limit(kBody));
  std::string body_seen = "not called";
  held.server->check_heads(
      [](const HttpMessage& message) { return message.target == "/none" ? 0 : kBody; },
      [&](const ExchangePointer& exchange, UnreadReason reason) {
        CHECK(reason == UnreadReason::kNotWanted);
        body_seen = exchange->body();
        exchange->respond_text(404, "text/plain", "none");
      });
  const RawClient refused(head("/none", kBody));
  const RawClient read(head("/some", 4) + "body");
  run_for(kShortly);
  CHECK(refused.received().starts_with("HTTP/1.1 404"));
  CHECK(body_seen.empty());
  REQUIRE(held.exchanges.size() == 1);
  CHECK(held.exchanges[0]->body() == "body");
}

TEST_CASE("a chunked body that grows over the limit of the head check is given up") {
  HeldServer held(options_with_body_limit(kBody));
  unsigned refusals = 0;
  held.server->check_heads([](const HttpMessage& /*message*/) { return std::size_t{1000}; },
                           [&](const ExchangePointer& exchange, UnreadReason /*reason*/) {
                             ++refusals;
                             exchange->respond_text(413, "text/plain", "long");
                           });
  RawClient client("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  run_for(kShortly);
  client.write("7d0\r\n" + std::string(2000, 'x') + "\r\n");
  run_for(kShortly);
  CHECK(refusals == 1);
  CHECK(held.exchanges.empty());
}

TEST_CASE("a stalled request gives way to one that needs its memory") {
  limits::MemoryAccount memory(8 * kMebibyte);
  HeldServer held(options_with(&memory));
  const RawClient stalled(head("/1", kBody + 1) + std::string(kBody, 'x'));
  run_for(kTimeout + kShortly + kShortly);
  const RawClient whole(head("/2", kBody) + std::string(kBody, 'x'));
  run_for(milliseconds(500));
  CHECK(stalled.received().starts_with("HTTP/1.1 503"));
  REQUIRE(held.exchanges.size() == 1);
  CHECK(held.exchanges[0]->path() == "/2");
  held.exchanges.clear();
  run_for(kShortly);
  CHECK(memory.held() < kMebibyte);
}

// Guards against a response that is lost, and its server taken for crashed, since the server closes
// the connection while the response waits for memory.
TEST_CASE("a response that waits for memory is read whole after its server has closed") {
  limits::MemoryAccount memory(8 * kMebibyte);
  HeldServer held(options_with_body_limit(1024));
  HttpClientOptions options;
  options.memory = &memory;
  HttpClient client(options);
  HttpRequest request;
  request.address = kAddress;
  request.fresh_connection = true;  // its server closes after the response
  std::optional<HttpResponse> response;
  client.send(request, [&response](const HttpResponse& got) { response = got; });
  run_for(kShortly);
  REQUIRE(held.exchanges.size() == 1);
  auto others = std::make_unique<Holder>(memory, 7 * kMebibyte);
  constexpr std::size_t kResponse =
      limits::kSmallMessageBytes + 500;  // the socket's buffer holds it
  held.exchanges[0]->respond_text(200, "text/plain", std::string(kResponse, 'x'));
  run_for(milliseconds(200));
  CHECK_FALSE(response.has_value());
  others.reset();
  run_for(milliseconds(500));
  REQUIRE(response.has_value());
  CHECK(response->status == 200);
  CHECK(response->body.size() == kResponse);
}

// Guards against a response that is kept for as long as its client does not read it.
TEST_CASE("a client that does not read its response loses its connection") {
  HttpServerOptions options = options_with_body_limit(1024);
  options.idle_timeout = kTimeout;
  HeldServer held(options);
  auto connected = TcpStream::connect(kAddress, std::chrono::seconds(0));
  REQUIRE(connected.has_value());
  TcpStream& stream = **connected;
  TcpStream::Handlers handlers;
  handlers.on_connected = [&stream] { stream.pause_reading(); };
  handlers.on_data = [](std::string_view /*bytes*/) {};
  handlers.on_end = [](StreamEnd /*end*/) {};
  stream.start(std::move(handlers));
  stream.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  run_for(kShortly);
  REQUIRE(held.exchanges.size() == 1);
  held.exchanges[0]->respond_text(200, "text/plain", std::string(kLongAnswer, 'x'));
  held.exchanges.clear();
  run_for(kShortly);
  CHECK(held.server->connections() == 1);
  run_for(kAfterTimeout);
  CHECK(held.server->connections() == 0);
}

// Guards against a body read at the pacer's rate whose sender stops, or sends a byte now and then.
TEST_CASE("a slowly read body whose client hardly sends is given up") {
  constexpr double kLink = 1e6;
  LinkPacer pacer(kLink);
  HttpServerOptions options = options_with_body_limit(kBody);
  options.pacer = &pacer;
  options.request_timeout = kTimeout;
  HeldServer held(options);
  const RawClient silent(head("/1", kBody) + std::string(100'000, 'x'));
  RawClient trickling(head("/2", kBody) + std::string(100'000, 'x'));
  constexpr int kSteps = 15;
  for (int i = 0; i < kSteps; ++i) {
    run_for(kAfterTimeout / kSteps);
    trickling.write("x");
  }
  CHECK(silent.received().starts_with("HTTP/1.1 408"));
  CHECK(trickling.received().starts_with("HTTP/1.1 408"));
}

// Guards against idle connections that keep others out.
TEST_CASE("a new connection takes the place of the one that has been idle for longest") {
  HttpServerOptions options = options_with_body_limit(1024);
  options.max_connections = 3;
  HeldServer held(options);
  const RawClient busy("GET /busy HTTP/1.1\r\nHost: h\r\n\r\n");
  run_for(kShortly);
  const RawClient older("");
  run_for(kShortly);
  const RawClient newer("");
  run_for(kShortly);
  const RawClient last("GET /last HTTP/1.1\r\nHost: h\r\n\r\n");
  run_for(kShortly);
  CHECK(older.ended());
  CHECK_FALSE(newer.ended());
  CHECK_FALSE(busy.ended());
  CHECK(held.exchanges.size() == 2);
  CHECK(held.server->evicted() == 1);
}

TEST_CASE("a new connection is closed unread where all others have requests") {
  HttpServerOptions options = options_with_body_limit(1024);
  options.max_connections = 1;
  HeldServer held(options);
  const RawClient busy("GET /busy HTTP/1.1\r\nHost: h\r\n\r\n");
  run_for(kShortly);
  const RawClient last("GET /last HTTP/1.1\r\nHost: h\r\n\r\n");
  run_for(kShortly);
  CHECK(last.ended());
  CHECK(held.exchanges.size() == 1);
  CHECK(held.server->turned_away() == 1);
}

}  // namespace
}  // namespace planktray::transport
