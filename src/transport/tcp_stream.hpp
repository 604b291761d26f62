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
#include "transport/link_pacer.hpp"

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

/// What it means that a peer hangs up while a body of its is held back.
enum class HangUp : std::uint8_t {
  kReadOn,  ///< it has sent all that it had to: the body may be whole
  kEnds,    ///< it no longer wants what it asked for
};

class TcpStream : public std::enable_shared_from_this<TcpStream> {
 public:
  /// Callbacks may close the stream; none comes after close().
  struct Handlers {
    std::function<void()> on_connected;
    /// The bytes are valid during the call.
    std::function<void(std::string_view bytes)> on_data;
    std::function<void(StreamEnd end)> on_end;
    /// The system has taken some of what was given to write().
    std::function<void()> on_sent;
    /// Everything that was given to write() has been taken by the system.
    std::function<void()> on_drained;
  };

  /// Starts connecting. @param unacknowledged_timeout ends the connection when sent bytes stay
  ///   without an acknowledgement for this long; 0 leaves the system's own time.
  /// @param pacer gives leave to write and read large bodies; outlives the stream; none: no pace.
  ///   Those that are written are requests, which it takes for promised: their server was chosen by
  ///   what was known then.
  static common::Result<std::shared_ptr<TcpStream>> connect(const std::string& address,
                                                            common::Duration unacknowledged_timeout,
                                                            LinkPacer* pacer = nullptr);
  /// Takes over an accepted socket.
  static std::shared_ptr<TcpStream> adopt(GSocket* socket, common::Duration unacknowledged_timeout,
                                          LinkPacer* pacer = nullptr);
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;
  ~TcpStream();

  /// Sets the callbacks and begins to read.
  void start(Handlers handlers);
  /// Many bytes (`link::kLargeBodyBytes`) leave at the pacer's pace, where there is one.
  void write(std::string_view bytes);
  /// Reads nothing until resume_reading(): the peer is held by the system's buffers. Its end is
  /// noticed where those buffers hold all that it sent, and ends the stream; bytes that were not
  /// read are dropped then.
  void pause_reading();
  void resume_reading();
  /// While held, nothing more of what was given to write() is handed to the system.
  void hold_writing(bool held);
  /// So many bytes of a body are still to come: many are read at the pacer's pace, which holds the
  /// sender back. A peer that hangs up meanwhile is noticed at once.
  void expect(std::size_t bytes, HangUp hang_up);
  /// Closes at once; bytes that the peer has not acknowledged may still reach it.
  void close();
  /// Ends the connection by a reset: bytes that are still under way reach nobody.
  void abort();
  /// Sends what is left, then ends the sending side; reading goes on until the peer closes.
  void finish_writing();

  bool is_open() const { return socket_ != nullptr; }
  bool is_connected() const { return connected_; }
  /// True once the system has taken a byte of what was written.
  bool has_sent() const { return sent_; }
  /// True where bytes have come that were not handed out yet.
  bool has_unread() const;
  /// True while nothing is read: by pause_reading(), or until the pacer gives leave.
  bool is_read_paused() const { return paused_ || (reading_.body != 0 && reading_.leave == 0); }
  /// True while a large body is read at the pacer's pace.
  bool is_paced() const { return reading_.body != 0; }
  /// True while written bytes wait for the system to take them.
  bool is_writing() const { return unsent() > 0; }

 private:
  /// A large body in one direction: the pacer's name for it, and what may pass of it now.
  struct Paced {
    link::BodyId body = 0;  ///< 0: none
    std::size_t leave = 0;  ///< bytes
  };

  TcpStream(GSocket* socket, bool connected, LinkPacer* pacer)
      : socket_(socket), connected_(connected), pacer_(pacer) {}
  std::size_t unsent() const { return backlog_.size() - backlog_sent_; }
  std::size_t may_send() const;
  /// @param added bytes that were just put behind the others.
  void pace_writing(std::size_t added);
  void note_sent(std::size_t bytes);
  void note_received(std::size_t bytes);
  void on_hang_up();
  void leave_pacer();
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
  bool peer_finished_ = false;  ///< it has hung up, and all that it sent is here
  bool paused_ = false;         ///< by pause_reading()
  bool held_ = false;           ///< by hold_writing()
  Handlers handlers_;
  LinkPacer* pacer_;
  link::BodyRank write_rank_ = link::BodyRank::kShared;
  Paced writing_;
  Paced reading_;
  HangUp hang_up_ = HangUp::kReadOn;
  std::string backlog_;           ///< what was written
  std::size_t backlog_sent_ = 0;  ///< bytes of it that the system has taken
  std::unique_ptr<DescriptorWatch> watch_;
};

}  // namespace planktray::transport
