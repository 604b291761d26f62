#include "transport/http_server.hpp"

#include <glib-unix.h>
#include <poll.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "common/json_text.hpp"
#include "transport/server_connection.hpp"

namespace planktray::transport {
namespace {

constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusConflict = 409;
constexpr unsigned kStatusInternalError = 500;
constexpr unsigned kStatusUnavailable = 503;
constexpr unsigned kStatusGatewayTimeout = 504;
constexpr int kBacklog = 512;
/// Connections accepted before other sources of the main loop are served.
constexpr int kAcceptBatch = 16;
/// Interval of the check for idle and slow connections.
constexpr guint kSweepSeconds = 1;

/// True if the client has closed the connection.
bool is_closed_by_client(GSocket* socket) {
  pollfd descriptor{g_socket_get_fd(socket), POLLRDHUP, 0};
  return poll(&descriptor, 1, 0) > 0;
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

// ---------------------------------------------------------------- exchange

HttpExchange::HttpExchange(std::weak_ptr<ServerConnection> connection, std::uint64_t number,
                           HttpMessage request, common::TimePoint first_byte)
    : connection_(std::move(connection)),
      number_(number),
      request_(std::move(request)),
      body_(std::exchange(request_.body, {})),
      first_byte_(first_byte) {}

HttpExchange::~HttpExchange() {
  if (!answered_) {
    respond_json(kStatusInternalError, error_json("the request was dropped", "handle request"));
  }
}

std::string HttpExchange::path() const {
  return request_.target.substr(0, request_.target.find('?'));
}

void HttpExchange::respond(unsigned status, const HeaderList& headers, const SharedBytes& body) {
  if (answered_) {
    return;
  }
  answered_ = true;
  gone_ = nullptr;
  if (const auto connection = connection_.lock()) {
    connection->answer(number_, status, headers, body, request_.method == "HEAD");
  }
}

void HttpExchange::respond_text(unsigned status, const char* content_type,
                                const SharedBytes& body) {
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
  respond_json(status_of(error.code), common::json_text(body));
}

void HttpExchange::on_client_closed() {
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
    connection->shut_down();
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
  server->start_accepting();
  server->sweep_source_ = g_timeout_add_seconds(kSweepSeconds, on_sweep, server.get());
  return server;
}

void HttpServer::set_options(HttpServerOptions options) { options_ = options; }

void HttpServer::stop_listening() {
  if (accept_source_ != 0) {
    g_source_remove(std::exchange(accept_source_, 0));
  }
  if (listener_ != nullptr) {
    // The clients of connections in the listen queue are already connected and may have sent
    // requests.
    for (int i = 0; i < kBacklog && accept_one(); ++i) {
    }
    g_socket_close(listener_, nullptr);
    g_clear_object(&listener_);
  }
}

void HttpServer::start_accepting() {
  if (accept_source_ == 0 && listener_ != nullptr) {
    accept_source_ = g_unix_fd_add_full(G_PRIORITY_HIGH, g_socket_get_fd(listener_), G_IO_IN,
                                        on_incoming, this, nullptr);
  }
}

void HttpServer::pause_accepting() {
  if (accept_source_ != 0) {
    g_source_remove(std::exchange(accept_source_, 0));
  }
}

gboolean HttpServer::on_incoming(gint /*fd*/, GIOCondition /*condition*/, gpointer self) {
  auto* server = static_cast<HttpServer*>(self);
  for (int i = 0; i < kAcceptBatch && server->accept_one(); ++i) {
  }
  return G_SOURCE_CONTINUE;
}

bool HttpServer::accept_one() {
  GError* error = nullptr;
  GSocket* socket = g_socket_accept(listener_, nullptr, &error);
  if (socket == nullptr) {
    const bool is_full =
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_TOO_MANY_OPEN_FILES) != FALSE;
    g_error_free(error);
    if (is_full && !evict_one()) {
      // The main loop would try again at once, and do nothing else.
      pause_accepting();
    }
    return false;
  }
  if (is_closed_by_client(socket)) {
    ++gone_unread_;
    g_object_unref(socket);
    return true;
  }
  const bool is_full =
      options_.max_connections > 0 && connections_.size() >= options_.max_connections;
  if (is_full && !evict_one()) {
    ++turned_away_;
    g_object_unref(socket);
    return true;
  }
  const std::uint64_t id = next_id_++;
  auto connection = std::make_shared<ServerConnection>(
      *this, id, TcpStream::adopt(socket, options_.unacknowledged_timeout, options_.pacer));
  g_object_unref(socket);
  connections_[id] = connection;
  connection->start();
  return true;
}

gboolean HttpServer::on_sweep(gpointer self) {
  static_cast<HttpServer*>(self)->sweep();
  return G_SOURCE_CONTINUE;
}

bool HttpServer::evict_one() {
  for (ServerConnection* connection : by_activity_) {
    if (connection->may_be_evicted()) {
      ++evicted_;
      connection->shut_down();
      return true;
    }
  }
  return false;
}

void HttpServer::touch(std::list<ServerConnection*>::iterator place) {
  by_activity_.splice(by_activity_.end(), by_activity_, place);
}

void HttpServer::sweep() {
  start_accepting();
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

void HttpServer::remove_connection(std::uint64_t id) { connections_.erase(id); }

std::size_t HttpServer::unfinished() const {
  std::size_t count = 0;
  for (const auto& [id, connection] : connections_) {
    count += connection->unfinished();
  }
  return count;
}

}  // namespace planktray::transport
