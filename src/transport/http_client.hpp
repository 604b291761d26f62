#pragma once
/// HTTP/1.1 client on GIO sockets and the http-parser library. Reports whether any byte of a failed
/// request was written, which decides whether a retry is safe.
///
/// Invariants:
///  - A request is written once, on one connection. The client itself never resends a request.
///  - A response is delivered only when it is complete and, if the request sets `answer_header`,
///    carries the expected value; other responses are discarded.
///  - A connection is reused only if nothing but the complete response arrived on it.
///  - A connection that has delivered the response to an `answer_value` carries no other request
///  with
///    that value: a copy of the response that arrives late could not be told from the second one.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/error.hpp"
#include "common/time.hpp"
#include "limits/memory_account.hpp"
#include "transport/http_message.hpp"
#include "transport/shared_bytes.hpp"
#include "transport/tcp_stream.hpp"

namespace planktray::transport {

/// Splits "http://IP:port/path" into "IP:port" and "/path".
std::pair<std::string, std::string> split_url(const std::string& url);

struct HttpRequest {
  std::string address;  ///< "IP:port"
  std::string method = "GET";
  std::string target = "/";  ///< path and query, sent unchanged
  HeaderList headers;        ///< Host is added if it is missing
  SharedBytes body;
  common::Duration timeout{0};  ///< 0: no timeout
  /// Opens a connection for this request only and closes it afterwards.
  bool fresh_connection = false;
  /// How long a new connection has to stay open before the request is written on it. A server that
  /// accepts no more connections resets a new one at once; with this delay the reset comes before
  /// the request is sent, so a retry is safe. 0: the request is written as soon as the connection
  /// is established.
  common::Duration settle_time{0};
  /// A connection that has been idle for longer is not used for this request; 0: any usable
  /// connection.
  common::Duration max_idle_time{0};
  /// Name of the header by which the response to this request is recognized, with its value below;
  /// responses with another value belong to other requests. Empty: the next response is accepted.
  std::string answer_header;
  std::string answer_value;
  /// Accepts a response without that header, too; one with another value is never accepted.
  bool accepts_unmarked = false;
  /// Name of a header that each success (2xx) to this request has. A success without it is given up
  /// before its body has come. Empty: none.
  std::string success_header;
};

/// How much of a request has been handed to the kernel.
enum class SendStage : std::uint8_t {
  kConnected,  ///< its new connection is established; not reported for a reused connection
  kBegun,      ///< the kernel has accepted the first bytes
  kWritten,    ///< the kernel has accepted all bytes
};

/// Outcome of a request. Either `status` is set, or `error` holds the reason why there is no
/// response.
struct HttpResponse {
  unsigned status = 0;
  HeaderList headers;
  SharedBytes body;
  bool was_sent = false;     ///< some of the request may have reached the server
  bool used_before = false;  ///< the connection had carried an earlier request (it was reused)
  common::Error error;

  bool is_whole() const { return status != 0; }
  std::string_view text() const { return body.view(); }
  /// @return the header's value, or "".
  std::string_view header(std::string_view name) const { return find_header(headers, name); }
};

struct HttpClientOptions {
  /// Maximum number of open connections to one server; a request beyond it fails as not sent.
  std::size_t connections_per_server = 64;
  /// A connection that is not established within this time has failed; nothing was sent.
  common::Duration connect_timeout = std::chrono::seconds(5);
  /// Maximum idle time of a connection; shorter if the server requests it (Keep-Alive header).
  common::Duration idle_timeout = std::chrono::seconds(30);
  /// Ends a connection whose sent bytes stay unacknowledged for this long; 0: the kernel's default.
  common::Duration unacknowledged_timeout{0};
  HttpLimits limits{64 * 1024, 64 * 1024 * 1024};
  /// Limits the rate of large bodies; must outlive the client; null: no limit.
  LinkPacer* pacer = nullptr;
  /// Accounts for the memory of responses that are being received; must outlive the client; null:
  /// no limit. A large response waits until there is memory for it.
  limits::MemoryAccount* memory = nullptr;
};

class ClientConnection;

class HttpClient {
 public:
  using Callback = std::function<void(HttpResponse& response)>;
  /// Called once for each stage, possibly within send(), never after the request has ended. Must
  /// not cancel the request.
  using Progress = std::function<void(SendStage stage)>;

  explicit HttpClient(HttpClientOptions options);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  /// Sends a request. The callback is called exactly once and never within this call, or not at all
  /// if cancel() is called with the returned id.
  std::uint64_t send(HttpRequest request, Callback callback, Progress progress = nullptr);
  /// Cancels a request and closes its connection.
  void cancel(std::uint64_t id);
  /// While held, no further bytes of the request are handed to the kernel.
  void hold(std::uint64_t id, bool held);
  std::size_t in_flight() const { return calls_.size(); }
  std::size_t connections() const;
  std::uint64_t connections_opened() const { return opened_; }

 private:
  friend class ClientConnection;
  struct Call {
    HttpRequest request;
    Callback callback;
    Progress progress;
    std::shared_ptr<ClientConnection> connection;
    guint timer = 0;
  };
  struct Server {
    std::vector<std::shared_ptr<ClientConnection>> idle;  ///< most recently used at the back
    std::size_t open = 0;
  };
  struct Timer {
    HttpClient* client;
    std::uint64_t call;
  };

  static gboolean on_timeout(gpointer data);
  static gboolean on_sweep(gpointer self);
  void expire(std::uint64_t id);
  void sweep();
  std::shared_ptr<ClientConnection> take_idle(const HttpRequest& request);
  /// Closes the connection that has been idle for longest, if any.
  void close_one_idle(const std::string& address);
  void fail_later(std::uint64_t id, common::Error error);
  void finish(std::uint64_t id, HttpResponse response);
  void report_stage(std::uint64_t id, SendStage stage);
  void add_idle(const std::string& address, const std::shared_ptr<ClientConnection>& connection);
  void remove_connection(const std::string& address, const ClientConnection* connection);

  HttpClientOptions options_;
  std::map<std::uint64_t, Call> calls_;
  std::map<std::string, Server> servers_;
  std::uint64_t next_id_ = 1;
  std::uint64_t opened_ = 0;
  std::uint64_t sending_ = 0;  ///< the call that send() is starting, while it runs; 0: none
  guint sweep_source_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace planktray::transport
