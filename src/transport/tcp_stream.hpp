#pragma once
/// A TCP connection in the GLib main loop: non-blocking reads and writes, and how it ended.

#include <gio/gio.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "common/error.hpp"
#include "common/time.hpp"
#include "transport/descriptor_watch.hpp"

namespace planktray::transport {

/// Splits "IP:port". @return kInvalid for anything else.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
};
common::Result<Endpoint> parse_endpoint(const std::string& address);

enum class StreamEnd : std::uint8_t {
  kClosed,  ///< the peer closed its sending side in an orderly way
  kReset,   ///< reset, timed out, or another failure
};

class TcpStream : public std::enable_shared_from_this<TcpStream> {
 public:
  /// Callbacks may close the stream; none comes after close().
  struct Handlers {
    std::function<void()> on_connected;
    /// The bytes are valid during the call.
    std::function<void(std::string_view bytes)> on_data;
    std::function<void(StreamEnd end)> on_end;
    /// Everything that was given to write() has been taken by the system.
    std::function<void()> on_drained;
  };

  /// Starts connecting. @param unacknowledged_timeout ends the connection when sent bytes stay
  ///   without an acknowledgement for this long; 0 leaves the system's own time.
  static common::Result<std::shared_ptr<TcpStream>> connect(
      const std::string& address, common::Duration unacknowledged_timeout);
  /// Takes over an accepted socket.
  static std::shared_ptr<TcpStream> adopt(GSocket* socket, common::Duration unacknowledged_timeout);
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;
  ~TcpStream();

  /// Sets the callbacks and begins to read.
  void start(Handlers handlers);
  void write(std::string_view bytes);
  /// Closes at once; bytes that the peer has not acknowledged may still reach it.
  void close();
  /// Ends the connection by a reset: bytes that are still under way reach nobody.
  void abort();
  /// Sends what is left, then ends the sending side; reading goes on until the peer closes.
  void finish_writing();

  /// @return the IP address of the other side, without its port; "" where it is not known.
  std::string peer_host() const;

  bool is_open() const { return socket_ != nullptr; }
  bool is_connected() const { return connected_; }
  /// True once the system has taken a byte of what was written.
  bool has_sent() const { return sent_; }
  /// True where bytes have come that were not handed out yet.
  bool has_unread() const;
  /// True while written bytes wait for the system to take them.
  bool is_writing() const { return !backlog_.empty(); }

 private:
  TcpStream(GSocket* socket, bool connected) : socket_(socket), connected_(connected) {}
  void watch();
  void on_ready(DescriptorWatch::Readiness readiness);
  void on_writable();
  void set_options(common::Duration unacknowledged_timeout);
  void receive();
  void send_backlog();
  void end(StreamEnd how);

  GSocket* socket_;
  bool connected_;
  bool sent_ = false;
  bool finishing_ = false;
  Handlers handlers_;
  std::string backlog_;
  std::unique_ptr<DescriptorWatch> watch_;
};

}  // namespace planktray::transport
