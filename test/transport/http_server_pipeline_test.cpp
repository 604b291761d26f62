/// Pipelined requests of one connection.

#include <doctest/doctest.h>
#include <gio/gio.h>

#include <algorithm>
#include <cstring>
#include <string>
#include <vector>

#include "held_server.hpp"
#include "transport/http_server.hpp"

namespace planktray::transport {
namespace {

std::string get(const std::string& path, const std::string& headers = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
}

std::string post(const std::string& path) {
  return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
}

/// A server whose classifier allows GET requests to run concurrently.
struct SideBySideServer : HeldServer {
  explicit SideBySideServer(HttpServerOptions options = options_with_body_limit(1024))
      : HeldServer(options) {
    server->run_concurrently([](const HttpMessage& request) { return request.method == "GET"; });
  }
  void answer(std::size_t place) {
    exchanges[place]->respond_text(200, "text/plain", "<" + exchanges[place]->path() + ">");
  }
};

/// Returns the bodies of the responses in the order of arrival.
std::string bodies(const std::string& received) {
  std::string all;
  for (auto at = received.find('<'); at != std::string::npos; at = received.find('<', at + 1)) {
    all += received.substr(at, received.find('>', at) + 1 - at);
  }
  return all;
}

TEST_CASE("responses are sent in the order of their requests, in whatever order they are ready") {
  std::vector<std::size_t> order = {0, 1, 2};
  do {
    SideBySideServer held;
    const RawClient client(get("/1") + get("/2") + get("/3"));
    run_for(kShortly);
    REQUIRE(held.exchanges.size() == 3);
    CHECK(held.server->unfinished() == 3);
    for (const std::size_t place : order) {
      held.answer(place);
      run_for(milliseconds(2));
    }
    run_for(kShortly);
    CHECK(bodies(client.received()) == "</1></2></3>");
    CHECK(held.server->unfinished() == 0);
    CHECK_FALSE(client.ended());
  } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("a response that is ready is sent as soon as those before it are sent") {
  SideBySideServer held;
  const RawClient client(get("/1") + get("/2") + get("/3"));
  run_for(kShortly);
  REQUIRE(held.exchanges.size() == 3);
  held.answer(1);
  run_for(kShortly);
  CHECK(client.received().empty());
  held.answer(0);
  run_for(kShortly);
  CHECK(bodies(client.received()) == "</1></2>");
}

TEST_CASE("a request that must run alone waits for those before it and delays those after it") {
  SideBySideServer held;
  const RawClient client(get("/1") + get("/2") + post("/once") + get("/4"));
  run_for(kShortly);
  REQUIRE(held.exchanges.size() == 2);
  held.answer(1);
  run_for(kShortly);
  CHECK(held.exchanges.size() == 2);
  held.answer(0);
  run_for(kShortly);
  REQUIRE(held.exchanges.size() == 3);
  CHECK(held.exchanges[2]->path() == "/once");
  held.answer(2);
  run_for(kShortly);
  REQUIRE(held.exchanges.size() == 4);
  held.answer(3);
  run_for(kShortly);
  CHECK(bodies(client.received()) == "</1></2></once></4>");
}

TEST_CASE("a connection at its limit of requests is not read and not closed") {
  HttpServerOptions options = options_with_body_limit(1024);
  options.max_concurrent_requests = 3;
  SideBySideServer held(options);
  constexpr std::size_t kAll = 20'000;  // more than one read and than the bytes that are buffered
  std::string all;
  for (std::size_t i = 0; i < kAll; ++i) {
    all += get("/x");
  }
  const RawClient client(all);
  run_for(kShortly);
  REQUIRE(held.exchanges.size() == 3);
  CHECK_FALSE(client.ended());
  for (std::size_t i = 0; i < kAll; ++i) {
    if (i == held.exchanges.size()) {
      run_for(milliseconds(1));
    }
    REQUIRE(i < held.exchanges.size());
    REQUIRE(held.exchanges.size() <= i + 3);
    held.answer(i);
  }
  run_for(kShortly);
  CHECK(bodies(client.received()).size() == kAll * std::strlen("</x>"));
}

TEST_CASE("a client that disconnects is detected while its connection is not read") {
  HttpServerOptions options = options_with_body_limit(1024);
  options.max_concurrent_requests = 2;
  SideBySideServer held(options);
  // More than one read but less than the kernel's buffers hold, so that the client's close is
  // received behind it.
  std::string all;
  while (all.size() < std::size_t{32} * 1024) {
    all += get("/x");
  }
  RawClient client(all);
  run_for(kShortly);
  REQUIRE(held.exchanges.size() == 2);
  client.close();
  run_for(kShortly);
  CHECK(held.gone == 2);
  CHECK(held.server->connections() == 0);
}

TEST_CASE("no request is started while responses that wait for a slow one exceed their limit") {
  HttpServerOptions options = options_with_body_limit(1024);
  options.held_answer_bytes = 1000;
  SideBySideServer held(options);
  RawClient client(get("/1") + get("/2"));
  run_for(kShortly);
  REQUIRE(held.exchanges.size() == 2);
  held.exchanges[1]->respond_text(200, "text/plain", std::string(1001, 'x'));
  client.write(get("/3"));
  run_for(kShortly);
  CHECK(held.exchanges.size() == 2);
  held.answer(0);
  run_for(kShortly);
  CHECK(held.exchanges.size() == 3);
}

TEST_CASE("no request is started while the client does not read its responses") {
  SideBySideServer held(options_with_body_limit(1024));
  auto connected = parse_endpoint(kAddress);
  REQUIRE(connected.has_value());
  GSocket* socket =
      g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr);
  GSocketAddress* at =
      g_inet_socket_address_new_from_string(connected->host.c_str(), connected->port);
  REQUIRE(g_socket_connect(socket, at, nullptr, nullptr) != FALSE);
  g_object_unref(at);
  const std::string first = get("/1");
  g_socket_send(socket, first.data(), first.size(), nullptr, nullptr);
  run_for(kShortly);
  REQUIRE(held.exchanges.size() == 1);
  held.exchanges[0]->respond_text(200, "text/plain", std::string(kLongAnswer, 'x'));
  g_socket_send(socket, first.data(), first.size(), nullptr, nullptr);
  run_for(kShortly);
  CHECK(held.exchanges.size() == 1);
  CHECK(held.server->connections() == 1);
  g_object_unref(socket);
  run_for(kShortly);
  CHECK(held.server->connections() == 0);
}

TEST_CASE("no request after a response that closes the connection is run or answered") {
  SideBySideServer held;
  const RawClient client(get("/1") + get("/2", "Connection: close\r\n") + get("/3") + post("/4"));
  run_for(kShortly);
  REQUIRE(held.exchanges.size() == 2);
  held.answer(1);
  held.answer(0);
  run_for(kShortly);
  CHECK(held.exchanges.size() == 2);
  CHECK(bodies(client.received()) == "</1></2>");
  CHECK(client.ended());
  CHECK(held.server->unfinished() == 0);
}

TEST_CASE("a malformed request is rejected after the responses before it") {
  SideBySideServer held;
  const RawClient client(get("/1") + "nonsense\r\n\r\n" + get("/3"));
  run_for(kShortly);
  REQUIRE(held.exchanges.size() == 1);
  CHECK(client.received().empty());
  held.answer(0);
  run_for(kShortly);
  CHECK(client.received().starts_with("HTTP/1.1 200"));
  CHECK(client.received().find("HTTP/1.1 400") > client.received().find("</1>"));
  CHECK(client.received().find("HTTP/1.1 400") != std::string::npos);
  CHECK(client.ended());
}

TEST_CASE("a client that disconnects cancels all its requests") {
  SideBySideServer held;
  RawClient client(get("/1") + get("/2") + get("/3"));
  run_for(kShortly);
  REQUIRE(held.exchanges.size() == 3);
  held.answer(1);
  client.close();
  run_for(kShortly);
  CHECK(held.gone == 2);
}

TEST_CASE("a stopping server answers three requests in flight and closes with the last") {
  SideBySideServer held;
  RawClient client(get("/1") + get("/2") + get("/3") + post("/4"));
  run_for(kShortly);
  REQUIRE(held.exchanges.size() == 3);
  held.server->announce_close();
  held.server->close_idle();
  client.write(get("/5"));
  held.answer(0);
  run_for(kShortly);
  CHECK(client.received().find("Connection: close") == std::string::npos);
  held.answer(2);
  held.answer(1);
  run_for(kShortly);
  CHECK(held.exchanges.size() == 3);
  CHECK(bodies(client.received()) == "</1></2></3>");
  CHECK(client.received().find("Connection: close") > client.received().find("</2>"));
  CHECK(client.ended());
}

TEST_CASE("100 Continue does not overtake responses") {
  SideBySideServer held;
  RawClient client(get("/1") +
                   "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
                   "Expect: 100-continue\r\n\r\n");
  run_for(kShortly);
  REQUIRE(held.exchanges.size() == 1);
  CHECK(client.received().empty());
  held.answer(0);
  run_for(kShortly);
  CHECK(client.received().find("100 Continue") > client.received().find("</1>"));
  CHECK(client.received().find("100 Continue") != std::string::npos);
  client.write("ab");
  run_for(kShortly);
  REQUIRE(held.exchanges.size() == 2);
  CHECK(held.exchanges[1]->body() == "ab");
}

}  // namespace
}  // namespace planktray::transport
