#include "transport/http_server.hpp"

#include <glib-unix.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "transport/event_loop.hpp"

namespace planktray::transport {
namespace {

constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusTimeout = 408;
constexpr unsigned kStatusConflict = 409;
constexpr unsigned kStatusBodyTooLarge = 413;
constexpr unsigned kStatusHeaderTooLarge = 431;
constexpr unsigned kStatusInternalError = 500;
constexpr unsigned kStatusUnavailable = 503;
constexpr unsigned kStatusGatewayTimeout = 504;
constexpr int kBacklog = 512;
/// Connections taken before other sources of the main loop get their turn.
constexpr int kAcceptBatch = 16;
/// Idle and slow connections are looked for this often.
constexpr guint kSweepSeconds = 1;
/// Bytes of later requests kept while one is being answered.
constexpr std::size_t kMaxPipelinedBytes = 256 * 1024;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

unsigned status_of_failure(ReadFailure failure) {
  switch (failure) {
    case ReadFailure::kHeaderTooLarge:
      return kStatusHeaderTooLarge;
    case ReadFailure::kBodyTooLarge:
      return kStatusBodyTooLarge;
    default:
      return kStatusBadRequest;
  }
}

std::string error_json(std::string_view message, std::string_view step) {
  return nlohmann::json{{"error", message}, {"step", step}, {"peer", ""}}.dump();
}

}  // namespace

unsigned status_of(common::ErrorCode code) {
  switch (code) {
    case common::ErrorCode::kInvalid:
      return kStatusBadRequest;
    case common::ErrorCode::kNotFound:
      return kStatusNotFound;
    case common::ErrorCode::kConflict:
      return kStatusConflict;
    case common::ErrorCode::kTimeout:
      return kStatusGatewayTimeout;
    default:
      return kStatusUnavailable;
  }
}

HttpServerOptions options_with_body_limit(std::size_t bytes) {
  HttpServerOptions options;
  options.limits.body_bytes = bytes;
  return options;
}

// ---------------------------------------------------------------- one connection

/// One client's connection: reads a request, waits for its answer, writes it, reads the next.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(HttpServer& server, std::uint64_t id, std::shared_ptr<TcpStream> stream)
      : server_(server),
        id_(id),
        stream_(std::move(stream)),
        reader_(HttpRole::kRequest, server.options().limits),
        since_(boot_time_now()) {}

  /// Asked of the system once: a connection keeps its other side.
  const std::string& peer_host() {
    if (peer_host_.empty()) {
      peer_host_ = stream_->peer_host();
    }
    return peer_host_;
  }

  void start() {
    TcpStream::Handlers handlers;
    handlers.on_data = [this](std::string_view bytes) { on_data(bytes); };
    handlers.on_end = [this](StreamEnd /*end*/) { on_end(); };
    handlers.on_drained = [this] { on_drained(); };
    stream_->start(std::move(handlers));
  }

  void answer(unsigned status, const HeaderList& headers, std::string_view body, bool is_head) {
    exchange_.reset();
    const bool close = closing_ || server_.closing_;
    closing_ = close;
    HeaderList all = headers;
    if (close) {
      all.emplace_back("Connection", "close");
    }
    writing_ = true;
    stream_->write(serialize_response(status, all, body, is_head));
  }

  /// Ends the connection from this side; a request that waits is told that its client has left.
  void shut() {
    const auto keep = shared_from_this();
    stream_->close();
    on_end();
  }

  bool is_busy() const { return !exchange_.expired() || writing_ || reader_.has_begun(); }
  /// A request that has come and was not read yet is work, too: closing over it would reset it.
  bool has_work() const { return is_busy() || stream_->has_unread(); }
  void close_if_idle() {
    if (!has_work()) {
      shut();
    }
  }
  void sweep(common::TimePoint now) {
    const HttpServerOptions& options = server_.options();
    if (!exchange_.expired()) {
      return;
    }
    if (reader_.has_begun() && now - since_ > options.request_timeout) {
      refuse(kStatusTimeout, "the request did not come whole in time");
    } else if (!is_busy() && now - since_ > options.idle_timeout) {
      shut();
    }
  }

 private:
  void on_data(std::string_view bytes) {
    if (!exchange_.expired() || writing_) {
      waiting_.append(bytes);
      if (waiting_.size() > kMaxPipelinedBytes) {
        shut();
      }
      return;
    }
    if (closing_) {
      return;  // bytes that cross the end of the connection
    }
    if (!reader_.has_begun()) {
      since_ = boot_time_now();
      reader_.set_limits(server_.options().limits);
    }
    const bool had_head = reader_.has_head();
    const std::size_t taken = reader_.feed(bytes);
    if (reader_.has_failed()) {
      refuse(status_of_failure(reader_.failure()), "the request cannot be read");
      return;
    }
    if (!reader_.is_whole()) {
      if (!had_head && reader_.has_head()) {
        answer_expectation();
      }
      return;
    }
    waiting_.append(bytes.substr(taken));
    deliver();
  }

  void answer_expectation() {
    if (equals_ignoring_case(find_header(reader_.message().headers, "Expect"), "100-continue")) {
      stream_->write(kContinue);
    }
  }

  void deliver() {
    HttpMessage request = reader_.take();
    closing_ = closing_ || !request.keep_alive;
    const auto exchange = std::make_shared<HttpExchange>(weak_from_this(), std::move(request));
    exchange_ = exchange;
    server_.handler_(exchange);
  }

  void refuse(unsigned status, std::string_view message) {
    ++server_.refused_;
    closing_ = true;
    answer(status, {{"Content-Type", "application/json"}}, error_json(message, "read request"),
           false);
  }

  void on_drained() {
    if (!writing_) {
      return;
    }
    writing_ = false;
    since_ = boot_time_now();
    if (closing_) {
      stream_->finish_writing();  // the client's close follows, or the sweep's
      return;
    }
    if (!waiting_.empty()) {
      const std::string next = std::exchange(waiting_, {});
      on_data(next);
    }
  }

  void on_end() {
    const auto keep = shared_from_this();
    if (const auto exchange = exchange_.lock()) {
      exchange_.reset();
      exchange->client_left();
    }
    server_.forget(id_);
  }

  std::string peer_host_;  ///< empty until it is asked for
  HttpServer& server_;
  std::uint64_t id_;
  std::shared_ptr<TcpStream> stream_;
  HttpReader reader_;
  std::weak_ptr<HttpExchange> exchange_;  ///< the request that waits for its answer
  std::string waiting_;                   ///< bytes of later requests
  common::TimePoint since_;               ///< last answer, or first byte of the present request
  bool writing_ = false;
  bool closing_ = false;
};

// ---------------------------------------------------------------- exchange

HttpExchange::HttpExchange(std::weak_ptr<ServerConnection> connection, HttpMessage request)
    : connection_(std::move(connection)), request_(std::move(request)) {}

HttpExchange::~HttpExchange() {
  if (!answered_) {
    respond_json(kStatusInternalError, error_json("the request was dropped", "handle request"));
  }
}

std::string HttpExchange::peer() const {
  const auto connection = connection_.lock();
  return connection == nullptr ? "" : connection->peer_host();
}

std::string HttpExchange::path() const {
  return request_.target.substr(0, request_.target.find('?'));
}

void HttpExchange::respond(unsigned status, const HeaderList& headers, std::string_view body) {
  if (answered_) {
    return;
  }
  answered_ = true;
  gone_ = nullptr;
  if (const auto connection = connection_.lock()) {
    connection->answer(status, headers, body, request_.method == "HEAD");
  }
}

void HttpExchange::respond_text(unsigned status, const char* content_type, std::string_view body) {
  respond(status, {{"Content-Type", content_type}}, body);
}

void HttpExchange::respond_json(unsigned status, std::string_view json, HeaderList headers) {
  headers.emplace_back("Content-Type", "application/json");
  respond(status, headers, json);
}

void HttpExchange::respond_error(const common::Error& error) {
  const nlohmann::json body = {{"error", error.message},
                               {"code", std::string(common::to_string(error.code))},
                               {"step", error.step},
                               {"peer", error.peer}};
  respond_json(status_of(error.code), body.dump());
}

void HttpExchange::client_left() {
  answered_ = true;
  if (const auto gone = std::exchange(gone_, nullptr)) {
    gone();
  }
}

// ---------------------------------------------------------------- server

HttpServer::HttpServer(HttpServerOptions options, Handler handler)
    : options_(options), handler_(std::move(handler)) {}

HttpServer::~HttpServer() {
  stop_listening();
  if (sweep_source_ != 0) {
    g_source_remove(sweep_source_);
  }
  const auto connections = std::exchange(connections_, {});
  for (const auto& [id, connection] : connections) {
    connection->shut();
  }
}

common::Result<std::unique_ptr<HttpServer>> HttpServer::listen(const std::string& address,
                                                               HttpServerOptions options,
                                                               Handler handler) {
  const auto endpoint = parse_endpoint(address);
  if (!endpoint.has_value()) {
    return tl::unexpected(endpoint.error());
  }
  std::unique_ptr<HttpServer> server(new HttpServer(options, std::move(handler)));
  GError* error = nullptr;
  GSocketAddress* at =
      g_inet_socket_address_new_from_string(endpoint->host.c_str(), endpoint->port);
  server->listener_ =
      g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error);
  bool listening = server->listener_ != nullptr;
  if (listening) {
    g_socket_set_blocking(server->listener_, FALSE);
    g_socket_set_listen_backlog(server->listener_, kBacklog);
    listening = g_socket_bind(server->listener_, at, TRUE, &error) != FALSE &&
                g_socket_listen(server->listener_, &error) != FALSE;
  }
  g_object_unref(at);
  if (!listening) {
    const std::string message = error->message;
    g_error_free(error);
    return common::fail(common::ErrorCode::kIo, "listen", address, message);
  }
  server->accept_source_ = g_unix_fd_add_full(G_PRIORITY_HIGH, g_socket_get_fd(server->listener_),
                                              G_IO_IN, on_incoming, server.get(), nullptr);
  server->sweep_source_ = g_timeout_add_seconds(kSweepSeconds, on_sweep, server.get());
  return server;
}

void HttpServer::set_options(HttpServerOptions options) { options_ = options; }

void HttpServer::stop_listening() {
  if (accept_source_ != 0) {
    g_source_remove(std::exchange(accept_source_, 0));
  }
  if (listener_ != nullptr) {
    // What waits to be accepted has been connected for its client, who may have sent its request.
    for (int i = 0; i < kBacklog && accept_one(); ++i) {
    }
    g_socket_close(listener_, nullptr);
    g_clear_object(&listener_);
  }
}

gboolean HttpServer::on_incoming(gint /*fd*/, GIOCondition /*condition*/, gpointer self) {
  auto* server = static_cast<HttpServer*>(self);
  for (int i = 0; i < kAcceptBatch && server->accept_one(); ++i) {
  }
  return G_SOURCE_CONTINUE;
}

bool HttpServer::accept_one() {
  GSocket* socket = g_socket_accept(listener_, nullptr, nullptr);
  if (socket == nullptr) {
    return false;  // none waits, or no descriptor is free: the sweep frees some
  }
  const std::uint64_t id = next_id_++;
  auto connection = std::make_shared<ServerConnection>(
      *this, id, TcpStream::adopt(socket, options_.unacknowledged_timeout));
  g_object_unref(socket);
  connections_[id] = connection;
  connection->start();
  return true;
}

gboolean HttpServer::on_sweep(gpointer self) {
  static_cast<HttpServer*>(self)->sweep();
  return G_SOURCE_CONTINUE;
}

void HttpServer::sweep() {
  const common::TimePoint now = boot_time_now();
  const auto connections = connections_;
  for (const auto& [id, connection] : connections) {
    connection->sweep(now);
  }
}

void HttpServer::close_idle() {
  const auto connections = connections_;
  for (const auto& [id, connection] : connections) {
    connection->close_if_idle();
  }
}

void HttpServer::forget(std::uint64_t id) { connections_.erase(id); }

std::size_t HttpServer::unfinished() const {
  std::size_t count = 0;
  for (const auto& [id, connection] : connections_) {
    count += connection->has_work() ? 1 : 0;
  }
  return count;
}

}  // namespace planktray::transport
