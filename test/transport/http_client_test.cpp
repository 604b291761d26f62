/// Tests of the HTTP client against servers that count requests and fail in different ways.

#include "transport/http_client.hpp"

#include <doctest/doctest.h>
#include <gio/gio.h>
#include <sys/socket.h>

#include <stdexcept>
#include <string>
#include <vector>

#include "transport/containment.hpp"
#include "transport/event_loop.hpp"

namespace planktray::transport {
namespace {

using std::chrono::milliseconds;

/// What the server does after it has read and counted a request.
enum class Behaviour : std::uint8_t {
  kAnswerOnceThenClose,
  kClose,
  kTruncate,
  kFreeze,
  kMissingLastChunk,  ///< a chunked response without its last chunk, then close
  kUnstatedLength,    ///< a response without a length that ends with the connection
  kUnstatedReset,     ///< the same, but the connection is reset
  kSurplusLater,      ///< from the second request on: the first response again, then the right one
  kSurplusAtOnce,     ///< two responses to each request
  kCopyForNext,       ///< on each connection, the first response again in place of each later one
  kMalformed,         ///< bytes that are not an HTTP response
  kResetAtOnce,       ///< a new connection is reset before anything is read
};

constexpr const char* kMark = "Request-Mark";

std::string answer_to(int number) {
  return "HTTP/1.1 200 OK\r\nRequest-Mark: " + std::to_string(number) +
         "\r\nContent-Length: 2\r\n\r\nok";
}

/// A raw TCP server that reads and counts requests and then acts according to its `Behaviour`.
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

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  int requests() const { return requests_; }
  std::size_t connections() const { return open_.size(); }

 private:
  static gboolean on_incoming(GSocketService* /*service*/, GSocketConnection* connection,
                              GObject* /*source*/, gpointer data) {
    auto* self = static_cast<RawServer*>(data);
    self->open_.push_back(G_SOCKET_CONNECTION(g_object_ref(connection)));
    if (self->behaviour_ == Behaviour::kResetAtOnce) {
      constexpr linger kReset{1, 0};
      setsockopt(g_socket_get_fd(g_socket_connection_get_socket(connection)), SOL_SOCKET, SO_LINGER,
                 &kReset, sizeof(kReset));
      g_io_stream_close(G_IO_STREAM(connection), nullptr, nullptr);
      return TRUE;
    }
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
  /// Returns the bytes to send for the request that was just read; empty: nothing is sent.
  std::string bytes_to_send() const {
    std::string chunk = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";
    switch (behaviour_) {
      case Behaviour::kAnswerOnceThenClose:
        return requests_ == 1 ? answer_to(1) : "";
      case Behaviour::kTruncate:
        return "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\nok";
      case Behaviour::kMissingLastChunk:
        return chunk;
      case Behaviour::kUnstatedLength:
      case Behaviour::kUnstatedReset:
        return "HTTP/1.1 200 OK\r\n\r\npart";
      case Behaviour::kSurplusLater:
        return requests_ == 1 ? answer_to(1) : answer_to(1) + answer_to(requests_);
      case Behaviour::kSurplusAtOnce:
        return answer_to(requests_) + answer_to(requests_);
      case Behaviour::kCopyForNext:
        return answer_to(1);
      case Behaviour::kMalformed:
        return "\x01\x02 nonsense\r\n\r\n";
      case Behaviour::kClose:
      case Behaviour::kFreeze:
      case Behaviour::kResetAtOnce:
        break;
    }
    return "";
  }
  bool stays_open() const {
    return behaviour_ == Behaviour::kFreeze || behaviour_ == Behaviour::kSurplusLater ||
           behaviour_ == Behaviour::kSurplusAtOnce || behaviour_ == Behaviour::kMalformed ||
           behaviour_ == Behaviour::kCopyForNext ||
           (behaviour_ == Behaviour::kAnswerOnceThenClose && requests_ == 1);
  }
  void respond(GSocketConnection* connection) {
    const std::string text = bytes_to_send();
    GOutputStream* output = g_io_stream_get_output_stream(G_IO_STREAM(connection));
    g_output_stream_write_all(output, text.data(), text.size(), nullptr, nullptr, nullptr);
    if (stays_open()) {
      read_next(connection);
      return;
    }
    if (behaviour_ == Behaviour::kUnstatedReset) {
      constexpr linger kReset{1, 0};
      setsockopt(g_socket_get_fd(g_socket_connection_get_socket(connection)), SOL_SOCKET, SO_LINGER,
                 &kReset, sizeof(kReset));
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
    // A request that the client wrongly sends again would arrive within this time.
    loop.after(milliseconds(50), [&loop] { loop.quit(); });
  });
  loop.run();
  return result;
}

HttpClientOptions options_with_four_connections() {
  HttpClientOptions options;
  options.connections_per_server = 4;
  return options;
}

HttpRequest request_for(const RawServer& server, const std::string& method) {
  HttpRequest request;
  request.method = method;
  request.address = server.address();
  request.target = "/x";
  request.fresh_connection = true;
  request.timeout = milliseconds(2000);
  if (method == "POST" || method == "PUT" || method == "PATCH") {
    request.body = "{}";
  }
  return request;
}

const std::vector<std::string> kMethods = {"GET",    "HEAD",  "PUT",    "POST",
                                           "DELETE", "PATCH", "OPTIONS"};

TEST_CASE("a request that is read and not answered is sent only once, for every method") {
  for (const std::string& method : kMethods) {
    CAPTURE(method);
    RawServer server(Behaviour::kClose);
    HttpClient client(options_with_four_connections());
    const HttpResponse response = send_and_wait(client, request_for(server, method));
    CHECK(server.requests() == 1);
    CHECK_FALSE(response.is_whole());
    CHECK(response.was_sent);
  }
}

TEST_CASE("a request whose connection is reset during the settle time is reported as not sent") {
  RawServer server(Behaviour::kResetAtOnce);
  HttpClient client(options_with_four_connections());
  HttpRequest request = request_for(server, "POST");
  CHECK(send_and_wait(client, request).was_sent);  // the reset may have come after the request
  request.settle_time = milliseconds(100);
  const HttpResponse settled = send_and_wait(client, request);
  CHECK_FALSE(settled.was_sent);
  CHECK_FALSE(settled.is_whole());
}

TEST_CASE("the settle time delays a request on a new connection, not on a reused one") {
  RawServer server(Behaviour::kSurplusLater);
  HttpClient client(options_with_four_connections());
  HttpRequest request = request_for(server, "POST");
  request.fresh_connection = false;
  request.settle_time = milliseconds(20);
  CHECK(send_and_wait(client, request).is_whole());
  request.settle_time = milliseconds(10'000);  // longer than the request may take
  CHECK(send_and_wait(client, request).is_whole());
  CHECK(server.connections() == 1);
}

TEST_CASE("each stage of a request is reported once, in order, on new and on reused connections") {
  RawServer server(Behaviour::kSurplusLater);
  HttpClient client(options_with_four_connections());
  HttpRequest request = request_for(server, "POST");
  request.fresh_connection = false;
  request.settle_time = milliseconds(20);
  const auto stages_of = [&] {
    EventLoop loop;
    std::vector<SendStage> stages;
    client.send(
        request, [&loop](const HttpResponse& /*response*/) { loop.quit(); },
        [&stages](SendStage stage) { stages.push_back(stage); });
    loop.run();
    return stages;
  };
  using Stages = std::vector<SendStage>;
  CHECK(stages_of() == Stages{SendStage::kConnected, SendStage::kBegun, SendStage::kWritten});
  CHECK(stages_of() == Stages{SendStage::kBegun, SendStage::kWritten});
}

TEST_CASE("a request that times out during the settle time is reported as not sent") {
  RawServer server(Behaviour::kFreeze);
  HttpClient client(options_with_four_connections());
  HttpRequest request = request_for(server, "POST");
  request.settle_time = milliseconds(500);
  request.timeout = milliseconds(50);
  CHECK_FALSE(send_and_wait(client, request).was_sent);
  CHECK(server.requests() == 0);
}

TEST_CASE("a connection that has been idle for too long is not reused") {
  RawServer server(Behaviour::kSurplusLater);
  HttpClient client(options_with_four_connections());
  HttpRequest request = request_for(server, "GET");
  request.fresh_connection = false;
  request.max_idle_time = milliseconds(2000);
  CHECK(send_and_wait(client, request).is_whole());
  CHECK(send_and_wait(client, request).is_whole());  // idle for 50 ms
  CHECK(server.connections() == 1);
  request.max_idle_time = milliseconds(5);
  CHECK(send_and_wait(client, request).is_whole());
  CHECK(server.connections() == 2);
}

TEST_CASE(
    "a request is not retried after an answered one left a reusable connection, for every method") {
  for (const std::string& method : kMethods) {
    CAPTURE(method);
    RawServer server(Behaviour::kAnswerOnceThenClose);
    HttpClient client(options_with_four_connections());
    HttpRequest first = request_for(server, "GET");
    first.fresh_connection = false;
    CHECK(send_and_wait(client, first).is_whole());
    const HttpResponse response = send_and_wait(client, request_for(server, method));
    CHECK(server.requests() == 2);
    CHECK_FALSE(response.is_whole());
  }
}

TEST_CASE("a truncated response is not complete") {
  RawServer server(Behaviour::kTruncate);
  HttpClient client(options_with_four_connections());
  const HttpResponse response = send_and_wait(client, request_for(server, "POST"));
  CHECK_FALSE(response.is_whole());
  CHECK(response.was_sent);
  CHECK(server.requests() == 1);
}

TEST_CASE("a request to a frozen server times out and is reported as possibly sent") {
  RawServer server(Behaviour::kFreeze);
  HttpClient client(options_with_four_connections());
  HttpRequest request = request_for(server, "POST");
  request.timeout = milliseconds(100);
  const HttpResponse response = send_and_wait(client, request);
  CHECK_FALSE(response.is_whole());
  CHECK(response.was_sent);
  CHECK(response.error.code == common::ErrorCode::kTimeout);
}

TEST_CASE("a request to an address without a listener is reported as not sent") {
  HttpClient client(options_with_four_connections());
  HttpRequest request;
  request.method = "POST";
  request.address = "127.0.0.1:1";
  request.fresh_connection = true;
  const HttpResponse response = send_and_wait(client, request);
  CHECK_FALSE(response.is_whole());
  CHECK_FALSE(response.was_sent);
}

TEST_CASE("a chunked response without its last chunk is not complete") {
  RawServer server(Behaviour::kMissingLastChunk);
  HttpClient client(options_with_four_connections());
  CHECK_FALSE(send_and_wait(client, request_for(server, "GET")).is_whole());
}

TEST_CASE("a response without a length is complete at a close of its connection, not at a reset") {
  RawServer closing(Behaviour::kUnstatedLength);
  RawServer resetting(Behaviour::kUnstatedReset);
  HttpClient client(options_with_four_connections());
  const HttpResponse whole = send_and_wait(client, request_for(closing, "GET"));
  CHECK(whole.is_whole());
  CHECK(whole.text() == "part");
  CHECK_FALSE(send_and_wait(client, request_for(resetting, "GET")).is_whole());
}

TEST_CASE("bytes that are not an HTTP response fail the request") {
  RawServer server(Behaviour::kMalformed);
  HttpClient client(options_with_four_connections());
  const HttpResponse response = send_and_wait(client, request_for(server, "GET"));
  CHECK_FALSE(response.is_whole());
  CHECK(response.was_sent);
}

HttpRequest marked_request(const RawServer& server, int number) {
  HttpRequest request = request_for(server, "GET");
  request.fresh_connection = false;
  request.answer_header = kMark;
  request.answer_value = std::to_string(number);
  return request;
}

TEST_CASE("a surplus response in the place of the next one is skipped") {
  RawServer server(Behaviour::kSurplusLater);
  HttpClient client(options_with_four_connections());
  CHECK(send_and_wait(client, marked_request(server, 1)).header(kMark) == "1");
  const HttpResponse second = send_and_wait(client, marked_request(server, 2));
  CHECK(second.used_before);
  CHECK(second.header(kMark) == "2");
  CHECK(client.connections() == 0);  // a connection with surplus bytes is not reused
}

TEST_CASE("a connection with bytes after the response is not reused") {
  RawServer server(Behaviour::kSurplusAtOnce);
  HttpClient client(options_with_four_connections());
  CHECK(send_and_wait(client, marked_request(server, 1)).is_whole());
  const HttpResponse second = send_and_wait(client, marked_request(server, 2));
  CHECK(second.header(kMark) == "2");
  CHECK_FALSE(second.used_before);
  CHECK(client.connections_opened() == 2);
}

// Guards against a late copy of a refusal that is taken for the response to the repeated request:
// the caller was told that its request had not run while it ran.
TEST_CASE("a repeated request does not use the connection that delivered its earlier response") {
  RawServer server(Behaviour::kCopyForNext);
  HttpClient client(options_with_four_connections());
  CHECK(send_and_wait(client, marked_request(server, 1)).is_whole());
  for (std::size_t repeats = 1; repeats <= 3; ++repeats) {
    const HttpResponse repeat = send_and_wait(client, marked_request(server, 1));
    CHECK_FALSE(repeat.used_before);
    CHECK(client.connections_opened() == 1 + repeats);
    CHECK(client.connections() == 1 + repeats);  // each is kept for other requests
  }
}

TEST_CASE("a response without the mark is accepted on demand, one with another mark never") {
  RawServer server(Behaviour::kAnswerOnceThenClose);
  HttpClient client(options_with_four_connections());
  HttpRequest other = marked_request(server, 99);
  other.accepts_unmarked = true;
  other.timeout = milliseconds(100);
  CHECK_FALSE(send_and_wait(client, other).is_whole());
  RawServer unmarked(Behaviour::kAnswerOnceThenClose);
  HttpRequest first = marked_request(unmarked, 1);
  first.answer_header = "Absent-Mark";
  first.accepts_unmarked = true;
  CHECK(send_and_wait(client, first).is_whole());
}

// Guards against a repeated request that fails for want of a connection while unsuitable ones idle.
TEST_CASE("a repeated request replaces an idle connection at the connection limit") {
  RawServer server(Behaviour::kCopyForNext);
  HttpClientOptions options;
  options.connections_per_server = 1;
  HttpClient client(options);
  CHECK(send_and_wait(client, marked_request(server, 1)).is_whole());
  const HttpResponse repeat = send_and_wait(client, marked_request(server, 1));
  CHECK(repeat.is_whole());
  CHECK_FALSE(repeat.used_before);
  CHECK(client.connections() == 1);
}

// Guards against an exception in the handler of an answer that leaves the main loop and ends the
// process.
TEST_CASE("an exception in the handler of an answer is counted and ends nothing else") {
  RawServer server(Behaviour::kSurplusLater);
  HttpClient client(options_with_four_connections());
  const std::uint64_t before = contained_exceptions();
  EventLoop loop;
  client.send(marked_request(server, 1), [&loop](const HttpResponse& /*response*/) {
    loop.after(milliseconds(20), [&loop] { loop.quit(); });
    throw std::runtime_error("the answer cannot be handled");
  });
  loop.run();
  CHECK(contained_exceptions() == before + 1);
  CHECK(send_and_wait(client, marked_request(server, 2)).is_whole());
}

TEST_CASE("a request beyond the connection limit of a server fails as not sent") {
  RawServer server(Behaviour::kFreeze);
  HttpClientOptions options;
  options.connections_per_server = 1;
  HttpClient client(options);
  client.send(request_for(server, "GET"), [](const HttpResponse& /*response*/) {});
  const HttpResponse second = send_and_wait(client, request_for(server, "GET"));
  CHECK_FALSE(second.was_sent);
  CHECK_FALSE(second.is_whole());
}

}  // namespace
}  // namespace planktray::transport
