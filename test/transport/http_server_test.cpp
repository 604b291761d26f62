#include "transport/http_server.hpp"

#include <doctest/doctest.h>
#include <gio/gio.h>

#include <array>
#include <cstring>
#include <string>
#include <vector>

#include "transport/event_loop.hpp"
#include "transport/http_client.hpp"

namespace planktray::transport {
namespace {

using std::chrono::milliseconds;

constexpr const char* kAddress = "127.0.0.1:19873";
/// Longer than what the sockets of both sides take at once.
constexpr std::size_t kLongAnswer = 32 * 1024 * 1024;

HttpClientOptions long_answers() {
  HttpClientOptions options;
  options.limits.body_bytes = kLongAnswer;
  return options;
}

TEST_CASE("an answer that is handed over is unfinished until it is written") {
  std::unique_ptr<HttpServer> server;
  std::size_t after_respond = 0;
  auto listening = HttpServer::listen(
      kAddress, options_with_body_limit(1024), [&](const ExchangePointer& exchange) {
        exchange->respond_text(200, "text/plain", std::string(kLongAnswer, 'x'));
        after_respond = server->unfinished();
      });
  REQUIRE(listening.has_value());
  server = std::move(*listening);
  CHECK(server->unfinished() == 0);
  EventLoop loop;
  HttpClient client(long_answers());
  HttpRequest request;
  request.address = kAddress;
  HttpResponse response;
  client.send(request, [&](const HttpResponse& got) {
    response = got;
    loop.after(milliseconds(20), [&loop] { loop.quit(); });
  });
  loop.run();
  CHECK(response.is_whole());
  CHECK(response.text().size() == kLongAnswer);
  CHECK(after_respond == 1);
  CHECK(server->unfinished() == 0);
}

/// A client that writes raw bytes and collects what comes back.
class RawClient {
 public:
  explicit RawClient(const std::string& bytes) {
    auto connected = TcpStream::connect(kAddress, std::chrono::seconds(0));
    REQUIRE(connected.has_value());
    stream_ = *connected;
    TcpStream::Handlers handlers;
    handlers.on_data = [this](std::string_view data) { received_.append(data); };
    handlers.on_end = [this](StreamEnd /*end*/) { ended_ = true; };
    stream_->start(std::move(handlers));
    stream_->write(bytes);
  }
  void write(const std::string& bytes) { stream_->write(bytes); }
  void close() { stream_->close(); }
  const std::string& received() const { return received_; }
  bool ended() const { return ended_; }

 private:
  std::shared_ptr<TcpStream> stream_;
  std::string received_;
  bool ended_ = false;
};

/// A server that keeps its exchanges until the test answers them.
struct HeldServer {
  explicit HeldServer(HttpServerOptions options = options_with_body_limit(1024)) {
    auto listening = HttpServer::listen(kAddress, options, [this](ExchangePointer exchange) {
      exchange->on_gone([this] { ++gone; });
      exchanges.push_back(std::move(exchange));
    });
    REQUIRE(listening.has_value());
    server = std::move(*listening);
  }
  ~HeldServer() { exchanges.clear(); }
  HeldServer(const HeldServer&) = delete;
  HeldServer& operator=(const HeldServer&) = delete;

  std::vector<ExchangePointer> exchanges;
  int gone = 0;
  std::unique_ptr<HttpServer> server;
};

void run_for(milliseconds time) {
  EventLoop loop;
  loop.after(time, [&loop] { loop.quit(); });
  loop.run();
}

constexpr milliseconds kShortly(30);

TEST_CASE("a client that closes while its request waits is noticed") {
  HeldServer held;
  RawClient client("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  run_for(kShortly);
  REQUIRE(held.exchanges.size() == 1);
  CHECK(held.gone == 0);
  client.close();
  run_for(kShortly);
  CHECK(held.gone == 1);
}

TEST_CASE("method, target and body reach the handler as they were sent") {
  HeldServer held;
  RawClient client(
      "POST /a/%7e/..//b;c?x=%zz&y=a+b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  run_for(kShortly);
  REQUIRE(held.exchanges.size() == 1);
  CHECK(held.exchanges[0]->method() == "POST");
  CHECK(held.exchanges[0]->target() == "/a/%7e/..//b;c?x=%zz&y=a+b");
  CHECK(held.exchanges[0]->body() == "abcde");
}

TEST_CASE("requests that come at once are handed out one after the other") {
  HeldServer held;
  RawClient client("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  run_for(kShortly);
  REQUIRE(held.exchanges.size() == 1);
  held.exchanges[0]->respond_text(200, "text/plain", "one");
  run_for(kShortly);
  REQUIRE(held.exchanges.size() == 2);
  CHECK(held.exchanges[1]->target() == "/2");
  CHECK(client.received().find("one") != std::string::npos);
}

TEST_CASE("a request with two lengths is refused, so that none hides inside another") {
  HeldServer held;
  RawClient client(
      "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
      "0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h\r\n\r\n");
  run_for(kShortly);
  CHECK(held.exchanges.empty());
  CHECK(client.received().starts_with("HTTP/1.1 400"));
  CHECK(client.ended());
  CHECK(held.server->refused() == 1);
}

TEST_CASE("too long headers and bodies are refused by their own statuses") {
  HttpServerOptions options = options_with_body_limit(16);
  options.limits.header_bytes = 256;
  HeldServer held(options);
  const RawClient header("GET /" + std::string(300, 'x') + " HTTP/1.1\r\nHost: h\r\n\r\n");
  const RawClient body("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 17\r\n\r\n");
  run_for(kShortly);
  CHECK(header.received().starts_with("HTTP/1.1 431"));
  CHECK(body.received().starts_with("HTTP/1.1 413"));
  CHECK(held.exchanges.empty());
}

TEST_CASE("the end of a connection is announced in its last answer") {
  HeldServer held;
  RawClient client("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  run_for(kShortly);
  REQUIRE(held.exchanges.size() == 1);
  held.server->announce_close();
  held.exchanges[0]->respond_text(200, "text/plain", "last");
  run_for(kShortly);
  CHECK(client.received().find("Connection: close") != std::string::npos);
  CHECK(client.ended());
}

TEST_CASE("a request that has come but was not read is answered by a server that stops") {
  HeldServer held;
  const RawClient connected("");
  run_for(kShortly);
  // Both are with the server's system, and its loop has seen neither.
  const auto send_all = [](const Endpoint& to, const char* bytes) {
    GSocket* socket =
        g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr);
    GSocketAddress* at = g_inet_socket_address_new_from_string(to.host.c_str(), to.port);
    REQUIRE(g_socket_connect(socket, at, nullptr, nullptr) != FALSE);
    g_object_unref(at);
    g_socket_send(socket, bytes, std::strlen(bytes), nullptr, nullptr);
    return socket;
  };
  const auto endpoint = parse_endpoint(kAddress);
  REQUIRE(endpoint.has_value());
  GSocket* late = send_all(*endpoint, "GET /late HTTP/1.1\r\nHost: h\r\n\r\n");
  held.server->announce_close();
  held.server->stop_listening();
  held.server->close_idle();
  CHECK(held.server->unfinished() == 1);
  run_for(kShortly);
  REQUIRE(held.exchanges.size() == 1);
  CHECK(held.exchanges[0]->path() == "/late");
  CHECK(connected.ended());
  held.exchanges[0]->respond_text(200, "text/plain", "last");
  run_for(kShortly);
  std::array<char, 512> got{};
  const gssize length = g_socket_receive(late, got.data(), got.size(), nullptr, nullptr);
  g_object_unref(late);
  REQUIRE(length > 0);
  CHECK(std::string_view(got.data(), static_cast<std::size_t>(length)).ends_with("last"));
}

TEST_CASE("idle connections are closed on demand, busy ones are not") {
  HeldServer held;
  const RawClient idle("");
  const RawClient busy("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  run_for(kShortly);
  held.server->close_idle();
  run_for(kShortly);
  CHECK(idle.ended());
  CHECK_FALSE(busy.ended());
  CHECK(held.server->unfinished() == 1);
}

}  // namespace
}  // namespace planktray::transport
