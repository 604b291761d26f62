#pragma once
/// HTTP server by libsoup. Handlers may answer later.

#include <libsoup/soup.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/error.hpp"

namespace planktray::transport {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// One request that waits for its answer. Answering twice, or after the client has gone, does
/// nothing.
class HttpExchange {
 public:
  HttpExchange(SoupServerMessage* message, std::string path);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  ~HttpExchange();

  std::string_view method() const;
  const std::string& path() const { return path_; }
  /// Path with the query, as it was asked.
  std::string target() const;
  /// @return the header's value, or "".
  std::string_view header(const char* name) const;
  std::string_view body() const;
  /// All headers of the request.
  HeaderList headers() const;

  void respond(unsigned status, const char* content_type, std::string_view body,
               const HeaderList& headers = {});
  /// Answers with bytes that are shared, not copied.
  void respond_bytes(unsigned status, GBytes* body, const HeaderList& headers);
  void respond_json(unsigned status, const std::string& json, const HeaderList& headers = {});
  /// Answers {"error", "step", "peer"} with the status that fits the error's code.
  void respond_error(const common::Error& error);
  /// Calls `gone` when the client closes before it was answered.
  void on_gone(std::function<void()> gone);

 private:
  static void on_disconnected(SoupServerMessage* message, gpointer self);
  void finish(unsigned status, const HeaderList& headers);

  SoupServerMessage* message_;
  std::string path_;
  std::function<void()> gone_;
  gulong gone_handler_ = 0;
  bool answered_ = false;
};

using ExchangePointer = std::shared_ptr<HttpExchange>;

class HttpServer {
 public:
  using Handler = std::function<void(ExchangePointer exchange)>;

  /// Listens at "IP:port". Bodies above `maximum_body` are refused with 413, bodies of unstated
  /// length with 411. @return kIo or kInvalid.
  static common::Result<std::unique_ptr<HttpServer>> listen(const std::string& address,
                                                            std::size_t maximum_body,
                                                            Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// Accepts no further connections.
  void stop_listening();
  std::uint64_t refused() const { return refused_; }
  /// Requests whose answer is not written to its last byte; a process that ends before it is 0 cuts
  /// them.
  std::size_t unfinished() const { return *unfinished_; }

 private:
  HttpServer(std::size_t maximum_body, Handler handler);
  static void on_early(SoupServer* server, SoupServerMessage* message, const char* path,
                       GHashTable* query, gpointer self);
  static void on_finished(SoupServerMessage* message, gpointer counter);
  static void drop_counter(gpointer counter, GClosure* closure);
  static void on_request(SoupServer* server, SoupServerMessage* message, const char* path,
                         GHashTable* query, gpointer self);

  SoupServer* server_;
  std::size_t maximum_body_;
  Handler handler_;
  std::uint64_t refused_ = 0;
  std::shared_ptr<std::size_t> unfinished_ = std::make_shared<std::size_t>(0);
};

/// Splits "IP:port". @return kInvalid for anything else.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
};
common::Result<Endpoint> parse_endpoint(const std::string& address);

/// HTTP status of an error code.
unsigned status_of(common::ErrorCode code);

}  // namespace planktray::transport
