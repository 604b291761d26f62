/// Answers of every framing, one after the other on a kept connection.
///
/// Guards against state of one exchange that outlives it: after a HEAD the next answer on the
/// connection came without its body.

#include <doctest/doctest.h>
#include <gio/gio.h>

#include <functional>
#include <string>
#include <vector>

#include "common/random.hpp"
#include "transport/event_loop.hpp"
#include "transport/http_client.hpp"

namespace planktray::transport {
namespace {

using std::chrono::milliseconds;

/// Writes bytes to the client. @return false if the client has closed the connection.
using Write = std::function<bool(const std::string& bytes)>;
/// Answers one request head.
using Script = std::function<void(const std::string& head, const Write& write)>;

/// A server that runs a script for each request, in a thread for each connection.
class ScriptedServer {
 public:
  explicit ScriptedServer(Script script) : script_(std::move(script)) {
    constexpr int kThreads = 8;
    service_ = g_threaded_socket_service_new(kThreads);
    port_ = g_socket_listener_add_any_inet_port(G_SOCKET_LISTENER(service_), nullptr, nullptr);
    g_signal_connect(service_, "run", G_CALLBACK(on_run), this);
    g_socket_service_start(service_);
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;
  ~ScriptedServer() {
    g_socket_service_stop(service_);
    g_object_unref(service_);
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  static gboolean on_run(GThreadedSocketService* /*service*/, GSocketConnection* connection,
                         GObject* /*source*/, gpointer data) {
    const auto* self = static_cast<ScriptedServer*>(data);
    GInputStream* input = g_io_stream_get_input_stream(G_IO_STREAM(connection));
    GOutputStream* output = g_io_stream_get_output_stream(G_IO_STREAM(connection));
    const Write write = [output](const std::string& bytes) {
      return g_output_stream_write_all(output, bytes.data(), bytes.size(), nullptr, nullptr,
                                       nullptr) == TRUE;
    };
    std::string received;
    char buffer[4096];
    for (gssize count = 1; count > 0;) {
      count = g_input_stream_read(input, buffer, sizeof(buffer), nullptr, nullptr);
      received.append(buffer, count > 0 ? static_cast<std::size_t>(count) : 0);
      if (received.ends_with("\r\n\r\n")) {
        self->script_(std::exchange(received, ""), write);
      }
    }
    return TRUE;
  }

  Script script_;
  GSocketService* service_ = nullptr;
  std::uint16_t port_ = 0;
};

/// One exchange: a request and the answer that the server gives.
struct Row {
  std::string method;
  unsigned status = 200;
  bool is_chunked = false;
  int interim_answers = 0;
  std::string body;

  bool is_bodyless() const { return method == "HEAD" || status == 204 || status == 304; }
  std::string answer() const {
    std::string text;
    for (int i = 0; i < interim_answers; ++i) {
      text +=
          i % 2 == 0 ? "HTTP/1.1 100 Continue\r\n\r\n" : "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n";
    }
    text += "HTTP/1.1 " + std::to_string(status) + " Text\r\n";
    if (is_chunked && !is_bodyless()) {
      return text + "Transfer-Encoding: chunked\r\n\r\n3\r\n" + body.substr(0, 3) + "\r\n" +
             to_hex(body.size() - 3) + "\r\n" + body.substr(3) + "\r\n0\r\nTrailer: x\r\n\r\n";
    }
    // The length of what a GET would get stands in answers without a body, too.
    text += status == 204 ? "\r\n" : "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return is_bodyless() ? text : text + body;
  }

 private:
  static std::string to_hex(std::size_t value) {
    char* text = g_strdup_printf("%zx", value);
    const std::string hex = text;
    g_free(text);
    return hex;
  }
};

Row random_row(common::RandomEngine& random) {
  const std::vector<std::string> methods = {"GET", "HEAD", "DELETE", "OPTIONS", "GET", "HEAD"};
  const std::vector<unsigned> statuses = {200, 201, 204, 304, 404, 500};
  Row row;
  row.method = methods[common::uniform(random, 0, methods.size() - 1)];
  row.status = statuses[common::uniform(random, 0, statuses.size() - 1)];
  row.is_chunked = common::chance(random, 0.5);
  row.interim_answers = static_cast<int>(common::uniform(random, 0, 2));
  row.body = std::string(4 + common::uniform(random, 0, 5000), 'a');
  return row;
}

/// Sends a request and waits for its answer.
HttpResponse exchange(HttpClient& client, const std::string& address, const std::string& method) {
  EventLoop loop;
  HttpResponse result;
  HttpRequest request;
  request.method = method;
  request.address = address;
  request.timeout = milliseconds(2000);
  client.send(request, [&](const HttpResponse& response) {
    result = response;
    loop.quit();
  });
  loop.run();
  return result;
}

TEST_CASE("answers of every framing arrive whole one after the other on a kept connection") {
  common::RandomEngine random(1);
  Row row;
  ScriptedServer server(
      [&row](const std::string& /*head*/, const Write& write) { write(row.answer()); });
  HttpClient client(HttpClientOptions{});
  constexpr int kExchanges = 600;
  for (int i = 0; i < kExchanges; ++i) {
    row = random_row(random);
    CAPTURE(i);
    CAPTURE(row.method);
    CAPTURE(row.status);
    CAPTURE(row.is_chunked);
    const HttpResponse response = exchange(client, server.address(), row.method);
    REQUIRE(response.status == row.status);
    REQUIRE(response.body == (row.is_bodyless() ? std::string() : row.body));
  }
  CHECK(client.connections_opened() == 1);
}

TEST_CASE("the answer after one to a HEAD request has its body") {
  Row row{"HEAD", 200, false, 0, "whole body"};
  ScriptedServer server(
      [&row](const std::string& /*head*/, const Write& write) { write(row.answer()); });
  HttpClient client(HttpClientOptions{});
  CHECK(exchange(client, server.address(), "HEAD").body.empty());
  row.method = std::string("GET");
  CHECK(exchange(client, server.address(), "GET").body == row.body);
  CHECK(client.connections_opened() == 1);
}

/// Bytes that are no answer, as a beginning and what follows it without end.
struct EndlessAnswer {
  const char* name;
  std::string beginning;
  std::string rest;
};

std::vector<EndlessAnswer> endless_answers() {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string block(4096, 'a');
  return {
      {"no HTTP", "", block},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"one header", ok + "Name: ", block},
      {"headers", ok, "Name: value\r\n"},
      {"body until close", ok + "\r\n", block},
      {"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + block + "\r\n"},
      {"one chunk", ok + "Transfer-Encoding: chunked\r\n\r\nfffffff0\r\n", block},
      {"trailers", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n"},
      {"announced body", ok + "Content-Length: 99999999999\r\n\r\n", block},
  };
}

/// Guards against an answer that never comes and is read until the request's deadline.
TEST_CASE("bytes that are no answer and do not end are given up before the deadline") {
  for (const EndlessAnswer& endless : endless_answers()) {
    CAPTURE(endless.name);
    ScriptedServer server([&endless](const std::string& /*head*/, const Write& write) {
      bool is_open = write(endless.beginning + endless.rest);
      while (is_open) {
        is_open = write(endless.rest);
      }
    });
    HttpClient client(HttpClientOptions{});
    const HttpResponse response = exchange(client, server.address(), "GET");
    CHECK_FALSE(response.is_whole());
    CHECK(response.was_sent);
    CHECK(response.error.code == common::ErrorCode::kCorrupt);
    CHECK(client.connections() == 0);
  }
}

/// Guards against a request that offers an upgrade and is refused since its body comes later.
TEST_CASE("a request that offers an upgrade is read with its body") {
  HttpReader reader(HttpRole::kRequest, HttpLimits());
  reader.feed(
      "POST / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: x\r\nContent-Length: "
      "5\r\n\r\n");
  CHECK_FALSE(reader.has_failed());
  reader.feed("hello");
  REQUIRE(reader.is_whole());
  CHECK(reader.message().body == "hello");
}

}  // namespace
}  // namespace planktray::transport
