#pragma once
/// A TCP connection in the GLib main loop: non-blocking reads and writes, and the reason of its
/// end.

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
#include "transport/send_queue.hpp"

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

/// How to treat a peer that closes its sending side while its body is read at the pacer's rate.
enum class HangUp : std::uint8_t {
  kReadOn,  ///< keep reading: the body may be complete
  kEnds,    ///< end the stream: the peer has cancelled its request
};

class TcpStream : public std::enable_shared_from_this<TcpStream> {
 public:
  /// Callbacks may close the stream; none is called after close().
  struct Handlers {
    std::function<void()> on_connected;
    /// The bytes are valid during the call.
    std::function<void(std::string_view bytes)> on_data;
    std::function<void(StreamEnd end)> on_end;
    /// The kernel has accepted some of the bytes given to write().
    std::function<void()> on_sent;
    /// The kernel has accepted all bytes given to write().
    std::function<void()> on_drained;
  };

  /// Starts connecting. @param unacknowledged_timeout ends the connection if sent bytes stay
  /// unacknowledged for this long; 0: the kernel's default.
  /// @param pacer limits the rate of large bodies; must outlive the stream; null: no limit. Bodies
  ///   written on this stream are requests and get the rank kPromised, since their server was
  ///   chosen by the link's state at that time.
  static common::Result<std::shared_ptr<TcpStream>> connect(const std::string& address,
                                                            common::Duration unacknowledged_timeout,
                                                            LinkPacer* pacer = nullptr);
  /// Takes over an accepted socket.
  static std::shared_ptr<TcpStream> adopt(GSocket* socket, common::Duration unacknowledged_timeout,
                                          LinkPacer* pacer = nullptr);
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;
  ~TcpStream();

  /// Sets the callbacks and starts reading.
  void start(Handlers handlers);
  /// Queues bytes for sending. More than `link::kLargeBodyBytes` are sent at the pacer's rate, if
  /// there is a pacer.
  void write(std::string_view bytes);
  /// Queues the head of a message and its body, which is not copied if it is large.
  void write(std::string_view head, const SharedBytes& body);
  /// Reads nothing until resume_reading(): the kernel's buffers fill and hold the peer back.
  /// @param hang_up kEnds: if the peer closes and the buffers hold all that it sent, the stream
  /// ends
  ///   and unread bytes are dropped. kReadOn: that is noticed after resume_reading().
  void pause_reading(HangUp hang_up = HangUp::kEnds);
  void resume_reading();
  /// While held, no further bytes given to write() are handed to the kernel.
  void hold_writing(bool held);
  /// Announces that this many bytes of a body are still to be received. A large body is read at the
  /// pacer's rate, which slows the sender down. A peer that hangs up meanwhile is detected at once.
  void expect(std::size_t bytes, HangUp hang_up);
  /// Closes at once; bytes that the peer has not acknowledged may still be delivered.
  void close();
  /// Ends the connection by a reset, so that bytes still queued or in transit are not delivered.
  void abort();
  /// Sends the queued bytes, then closes the sending side; reading continues until the peer closes.
  void finish_writing();

  bool is_open() const { return socket_ != nullptr; }
  bool is_connected() const { return connected_; }
  /// True once the kernel has accepted a written byte.
  bool has_sent() const { return sent_; }
  /// True if the kernel holds received bytes that were not read yet.
  bool has_unread() const;
  /// True while nothing is read: after pause_reading(), or until the pacer grants bytes.
  bool is_read_paused() const { return paused_ || (reading_.body != 0 && reading_.granted == 0); }
  /// True while written bytes wait until the pacer grants them, or for the end of hold_writing().
  bool is_write_paused() const { return is_writing() && may_send() == 0; }
  /// True while a large body is read at the pacer's rate.
  bool is_paced() const { return reading_.body != 0; }
  /// True while written bytes wait to be accepted by the kernel.
  bool is_writing() const { return unsent() > 0; }
  /// Bytes given to write() that the kernel has not accepted.
  std::size_t unsent() const { return backlog_.size(); }

 private:
  /// A large body in one direction: its id at the pacer and the bytes granted now.
  struct Paced {
    link::BodyId body = 0;    ///< 0: none
    std::size_t granted = 0;  ///< bytes that may pass now
  };

  TcpStream(GSocket* socket, bool connected, LinkPacer* pacer)
      : socket_(socket), connected_(connected), pacer_(pacer) {}
  std::size_t may_send() const;
  /// Sends what was just appended to the backlog. @param waited other bytes or the connection are
  /// waited for.
  void send_added(std::size_t added, bool waited);
  /// @param added number of bytes that were just appended to the backlog.
  void pace_writing(std::size_t added);
  void record_sent(std::size_t bytes);
  void record_received(std::size_t bytes);
  void on_hang_up();
  void remove_from_pacer();
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
  bool peer_finished_ = false;  ///< the peer has hung up, and all that it sent has arrived
  bool paused_ = false;         ///< by pause_reading()
  bool reads_on_ = false;       ///< a hang-up is not watched for while paused
  bool held_ = false;           ///< by hold_writing()
  Handlers handlers_;
  LinkPacer* pacer_;
  link::BodyRank write_rank_ = link::BodyRank::kShared;
  Paced writing_;
  Paced reading_;
  HangUp hang_up_ = HangUp::kReadOn;
  SendQueue backlog_;  ///< bytes given to write() that the kernel has not accepted
  std::unique_ptr<DescriptorWatch> watch_;
};

}  // namespace planktray::transport
