#pragma once
/// Raw clients, and servers whose requests the test answers itself.

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "transport/event_loop.hpp"
#include "transport/http_server.hpp"

namespace planktray::transport {

using std::chrono::milliseconds;

inline constexpr const char* kAddress = "127.0.0.1:19873";
/// More than the socket buffers of both sides hold.
inline constexpr std::size_t kLongAnswer = 32 * 1024 * 1024;

/// A client that writes raw bytes and collects the received bytes.
class RawClient {
 public:
  explicit RawClient(const std::string& bytes) {
    auto connected = TcpStream::connect(kAddress, std::chrono::seconds(0));
    REQUIRE(connected.has_value());
    stream_ = *connected;
    TcpStream::Handlers handlers;
    handlers.on_data = [this](std::string_view data) { received_.append(data); };
    handlers.on_end = [this](StreamEnd /*end*/) { ended_ = true; };
    stream_->start(std::move(handlers));
    stream_->write(bytes);
  }
  void write(const std::string& bytes) { stream_->write(bytes); }
  void close() { stream_->close(); }
  const std::string& received() const { return received_; }
  bool ended() const { return ended_; }

 private:
  std::shared_ptr<TcpStream> stream_;
  std::string received_;
  bool ended_ = false;
};

/// A server that keeps its exchanges until the test responds to them.
struct HeldServer {
  explicit HeldServer(HttpServerOptions options = options_with_body_limit(1024)) {
    auto listening = HttpServer::listen(kAddress, options, [this](ExchangePointer exchange) {
      exchange->on_gone([this] { ++gone; });
      exchanges.push_back(std::move(exchange));
    });
    REQUIRE(listening.has_value());
    server = std::move(*listening);
  }
  /// Destroys the server first: exchanges dropped before would be answered and the next requests
  /// started.
  ~HeldServer() { server.reset(); }
  HeldServer(const HeldServer&) = delete;
  HeldServer& operator=(const HeldServer&) = delete;

  std::vector<ExchangePointer> exchanges;
  int gone = 0;
  std::unique_ptr<HttpServer> server;
};

inline void run_for(milliseconds time) {
  EventLoop loop;
  loop.after(time, [&loop] { loop.quit(); });
  loop.run();
}

inline constexpr milliseconds kShortly(30);

}  // namespace planktray::transport
