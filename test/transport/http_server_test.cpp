#include "transport/http_server.hpp"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <gio/gio.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <stdexcept>
#include <string>
#include <vector>

#include "held_server.hpp"
#include "transport/http_client.hpp"

namespace planktray::transport {
namespace {

HttpClientOptions long_answers() {
  HttpClientOptions options;
  options.limits.body_bytes = kLongAnswer;
  return options;
}

TEST_CASE("a response counts as unfinished until it is completely written") {
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

/// Connects, sends one request and closes the connection at once.
void send_and_leave() {
  const int client = socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(client >= 0);
  const auto endpoint = parse_endpoint(kAddress);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint->port);
  address.sin_addr.s_addr = inet_addr(endpoint->host.c_str());
  REQUIRE(connect(client, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  REQUIRE(send(client, request.data(), request.size(), 0) == static_cast<ssize_t>(request.size()));
  close(client);
}

// Guards against overload that feeds itself: a server that accepts connections later than its
// clients give up worked for nobody but clients that had gone.
TEST_CASE("a request whose client has gone before its connection is accepted is not handled") {
  HeldServer held;
  constexpr int kClients = 40;
  for (int i = 0; i < kClients; ++i) {
    send_and_leave();
  }
  RawClient waiting("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  run_for(kShortly);
  CHECK(held.exchanges.size() == 1);
  CHECK(held.gone == 0);
  CHECK(held.server->gone_unread() == kClients);
}

// Guards against bytes from outside that end the process: an error message that is no UTF-8 threw
// in a callback of the main loop.
TEST_CASE("an exception in a handler ends its connection only") {
  int calls = 0;
  auto listening = HttpServer::listen(
      kAddress, options_with_body_limit(1024), [&](const ExchangePointer& exchange) {
        ++calls;
        if (exchange->path() == "/throws") {
          throw std::invalid_argument("no UTF-8");
        }
        exchange->respond_error({common::ErrorCode::kInvalid, "read", "", "id \xff\xfe"});
      });
  REQUIRE(listening.has_value());
  RawClient failing("GET /throws HTTP/1.1\r\nHost: x\r\n\r\n");
  RawClient answered("GET /error HTTP/1.1\r\nHost: x\r\n\r\n");
  run_for(kShortly);
  CHECK(calls == 2);
  CHECK(failing.ended());
  CHECK(failing.received().empty());
  CHECK((*listening)->failed_handlers() == 1);
  CHECK(answered.received().starts_with("HTTP/1.1 400"));
  CHECK(answered.received().find("read") != std::string::npos);
}

TEST_CASE("a client that closes while its request is pending is detected") {
  HeldServer held;
  RawClient client("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  run_for(kShortly);
  REQUIRE(held.exchanges.size() == 1);
  CHECK(held.gone == 0);
  client.close();
  run_for(kShortly);
  CHECK(held.gone == 1);
}

TEST_CASE("method, target and body reach the handler unchanged") {
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

TEST_CASE("pipelined requests are passed to the handler one after the other by default") {
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

TEST_CASE("a request with two lengths is rejected, which prevents request smuggling") {
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

TEST_CASE("too large headers and bodies are rejected with status 431 and 413") {
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

TEST_CASE("the last response of a connection announces its close") {
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

TEST_CASE("a stopping server answers a request that has arrived but was not read") {
  HeldServer held;
  const RawClient connected("");
  run_for(kShortly);
  // Connection and request are in the kernel; the server's loop has processed neither.
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
