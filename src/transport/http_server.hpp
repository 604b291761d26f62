#pragma once
/// HTTP/1.1 server on GIO sockets and the http-parser library. Handlers may answer later.
///
/// Invariants:
///  - A handler gets whole requests only. Requests of one connection run side by side where the
///    classifier (`run_side_by_side`) allows all of them; any other waits until those before it are
///    answered, and nothing behind it is read before it is answered.
///  - Answers leave in the order of their requests. Nothing behind an answer that closes the
///    connection has been handed out.
///  - A client that closes while its requests wait is noticed at once, also where its connection is
///    not read because too much of it is under way.
///  - A connection is announced as closing (`Connection: close`) in the answer before it is closed;
///    an idle one is closed after its idle time, or when a stop asks for it.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.hpp"
#include "transport/http_message.hpp"
#include "transport/tcp_stream.hpp"

namespace planktray::transport {

class HttpServer;
class ServerConnection;

/// One request that waits for its answer. Answering twice, or after the client has gone, does
/// nothing.
class HttpExchange {
 public:
  /// @param number place among the requests of its connection.
  /// @param first_byte when its first byte came, or had to wait on the connection.
  HttpExchange(std::weak_ptr<ServerConnection> connection, std::uint64_t number,
               HttpMessage request, common::TimePoint first_byte);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  /// A handler that drops an exchange without an answer has failed: the client is told 500.
  ~HttpExchange();

  std::string_view method() const { return request_.method; }
  /// The path as it came, without the query.
  std::string path() const;
  /// Path and query as they came.
  const std::string& target() const { return request_.target; }
  /// @return the header's value, or "".
  std::string_view header(std::string_view name) const {
    return find_header(request_.headers, name);
  }
  std::string_view body() const { return request_.body; }
  const HeaderList& headers() const { return request_.headers; }
  /// When the request's first byte came. It may have waited unread behind others since then.
  common::TimePoint first_byte() const { return first_byte_; }

  /// Answers; the length is stated here, `Connection` where it is needed.
  void respond(unsigned status, const HeaderList& headers, std::string_view body);
  void respond_text(unsigned status, const char* content_type, std::string_view body);
  void respond_json(unsigned status, std::string_view json, HeaderList headers = {});
  /// Answers {"error", "step", "peer"} with the status that fits the error's code.
  void respond_error(const common::Error& error);
  /// Calls `gone` when the client closes before it was answered.
  void on_gone(std::function<void()> gone) { gone_ = std::move(gone); }

 private:
  friend class ServerConnection;
  void client_left();

  std::weak_ptr<ServerConnection> connection_;
  std::uint64_t number_;
  HttpMessage request_;
  common::TimePoint first_byte_;
  std::function<void()> gone_;
  bool answered_ = false;
};

using ExchangePointer = std::shared_ptr<HttpExchange>;

struct HttpServerOptions {
  HttpLimits limits;
  /// A request must be whole this long after its first byte.
  common::Duration request_timeout = std::chrono::seconds(30);
  /// A connection without a request is closed after this time.
  common::Duration idle_timeout = std::chrono::seconds(60);
  /// Requests of one connection under way at once; with so many, the connection is not read, so
  /// that one client cannot fill a service. Chosen, not measured.
  std::size_t requests_side_by_side = 8;
  /// While answers that wait for their turn hold more bytes, no further request of the connection
  /// is started: some hundred answers of the usual size. Those that were started may still add
  /// theirs.
  std::size_t held_answer_bytes = 256 * 1024;
  /// Ends a connection whose sent bytes stay without an acknowledgement; 0: the system's time.
  common::Duration unacknowledged_timeout{0};
  /// Large bodies pass at its pace; outlives the server; none: no pace.
  LinkPacer* pacer = nullptr;
};

/// Options with a limit of body bytes and the other values at their defaults.
HttpServerOptions options_with_body_limit(std::size_t bytes);

class HttpServer {
 public:
  using Handler = std::function<void(ExchangePointer exchange)>;
  /// Whether a request may run beside others of its connection: it may be repeated, and its answer
  /// is short enough to be held. Called once for each request, when it has come whole.
  using Classifier = std::function<bool(const HttpMessage& request)>;

  /// Listens at "IP:port". @return kIo or kInvalid.
  static common::Result<std::unique_ptr<HttpServer>> listen(const std::string& address,
                                                            HttpServerOptions options,
                                                            Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// Without a classifier, the requests of a connection run one after the other.
  void run_side_by_side(Classifier runs_beside_others) {
    runs_beside_others_ = std::move(runs_beside_others);
  }
  /// Holds for connections and requests from now on.
  void set_options(HttpServerOptions options);
  const HttpServerOptions& options() const { return options_; }
  /// From now on the last answer of what is under way on a connection announces the connection's
  /// end; nothing behind it is handed out.
  void announce_close() { closing_ = true; }
  /// Accepts no further connections, but those that wait for it.
  void stop_listening();
  /// Closes connections that carry no request, read or not, and have no answer under way.
  void close_idle();
  /// Requests refused before a handler saw them: malformed, too long, too slow.
  std::uint64_t refused() const { return refused_; }
  /// Requests that have come, read or not, whose answer is not written to its last byte; a process
  /// that ends before it is 0 cuts them.
  std::size_t unfinished() const;
  std::size_t connections() const { return connections_.size(); }
  /// Connections accepted so far.
  std::uint64_t accepted() const { return next_id_ - 1; }

 private:
  friend class ServerConnection;
  HttpServer(HttpServerOptions options, Handler handler);
  static gboolean on_incoming(gint fd, GIOCondition condition, gpointer self);
  static gboolean on_sweep(gpointer self);
  /// @return false where no connection waits, or none can be taken.
  bool accept_one();
  void sweep();
  void forget(std::uint64_t id);

  HttpServerOptions options_;
  Handler handler_;
  Classifier runs_beside_others_;
  GSocket* listener_ = nullptr;
  guint accept_source_ = 0;
  guint sweep_source_ = 0;
  bool closing_ = false;
  std::uint64_t next_id_ = 1;
  std::uint64_t refused_ = 0;
  std::map<std::uint64_t, std::shared_ptr<ServerConnection>> connections_;
};

/// HTTP status of an error code.
unsigned status_of(common::ErrorCode code);

}  // namespace planktray::transport
