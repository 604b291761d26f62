#include "transport/http_server.hpp"

#include <gio/gio.h>

#include <charconv>
#include <nlohmann/json.hpp>

namespace planktray::transport {
namespace {

void append_header(const char* name, const char* value, gpointer list) {
  static_cast<HeaderList*>(list)->emplace_back(name, value);
}

}  // namespace

unsigned status_of(common::ErrorCode code) {
  switch (code) {
    case common::ErrorCode::kInvalid:
      return SOUP_STATUS_BAD_REQUEST;
    case common::ErrorCode::kNotFound:
      return SOUP_STATUS_NOT_FOUND;
    case common::ErrorCode::kConflict:
      return SOUP_STATUS_CONFLICT;
    case common::ErrorCode::kTimeout:
      return SOUP_STATUS_GATEWAY_TIMEOUT;
    default:
      return SOUP_STATUS_SERVICE_UNAVAILABLE;
  }
}

common::Result<Endpoint> parse_endpoint(const std::string& address) {
  const auto colon = address.rfind(':');
  std::uint16_t port = 0;
  const char* first = address.data() + (colon == std::string::npos ? 0 : colon + 1);
  const char* last = address.data() + address.size();
  const auto [end, error] = std::from_chars(first, last, port);
  const std::string host = address.substr(0, colon == std::string::npos ? 0 : colon);
  GInetAddress* parsed = g_inet_address_new_from_string(host.c_str());
  const bool is_ip = parsed != nullptr;
  g_clear_object(&parsed);
  if (colon == std::string::npos || error != std::errc() || end != last || port == 0 || !is_ip) {
    return common::fail(common::ErrorCode::kInvalid, "parse address", address,
                        "must be IP:port, such as 127.0.0.1:7001");
  }
  return Endpoint{host, port};
}

// ---------------------------------------------------------------- exchange

HttpExchange::HttpExchange(SoupServerMessage* message, std::string path)
    : message_(message), path_(std::move(path)) {
  g_object_ref(message_);
  soup_server_message_pause(message_);
  gone_handler_ = g_signal_connect(message_, "disconnected", G_CALLBACK(on_disconnected), this);
}

HttpExchange::~HttpExchange() {
  g_signal_handler_disconnect(message_, gone_handler_);
  if (!answered_) {
    soup_server_message_set_status(message_, SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
    soup_server_message_unpause(message_);
  }
  g_object_unref(message_);
}

void HttpExchange::on_disconnected(SoupServerMessage* /*message*/, gpointer self) {
  auto* exchange = static_cast<HttpExchange*>(self);
  if (exchange->answered_) {
    return;
  }
  exchange->answered_ = true;
  if (exchange->gone_) {
    const auto gone = std::exchange(exchange->gone_, nullptr);
    gone();
  }
}

std::string_view HttpExchange::method() const { return soup_server_message_get_method(message_); }

std::string HttpExchange::target() const {
  GUri* uri = soup_server_message_get_uri(message_);
  const char* query = g_uri_get_query(uri);
  std::string target = g_uri_get_path(uri);
  return query == nullptr ? target : target + "?" + query;
}

std::string_view HttpExchange::header(const char* name) const {
  const char* value =
      soup_message_headers_get_one(soup_server_message_get_request_headers(message_), name);
  return value == nullptr ? std::string_view() : std::string_view(value);
}

HeaderList HttpExchange::headers() const {
  HeaderList list;
  soup_message_headers_foreach(soup_server_message_get_request_headers(message_), append_header,
                               &list);
  return list;
}

std::string_view HttpExchange::body() const {
  SoupMessageBody* body = soup_server_message_get_request_body(message_);
  return {body->data == nullptr ? "" : body->data, static_cast<std::size_t>(body->length)};
}

void HttpExchange::on_gone(std::function<void()> gone) { gone_ = std::move(gone); }

void HttpExchange::finish(unsigned status, const HeaderList& headers) {
  answered_ = true;
  gone_ = nullptr;
  soup_server_message_set_status(message_, status, nullptr);
  SoupMessageHeaders* out = soup_server_message_get_response_headers(message_);
  for (const auto& [name, value] : headers) {
    soup_message_headers_replace(out, name.c_str(), value.c_str());
  }
  soup_server_message_unpause(message_);
}

void HttpExchange::respond(unsigned status, const char* content_type, std::string_view body,
                           const HeaderList& headers) {
  if (answered_) {
    return;
  }
  soup_server_message_set_response(message_, content_type, SOUP_MEMORY_COPY, body.data(),
                                   body.size());
  finish(status, headers);
}

void HttpExchange::respond_bytes(unsigned status, GBytes* body, const HeaderList& headers) {
  if (answered_) {
    return;
  }
  SoupMessageBody* out = soup_server_message_get_response_body(message_);
  soup_message_body_append_bytes(out, body);
  finish(status, headers);
}

void HttpExchange::respond_json(unsigned status, const std::string& json,
                                const HeaderList& headers) {
  respond(status, "application/json", json, headers);
}

void HttpExchange::respond_error(const common::Error& error) {
  const nlohmann::json body = {{"error", error.message},
                               {"code", std::string(common::to_string(error.code))},
                               {"step", error.step},
                               {"peer", error.peer}};
  respond_json(status_of(error.code), body.dump());
}

// ---------------------------------------------------------------- server

HttpServer::HttpServer(std::size_t maximum_body, Handler handler)
    : server_(soup_server_new("server-header", "planktray", nullptr)),
      maximum_body_(maximum_body),
      handler_(std::move(handler)) {
  soup_server_add_early_handler(server_, nullptr, on_early, this, nullptr);
  soup_server_add_handler(server_, nullptr, on_request, this, nullptr);
}

HttpServer::~HttpServer() {
  soup_server_disconnect(server_);
  g_object_unref(server_);
}

common::Result<std::unique_ptr<HttpServer>> HttpServer::listen(const std::string& address,
                                                               std::size_t maximum_body,
                                                               Handler handler) {
  const auto endpoint = parse_endpoint(address);
  if (!endpoint.has_value()) {
    return tl::unexpected(endpoint.error());
  }
  std::unique_ptr<HttpServer> server(new HttpServer(maximum_body, std::move(handler)));
  GSocketAddress* socket_address =
      g_inet_socket_address_new_from_string(endpoint->host.c_str(), endpoint->port);
  GError* error = nullptr;
  const gboolean listening = soup_server_listen(server->server_, socket_address,
                                                static_cast<SoupServerListenOptions>(0), &error);
  g_object_unref(socket_address);
  if (listening == FALSE) {
    const std::string message = error->message;
    g_error_free(error);
    return common::fail(common::ErrorCode::kIo, "listen", address, message);
  }
  return server;
}

void HttpServer::stop_listening() {
  GSList* listeners = soup_server_get_listeners(server_);
  for (GSList* item = listeners; item != nullptr; item = item->next) {
    g_socket_close(static_cast<GSocket*>(item->data), nullptr);
  }
  g_slist_free(listeners);
}

void HttpServer::on_early(SoupServer* /*server*/, SoupServerMessage* message, const char* /*path*/,
                          GHashTable* /*query*/, gpointer self) {
  auto* server = static_cast<HttpServer*>(self);
  SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
  const bool too_long = soup_message_headers_get_content_length(headers) >
                        static_cast<goffset>(server->maximum_body_);
  const bool unstated = soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CHUNKED;
  if (!too_long && !unstated) {
    return;
  }
  ++server->refused_;
  const nlohmann::json body = {
      {"error", too_long ? "the body is too long" : "the body's length must be stated"},
      {"step", "read request"},
      {"peer", ""}};
  const std::string text = body.dump();
  soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, text.data(),
                                   text.size());
  soup_server_message_set_status(
      message, too_long ? SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE : SOUP_STATUS_LENGTH_REQUIRED,
      nullptr);
  soup_message_headers_replace(soup_server_message_get_response_headers(message), "Connection",
                               "close");
}

void HttpServer::on_request(SoupServer* /*server*/, SoupServerMessage* message, const char* path,
                            GHashTable* /*query*/, gpointer self) {
  auto* server = static_cast<HttpServer*>(self);
  // Lives until the last byte of the answer is written, or the connection is gone.
  ++*server->unfinished_;
  g_signal_connect_data(message, "finished", G_CALLBACK(on_finished),
                        new std::shared_ptr<std::size_t>(server->unfinished_), drop_counter,
                        static_cast<GConnectFlags>(0));
  server->handler_(std::make_shared<HttpExchange>(message, path));
}

void HttpServer::on_finished(SoupServerMessage* message, gpointer counter) {
  auto* unfinished = static_cast<std::shared_ptr<std::size_t>*>(counter);
  --**unfinished;
  g_signal_handlers_disconnect_by_func(message, reinterpret_cast<gpointer>(on_finished), counter);
}

void HttpServer::drop_counter(gpointer counter, GClosure* /*closure*/) {
  delete static_cast<std::shared_ptr<std::size_t>*>(counter);
}

}  // namespace planktray::transport
