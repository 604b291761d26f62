#pragma once
/// HTTP/1.1 server on GIO sockets and the http-parser library. Handlers may respond asynchronously.
///
/// Invariants:
///  - A handler receives complete requests only. Requests of one connection run concurrently if the
///    classifier (`run_concurrently`) allows it for all of them; any other request waits until the
///    requests before it are answered, and no later request is read until it is answered.
///  - Responses are sent in the order of their requests. No request after a response that closes
///    the connection is passed to a handler.
///  - A client that closes its connection while requests are pending is detected at once, even
///    while reading is paused because too many requests are in flight.
///  - The last response before the server closes a connection carries `Connection: close`; an idle
///    connection is closed after its idle timeout or when close_idle() is called.
///  - What connections hold stays within the memory account, and their number within its limit: a
///    request that does not fit is refused, and a client that makes no progress loses its
///    connection.

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.hpp"
#include "limits/memory_account.hpp"
#include "transport/http_message.hpp"
#include "transport/shared_bytes.hpp"
#include "transport/tcp_stream.hpp"

namespace planktray::transport {

class HttpServer;
class ServerConnection;

/// Returns the body of a response to a request that no handler has answered.
std::string error_json(std::string_view message, std::string_view step);

/// One request that awaits its response. A second response, or one after the client has
/// disconnected, is ignored.
class HttpExchange {
 public:
  /// @param number sequence number of the request on its connection.
  /// @param first_byte when its first byte arrived, also if it was not parsed until later.
  HttpExchange(std::weak_ptr<ServerConnection> connection, std::uint64_t number,
               HttpMessage request, common::TimePoint first_byte);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  /// Responds with status 500 if the handler dropped the exchange without a response.
  ~HttpExchange();

  std::string_view method() const { return request_.method; }
  /// Returns the path as received, without the query.
  std::string path() const;
  /// Returns path and query as received.
  const std::string& target() const { return request_.target; }
  /// @return the header's value, or "".
  std::string_view header(std::string_view name) const {
    return find_header(request_.headers, name);
  }
  std::string_view body() const { return body_.view(); }
  /// Returns the body for others that keep it.
  const SharedBytes& shared_body() const { return body_; }
  const HeaderList& headers() const { return request_.headers; }
  /// Returns when the request's first byte arrived. The request may have waited behind others since
  /// then.
  common::TimePoint first_byte() const { return first_byte_; }

  /// Sends the response. Content-Length is added here, and `Connection` if needed.
  void respond(unsigned status, const HeaderList& headers, const SharedBytes& body);
  void respond_text(unsigned status, const char* content_type, const SharedBytes& body);
  void respond_json(unsigned status, std::string_view json, HeaderList headers = {});
  /// Responds with {"error", "code", "step", "peer"} and the status for the error's code.
  void respond_error(const common::Error& error);
  /// Calls `gone` if the client disconnects before the response.
  void on_gone(std::function<void()> gone) { gone_ = std::move(gone); }

 private:
  friend class ServerConnection;
  void on_client_closed();

  std::weak_ptr<ServerConnection> connection_;
  std::uint64_t number_;
  HttpMessage request_;  ///< without its body
  SharedBytes body_;
  common::TimePoint first_byte_;
  std::function<void()> gone_;
  bool answered_ = false;
};

using ExchangePointer = std::shared_ptr<HttpExchange>;

struct HttpServerOptions {
  HttpLimits limits;
  /// A request must be complete within this time after its first byte.
  common::Duration request_timeout = std::chrono::seconds(30);
  /// A connection without requests is closed after this time.
  common::Duration idle_timeout = std::chrono::seconds(60);
  /// Maximum number of concurrent requests of one connection. At the limit, reading from the
  /// connection pauses, so that one client cannot use all capacity of a service.
  std::size_t max_concurrent_requests = 8;
  /// Limit on the bytes of responses that wait for an earlier response: some hundred responses of
  /// the usual size. Above it, no further request of the connection is started; requests already
  /// started may still add their responses.
  std::size_t held_answer_bytes = 256 * 1024;
  /// Ends a connection whose sent bytes stay unacknowledged for this long; 0: the kernel's default.
  common::Duration unacknowledged_timeout{0};
  /// Limits the rate of large bodies; must outlive the server; null: no limit.
  LinkPacer* pacer = nullptr;
  /// Accounts for the memory of the connections; must outlive the server; null: no limit.
  limits::MemoryAccount* memory = nullptr;
  /// Maximum number of open connections; 0: unlimited. For one more, the connection that has been
  /// idle for longest is closed.
  std::size_t max_connections = 0;
};

/// Why a request is refused by its head, before its body has come whole.
enum class UnreadReason : std::uint8_t {
  kNone,
  kNotWanted,  ///< the head check does not allow such a body
  kNoMemory,   ///< the process has no memory for it
};

/// Returns options with a limit of body bytes and defaults for all other values.
HttpServerOptions options_with_body_limit(std::size_t bytes);

class HttpServer {
 public:
  using Handler = std::function<void(ExchangePointer exchange)>;
  /// Returns whether a request may run concurrently with others of its connection: it may be
  /// repeated, and its response is short enough to be buffered. Called once for each complete
  /// request.
  using Classifier = std::function<bool(const HttpMessage& request)>;
  /// Returns the number of body bytes that are read for a request with this head; 0 if it is
  /// refused whatever its body. Called for requests whose body comes after their head.
  using HeadCheck = std::function<std::size_t(const HttpMessage& head)>;
  /// Answers a request whose body is not read; the exchange has an empty body.
  using UnreadHandler = std::function<void(ExchangePointer exchange, UnreadReason reason)>;

  /// Listens at "IP:port". @return kIo or kInvalid.
  static common::Result<std::unique_ptr<HttpServer>> listen(const std::string& address,
                                                            HttpServerOptions options,
                                                            Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// Sets the classifier. If none is set, the requests of a connection run one after the other.
  void run_concurrently(Classifier runs_beside_others) {
    runs_beside_others_ = std::move(runs_beside_others);
  }
  /// Sets who decides by its head whether a request is read, and who answers one that is not. The
  /// connection ends after that answer. If none is set, all are read, and one without memory gets
  /// status 503.
  void check_heads(HeadCheck check, UnreadHandler handler) {
    head_check_ = std::move(check);
    unread_handler_ = std::move(handler);
  }
  /// Sets the options for later connections and requests.
  void set_options(HttpServerOptions options);
  const HttpServerOptions& options() const { return options_; }
  /// From now on, the response to the last request in flight on a connection carries the header
  /// `Connection: close`; no request after it is passed to a handler.
  void announce_close() { closing_ = true; }
  /// Accepts the connections in the listen queue, then stops listening.
  void stop_listening();
  /// Closes connections that have no received request, parsed or not, and no unfinished response.
  void close_idle();
  /// Returns the number of requests rejected before they reached a handler: malformed, too large or
  /// too slow.
  std::uint64_t refused() const { return refused_; }
  /// Returns the number of received requests, parsed or not, whose response is not completely
  /// written. A process that exits before this is 0 cuts them off.
  std::size_t unfinished() const;
  std::size_t connections() const { return connections_.size(); }
  /// Returns the number of connections whose client had closed them before they were accepted.
  /// Their requests are not read: a server without time left must not spend it on clients that have
  /// given up.
  std::uint64_t gone_unread() const { return gone_unread_; }
  /// Returns the number of requests refused before their body was read whole, or for lack of
  /// memory.
  std::uint64_t unread() const { return unread_; }
  /// Returns the number of connections closed since a new one needed their descriptor.
  std::uint64_t evicted() const { return evicted_; }
  /// Returns the number of new connections closed unread since no open one was idle.
  std::uint64_t turned_away() const { return turned_away_; }
  /// Returns the number of connections that ended as the handler of a request threw an exception.
  std::uint64_t failed_handlers() const { return failed_handlers_; }
  /// Returns the number of connections accepted so far, without those.
  std::uint64_t accepted() const { return next_id_ - 1; }

 private:
  friend class ServerConnection;
  HttpServer(HttpServerOptions options, Handler handler);
  static gboolean on_incoming(gint fd, GIOCondition condition, gpointer self);
  static gboolean on_sweep(gpointer self);
  /// @return false if no connection is waiting or none can be accepted.
  bool accept_one();
  void start_accepting();
  /// Stops accepting until the next sweep, as no descriptor is free.
  void pause_accepting();
  /// Closes the connection that has been idle for longest. @return false if none is idle.
  bool evict_one();
  /// Marks the connection as the one that was active last.
  void touch(std::list<ServerConnection*>::iterator place);
  void sweep();
  void remove_connection(std::uint64_t id);

  HttpServerOptions options_;
  Handler handler_;
  Classifier runs_beside_others_;
  HeadCheck head_check_;
  UnreadHandler unread_handler_;
  GSocket* listener_ = nullptr;
  guint accept_source_ = 0;
  guint sweep_source_ = 0;
  bool closing_ = false;
  std::uint64_t next_id_ = 1;
  std::uint64_t refused_ = 0;
  std::uint64_t gone_unread_ = 0;
  std::uint64_t failed_handlers_ = 0;
  std::uint64_t unread_ = 0;
  std::uint64_t evicted_ = 0;
  std::uint64_t turned_away_ = 0;
  std::list<ServerConnection*> by_activity_;  ///< the one that was active last at the back
  std::map<std::uint64_t, std::shared_ptr<ServerConnection>> connections_;
};

/// Returns the HTTP status for an error code.
unsigned status_of(common::ErrorCode code);

}  // namespace planktray::transport
