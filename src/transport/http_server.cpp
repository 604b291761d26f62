#include "transport/http_server.hpp"

#include <glib-unix.h>
#include <poll.h>

#include <deque>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "common/json_text.hpp"
#include "transport/containment.hpp"
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
/// Connections accepted before other sources of the main loop are served.
constexpr int kAcceptBatch = 16;
/// Interval of the check for idle and slow connections.
constexpr guint kSweepSeconds = 1;
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

/// True if the client has closed the connection.
bool is_closed_by_client(GSocket* socket) {
  pollfd descriptor{g_socket_get_fd(socket), POLLRDHUP, 0};
  return poll(&descriptor, 1, 0) > 0;
}

std::string error_json(std::string_view message, std::string_view step) {
  return common::json_text({{"error", message}, {"step", step}, {"peer", ""}});
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

/// One client's connection: reads requests, passes them to the handler (concurrently if the
/// classifier allows it) and writes their responses in order.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(HttpServer& server, std::uint64_t id, std::shared_ptr<TcpStream> stream)
      : server_(server),
        id_(id),
        stream_(std::move(stream)),
        reader_(HttpRole::kRequest, server.options().limits),
        last_activity_(boot_time_now()) {}

  void start() {
    TcpStream::Handlers handlers;
    handlers.on_data = [this](std::string_view bytes) { on_data(bytes); };
    handlers.on_end = [this](StreamEnd /*end*/) { on_end(); };
    handlers.on_drained = [this] { on_drained(); };
    stream_->start(std::move(handlers));
  }

  void answer(std::uint64_t number, unsigned status, const HeaderList& headers,
              std::string_view body, bool is_head) {
    if (pipeline_.empty() || number < pipeline_.front().number) {
      return;
    }
    const std::size_t place = number - pipeline_.front().number;
    if (place == 0) {
      write_front(status, headers, body, is_head);
    } else if (place < pipeline_.size()) {
      hold_answer(pipeline_[place], {status, headers, std::string(body), is_head});
    }
    advance();
  }

  /// Closes the connection from the server's side; the handlers of pending requests are notified
  /// that the client has disconnected.
  void shut_down() {
    const auto keep = shared_from_this();
    stream_->close();
    on_end();
  }

  /// Returns the number of requests whose response is not completely written. A request that has
  /// arrived and is not read yet counts too: closing the connection would reset it.
  std::size_t unfinished() const {
    const bool has_more = reader_.has_begun() || !waiting_.empty() || stream_->has_unread();
    return pipeline_.size() + (writing_ ? 1 : 0) + (has_more ? 1 : 0);
  }
  void close_if_idle() {
    if (unfinished() == 0) {
      shut_down();
    }
  }
  void sweep(common::TimePoint now) {
    const HttpServerOptions& options = server_.options();
    const bool is_held = stream_->is_read_paused() || continue_pending_;
    if (is_held || (!has_last_request_ && !may_read())) {
      return;  // the missing bytes may have arrived or are delayed by the server itself
    }
    if (reader_.has_begun() && now - last_activity_ > options.request_timeout) {
      const auto keep = shared_from_this();
      refuse(kStatusTimeout, "the request did not come whole in time");
      advance();
    } else if (!reader_.has_begun() && pipeline_.empty() && !writing_ &&
               now - last_activity_ > options.idle_timeout) {
      shut_down();
    }
  }

 private:
  /// A response that waits for those before it.
  struct HeldAnswer {
    unsigned status = 0;
    HeaderList headers;
    std::string body;
    bool is_head = false;
  };
  /// A complete request whose response has not been written.
  struct PipelinedRequest {
    std::uint64_t number = 0;
    common::TimePoint first_byte{};
    bool runs_beside_others = false;
    bool closes = false;  ///< its response is the last of the connection
    std::optional<HttpMessage> unstarted{};
    std::weak_ptr<HttpExchange> exchange{};
    std::optional<HeldAnswer> answer{};
  };

  void on_data(std::string_view bytes) {
    const auto keep = shared_from_this();
    if (has_last_request_) {
      return;  // bytes after the connection's last request are discarded
    }
    const std::size_t taken = waiting_.empty() && may_read() ? read(bytes, boot_time_now()) : 0;
    if (waiting_.empty()) {
      waiting_since_ = boot_time_now();
    }
    waiting_.append(bytes.substr(taken));
    advance();
  }

  /// Writes responses, starts requests and reads until nothing more can be done. Handlers that
  /// respond synchronously call this function recursively.
  void advance() {
    if (advancing_) {
      return;
    }
    const auto keep = shared_from_this();
    advancing_ = true;
    while (stream_->is_open() && (write_held() || start_next() || read_waiting())) {
    }
    advancing_ = false;
    hold_or_read();
  }

  /// Returns whether the next request may be read: not while an earlier request must run alone, and
  /// not above the limits.
  bool may_read() const {
    if (has_last_request_ || writing_ || held_bytes_ > server_.options().held_answer_bytes) {
      return false;
    }
    if (pipeline_.empty()) {
      return true;
    }
    return !server_.closing_ && pipeline_.back().runs_beside_others &&
           !pipeline_.back().unstarted.has_value() &&
           pipeline_.size() < server_.options().max_concurrent_requests;
  }

  void hold_or_read() {
    if (!stream_->is_open()) {
      return;
    }
    // Pauses only if bytes are waiting: most clients send nothing while a request is in flight.
    const bool pause = !waiting_.empty() && !has_last_request_ && !may_read();
    if (pause == is_paused_) {
      return;
    }
    is_paused_ = pause;
    if (pause) {
      stream_->pause_reading();
    } else {
      stream_->resume_reading();
    }
  }

  // -------------------------------------------------------------- requests

  /// @return false if nothing could be read.
  bool read_waiting() {
    if (waiting_.empty() || !may_read()) {
      return false;
    }
    const std::string bytes = std::exchange(waiting_, {});
    const std::size_t taken = read(bytes, waiting_since_);
    if (!has_last_request_) {
      waiting_.append(bytes, taken, std::string::npos);
    }
    return taken > 0;
  }

  /// Reads up to the end of the current request. @param arrived when the bytes arrived.
  /// @return the number of bytes consumed.
  std::size_t read(std::string_view bytes, common::TimePoint arrived) {
    if (!reader_.has_begun()) {
      last_activity_ = boot_time_now();
      first_byte_ = arrived;
      reader_.set_limits(server_.options().limits);
    }
    if (stream_->is_paced()) {
      // The server limits the rate; the client only has to keep sending.
      last_activity_ = boot_time_now();
    }
    const bool had_head = reader_.has_head();
    const std::size_t taken = reader_.feed(bytes);
    if (reader_.has_failed()) {
      refuse(status_of_failure(reader_.failure()), "the request cannot be read");
    } else if (reader_.is_whole()) {
      append_request(reader_.take());
    } else {
      stream_->expect(reader_.body_left(), HangUp::kEnds);
      if (!had_head && reader_.has_head()) {
        continue_pending_ =
            equals_ignoring_case(find_header(reader_.message().headers, "Expect"), "100-continue");
        send_continue();
      }
    }
    return taken;
  }

  /// Sends "100 Continue" in order with the responses.
  void send_continue() {
    if (continue_pending_ && pipeline_.empty() && !writing_) {
      continue_pending_ = false;
      last_activity_ = boot_time_now();  // the client waited with its body until now
      stream_->write(kContinue);
    }
  }

  void append_request(HttpMessage request) {
    continue_pending_ = false;
    PipelinedRequest next;
    next.number = next_number_++;
    next.first_byte = first_byte_;
    next.closes = !request.keep_alive;
    next.runs_beside_others = server_.runs_beside_others_ && server_.runs_beside_others_(request);
    next.unstarted = std::move(request);
    has_last_request_ = next.closes;
    pipeline_.push_back(std::move(next));
  }

  /// Passes the last request, the only one that can be unstarted, to the handler. @return false if
  /// it has to wait.
  bool start_next() {
    if (pipeline_.empty() || !pipeline_.back().unstarted.has_value()) {
      return false;
    }
    PipelinedRequest& next = pipeline_.back();
    const bool is_first = pipeline_.size() == 1;
    if (!is_first && (!next.runs_beside_others || server_.closing_)) {
      return false;
    }
    const auto exchange = std::make_shared<HttpExchange>(
        weak_from_this(), next.number, std::move(*next.unstarted), next.first_byte);
    next.unstarted.reset();
    next.exchange = exchange;
    handle(exchange);
    return true;
  }

  /// Ends the connection if the handler throws.
  void handle(const ExchangePointer& exchange) {
    if (!run_contained("handle request", exchange->path(), [&] { server_.handler_(exchange); })) {
      ++server_.failed_handlers_;
      shut_down();
    }
  }

  /// Queues an error response to a request that is not passed to a handler; the connection ends
  /// after it.
  void refuse(unsigned status, std::string_view message) {
    ++server_.refused_;
    PipelinedRequest refused;
    refused.number = next_number_++;
    refused.closes = true;
    has_last_request_ = true;
    reader_.discard();
    pipeline_.push_back(std::move(refused));
    hold_answer(pipeline_.back(), {status,
                                   {{"Content-Type", "application/json"}},
                                   error_json(message, "read request"),
                                   false});
  }

  // -------------------------------------------------------------- answers

  void hold_answer(PipelinedRequest& request, HeldAnswer answer) {
    request.exchange.reset();
    held_bytes_ += answer.body.size();
    request.answer = std::move(answer);
  }

  /// @return false if the first request has no response yet.
  bool write_held() {
    if (pipeline_.empty() || !pipeline_.front().answer.has_value()) {
      return false;
    }
    const HeldAnswer held = std::move(*pipeline_.front().answer);
    held_bytes_ -= held.body.size();
    write_front(held.status, held.headers, held.body, held.is_head);
    return true;
  }

  /// Writes the response to the first request.
  void write_front(unsigned status, const HeaderList& headers, std::string_view body,
                   bool is_head) {
    const bool is_last = pipeline_.size() == 1 || pipeline_[1].unstarted.has_value();
    const bool close = pipeline_.front().closes || (server_.closing_ && is_last);
    pipeline_.pop_front();
    HeaderList all = headers;
    if (close) {
      all.emplace_back("Connection", "close");
      discard_remaining();
    }
    writing_ = true;
    stream_->write(serialize_response(status, all, body, is_head));
  }

  /// Discards requests after the connection's last response; none of them was started.
  void discard_remaining() {
    has_last_request_ = true;
    is_ending_ = true;
    pipeline_.clear();
    waiting_.clear();
    if (reader_.has_begun()) {
      reader_.discard();
    }
  }

  void on_drained() {
    if (!writing_) {
      return;
    }
    const auto keep = shared_from_this();
    writing_ = false;
    last_activity_ = boot_time_now();
    if (is_ending_) {
      stream_->finish_writing();  // then the client or the sweep closes the connection
      return;
    }
    send_continue();
    advance();
  }

  void on_end() {
    const auto keep = shared_from_this();
    const auto pending = std::exchange(pipeline_, {});
    for (const PipelinedRequest& request : pending) {
      if (const auto exchange = request.exchange.lock()) {
        exchange->on_client_closed();
      }
    }
    server_.remove_connection(id_);
  }

  HttpServer& server_;
  std::uint64_t id_;
  std::shared_ptr<TcpStream> stream_;
  HttpReader reader_;
  std::deque<PipelinedRequest> pipeline_;  ///< in the order of arrival
  std::uint64_t next_number_ = 1;
  std::string waiting_;              ///< bytes of later requests; at most one read of the socket
  std::size_t held_bytes_ = 0;       ///< body bytes of responses that wait for those before them
  common::TimePoint last_activity_;  ///< last response, or first byte of the current request
  common::TimePoint first_byte_;  ///< arrival of the first byte of the request that is being read
  common::TimePoint waiting_since_;  ///< when the first of the waiting bytes arrived
  bool advancing_ = false;
  bool writing_ = false;
  bool is_paused_ = false;
  bool continue_pending_ = false;
  bool has_last_request_ = false;  ///< bytes that arrive from now on are not read
  bool is_ending_ = false;         ///< the last response has been passed to the stream
};

// ---------------------------------------------------------------- exchange

HttpExchange::HttpExchange(std::weak_ptr<ServerConnection> connection, std::uint64_t number,
                           HttpMessage request, common::TimePoint first_byte)
    : connection_(std::move(connection)),
      number_(number),
      request_(std::move(request)),
      first_byte_(first_byte) {}

HttpExchange::~HttpExchange() {
  if (!answered_) {
    respond_json(kStatusInternalError, error_json("the request was dropped", "handle request"));
  }
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
    connection->answer(number_, status, headers, body, request_.method == "HEAD");
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
    // The clients of connections in the listen queue are already connected and may have sent
    // requests.
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
    return false;  // none is waiting, or no descriptor is free: the sweep frees some
  }
  if (is_closed_by_client(socket)) {
    ++gone_unread_;
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

void HttpServer::remove_connection(std::uint64_t id) { connections_.erase(id); }

std::size_t HttpServer::unfinished() const {
  std::size_t count = 0;
  for (const auto& [id, connection] : connections_) {
    count += connection->unfinished();
  }
  return count;
}

}  // namespace planktray::transport
