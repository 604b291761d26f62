/// The HTTP client against back ends that read, count and misbehave, for every method. libsoup
/// resends some methods by itself when a used connection closes; a fresh connection must not.

#include "transport/http_client.hpp"

#include <doctest/doctest.h>
#include <gio/gio.h>

#include <string>
#include <vector>

#include "transport/event_loop.hpp"

namespace planktray::transport {
namespace {

using std::chrono::milliseconds;

/// How the server treats a request after it has read and counted it.
enum class Behaviour : std::uint8_t { kAnswerOnceThenClose, kClose, kTruncate, kFreeze };

/// A raw TCP server: reads a request to the end of its headers, counts it, and then misbehaves.
class RawServer {
 public:
  explicit RawServer(Behaviour behaviour) : behaviour_(behaviour) {
    service_ = g_socket_service_new();
    port_ = g_socket_listener_add_any_inet_port(G_SOCKET_LISTENER(service_), nullptr, nullptr);
    g_signal_connect(service_, "incoming", G_CALLBACK(on_incoming), this);
    g_socket_service_start(service_);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;
  ~RawServer() {
    g_socket_service_stop(service_);
    g_object_unref(service_);
    for (GSocketConnection* connection : open_) {
      g_io_stream_close(G_IO_STREAM(connection), nullptr, nullptr);
      g_object_unref(connection);
    }
  }

  std::string url() const { return "http://127.0.0.1:" + std::to_string(port_) + "/x"; }
  int requests() const { return requests_; }

 private:
  static gboolean on_incoming(GSocketService* /*service*/, GSocketConnection* connection,
                              GObject* /*source*/, gpointer data) {
    auto* self = static_cast<RawServer*>(data);
    self->open_.push_back(G_SOCKET_CONNECTION(g_object_ref(connection)));
    self->read_next(connection);
    return TRUE;
  }
  void read_next(GSocketConnection* connection) {
    GInputStream* input = g_io_stream_get_input_stream(G_IO_STREAM(connection));
    g_object_set_data(G_OBJECT(input), "connection", connection);
    g_input_stream_read_bytes_async(input, 65536, G_PRIORITY_DEFAULT, nullptr, on_read, this);
  }
  static void on_read(GObject* source, GAsyncResult* result, gpointer data) {
    auto* self = static_cast<RawServer*>(data);
    GBytes* bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), result, nullptr);
    const bool got = bytes != nullptr && g_bytes_get_size(bytes) > 0;
    if (bytes != nullptr) {
      g_bytes_unref(bytes);
    }
    auto* connection = static_cast<GSocketConnection*>(g_object_get_data(source, "connection"));
    if (got) {
      ++self->requests_;
      self->respond(connection);
    }
  }
  void respond(GSocketConnection* connection) {
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const std::string part = "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\nok";
    const bool answers = behaviour_ == Behaviour::kTruncate ||
                         (behaviour_ == Behaviour::kAnswerOnceThenClose && requests_ == 1);
    if (behaviour_ == Behaviour::kFreeze) {
      return;
    }
    if (answers) {
      const std::string& text = behaviour_ == Behaviour::kTruncate ? part : whole;
      GOutputStream* output = g_io_stream_get_output_stream(G_IO_STREAM(connection));
      g_output_stream_write_all(output, text.data(), text.size(), nullptr, nullptr, nullptr);
    }
    if (behaviour_ == Behaviour::kAnswerOnceThenClose && requests_ == 1) {
      read_next(connection);
      return;
    }
    g_io_stream_close(G_IO_STREAM(connection), nullptr, nullptr);
  }

  Behaviour behaviour_;
  GSocketService* service_ = nullptr;
  std::uint16_t port_ = 0;
  int requests_ = 0;
  std::vector<GSocketConnection*> open_;
};

HttpResponse send_and_wait(HttpClient& client, const HttpRequest& request) {
  EventLoop loop;
  HttpResponse result;
  client.send(request, [&](const HttpResponse& response) {
    result = response;
    // Anything that libsoup sends by itself comes within this time.
    loop.after(milliseconds(50), [&loop] { loop.quit(); });
  });
  loop.run();
  return result;
}

HttpRequest request_for(const RawServer& server, const std::string& method) {
  HttpRequest request;
  request.method = method;
  request.url = server.url();
  request.fresh_connection = true;
  request.timeout = milliseconds(2000);
  if (method == "POST" || method == "PUT" || method == "PATCH") {
    request.body = "{}";
  }
  return request;
}

const std::vector<std::string> kMethods = {"GET",    "HEAD",  "PUT",    "POST",
                                           "DELETE", "PATCH", "OPTIONS"};

TEST_CASE("a request that was read and not answered reaches the server once, by every method") {
  for (const std::string& method : kMethods) {
    CAPTURE(method);
    RawServer server(Behaviour::kClose);
    HttpClient client(4);
    const HttpResponse response = send_and_wait(client, request_for(server, method));
    CHECK(server.requests() == 1);
    CHECK_FALSE(response.is_whole());
    CHECK(response.was_sent);
  }
}

TEST_CASE("the same after an answered request left a connection that could be used again") {
  for (const std::string& method : kMethods) {
    CAPTURE(method);
    RawServer server(Behaviour::kAnswerOnceThenClose);
    HttpClient client(4);
    HttpRequest first = request_for(server, "GET");
    first.fresh_connection = false;
    CHECK(send_and_wait(client, first).is_whole());
    const HttpResponse response = send_and_wait(client, request_for(server, method));
    CHECK(server.requests() == 2);
    CHECK_FALSE(response.is_whole());
  }
}

TEST_CASE("a truncated answer is not whole") {
  RawServer server(Behaviour::kTruncate);
  HttpClient client(4);
  const HttpResponse response = send_and_wait(client, request_for(server, "POST"));
  CHECK_FALSE(response.is_whole());
  CHECK(response.was_sent);
  CHECK(server.requests() == 1);
}

TEST_CASE("a frozen server is given up at the deadline, as maybe run") {
  RawServer server(Behaviour::kFreeze);
  HttpClient client(4);
  HttpRequest request = request_for(server, "POST");
  request.timeout = milliseconds(100);
  const HttpResponse response = send_and_wait(client, request);
  CHECK_FALSE(response.is_whole());
  CHECK(response.was_sent);
  CHECK(response.error.code == common::ErrorCode::kTimeout);
}

TEST_CASE("where nobody listens nothing was sent") {
  HttpClient client(4);
  HttpRequest request;
  request.method = "POST";
  request.url = "http://127.0.0.1:1/x";
  request.fresh_connection = true;
  const HttpResponse response = send_and_wait(client, request);
  CHECK_FALSE(response.is_whole());
  CHECK_FALSE(response.was_sent);
}

}  // namespace
}  // namespace planktray::transport
