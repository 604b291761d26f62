#pragma once
/// Fixture: a server that answers with scripted bytes, and exchanges with it.

#include <gio/gio.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <utility>

#include "transport/event_loop.hpp"
#include "transport/http_client.hpp"

namespace planktray::transport {

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
  /// Waits for the connections; their clients have closed them before.
  ~ScriptedServer() {
    g_socket_service_stop(service_);
    std::unique_lock lock(mutex_);
    all_ended_.wait(lock, [this] { return connections_ == 0; });
    lock.unlock();
    g_object_unref(service_);
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  static gboolean on_run(GThreadedSocketService* /*service*/, GSocketConnection* connection,
                         GObject* /*source*/, gpointer data) {
    auto* self = static_cast<ScriptedServer*>(data);
    self->serve(connection);
    return TRUE;
  }

  void serve(GSocketConnection* connection) {
    add_connections(1);
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
        script_(std::exchange(received, ""), write);
      }
    }
    add_connections(-1);
  }

  void add_connections(int change) {
    const std::lock_guard lock(mutex_);
    connections_ += change;
    all_ended_.notify_all();
  }

  Script script_;
  std::mutex mutex_;
  std::condition_variable all_ended_;
  int connections_ = 0;
  GSocketService* service_ = nullptr;
  std::uint16_t port_ = 0;
};

inline HttpRequest request_for(const ScriptedServer& server, const std::string& method) {
  HttpRequest request;
  request.method = method;
  request.address = server.address();
  request.timeout = std::chrono::milliseconds(2000);
  return request;
}

/// Sends a request and waits for its answer.
inline HttpResponse exchange(HttpClient& client, HttpRequest request) {
  EventLoop loop;
  HttpResponse result;
  client.send(std::move(request), [&](const HttpResponse& response) {
    result = response;
    loop.quit();
  });
  loop.run();
  return result;
}

}  // namespace planktray::transport
