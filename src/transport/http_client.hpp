#pragma once
/// HTTP client by libsoup, with what retries need to know: whether anything was written.

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "common/error.hpp"
#include "common/time.hpp"
#include "transport/http_server.hpp"

namespace planktray::transport {

struct HttpRequest {
  std::string method = "GET";
  std::string url;
  HeaderList headers;
  std::string content_type = "application/json";
  std::string body;
  common::Duration timeout{0};  ///< 0: until cancelled
  /// Opens a connection for this request alone. A used connection that the server closes makes
  /// libsoup resend an idempotent method by itself; a fresh one never does.
  bool fresh_connection = false;
};

/// How a request ended. Either `status` is set, or `error` tells why not.
struct HttpResponse {
  unsigned status = 0;
  HeaderList headers;
  std::shared_ptr<GBytes> body;
  bool was_sent = false;  ///< some of the request may have reached the server
  common::Error error;

  bool is_whole() const { return status != 0; }
  std::string_view text() const;
  /// @return the header's value, or "".
  std::string_view header(std::string_view name) const;
};

class HttpClient {
 public:
  using Callback = std::function<void(const HttpResponse& response)>;

  /// @param connections_per_host open at once.
  explicit HttpClient(int connections_per_host);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  /// Sends; the callback comes exactly once, unless cancel() was called for the returned id.
  std::uint64_t send(const HttpRequest& request, Callback callback);
  /// Closes the connection of a request whose answer is no longer wanted.
  void cancel(std::uint64_t id);
  std::size_t in_flight() const;

 private:
  struct Call;
  struct Calls;

  /// One libsoup session for each server: a session looks through all its connections for every
  /// request, which grows with the square of the servers.
  struct Session {
    SoupSession* session = nullptr;
    common::TimePoint last_used;
  };

  SoupSession* session_for(const std::string& url);
  void drop_idle_sessions(common::TimePoint now);

  static void on_done(GObject* source, GAsyncResult* result, gpointer data);
  static gboolean on_timeout(gpointer data);

  int connections_per_host_;
  std::map<std::string, Session> sessions_;  ///< by "IP:port"
  common::TimePoint next_cleaning_;
  std::shared_ptr<Calls> calls_;
};

}  // namespace planktray::transport
