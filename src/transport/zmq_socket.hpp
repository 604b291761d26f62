#pragma once
/// ZeroMQ sockets in the GLib main loop. Malformed messages and messages of other protocol versions
/// are counted and dropped.

#include <glib.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>
#include <zmq.hpp>

#include "common/error.hpp"
#include "transport/wire.hpp"

namespace planktray::transport {

struct SocketCounters {
  std::uint64_t sent = 0;
  std::uint64_t send_dropped = 0;  ///< the peer's queue was full
  std::uint64_t received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t refused = 0;  ///< malformed, or of another protocol version
  std::uint64_t overdue = 0;  ///< received, but dropped as too many others waited

  SocketCounters& operator+=(const SocketCounters& other);
};

/// Encodes and decodes the frames of one message.
std::string encode_wire(const WireMessage& message);
common::Result<WireMessage> decode_wire(std::string_view version, std::string_view body,
                                        std::string_view peer);

/// A ROUTER socket that addresses peers by their identity, or a DEALER connected to one.
class ZmqSocket {
 public:
  /// @param identity identity of the sender; empty for a message received by a DEALER.
  using Handler = std::function<void(const std::string& identity, const WireMessage& message)>;
  /// Returns true if a message with this body is handled before all others that have arrived.
  using UrgentMessage = std::function<bool(std::string_view body)>;

  /// Binds a ROUTER socket at "IP:port". @return kIo if the address cannot be bound.
  static common::Result<std::unique_ptr<ZmqSocket>> bind(zmq::context_t& context,
                                                         const std::string& address,
                                                         Handler handler,
                                                         UrgentMessage is_urgent = nullptr);
  /// Connects a DEALER socket; reconnects automatically.
  static common::Result<std::unique_ptr<ZmqSocket>> connect(zmq::context_t& context,
                                                            const std::string& address,
                                                            const std::string& identity,
                                                            Handler handler);
  ZmqSocket(const ZmqSocket&) = delete;
  ZmqSocket& operator=(const ZmqSocket&) = delete;
  ~ZmqSocket();

  /// Sends without blocking; a message that cannot be queued is dropped and counted.
  void send(const std::string& identity, const WireMessage& message);
  void send(const WireMessage& message) { send("", message); }
  const SocketCounters& counters() const { return counters_; }

 private:
  ZmqSocket(zmq::context_t& context, zmq::socket_type type, std::string peer, Handler handler);
  static gboolean on_readable(gint fd, GIOCondition condition, gpointer self);
  static gboolean on_idle(gpointer self);
  void watch();
  /// One message as received. A peer that is not addressed by identity has none.
  struct Received {
    std::string identity;
    zmq::message_t version;
    zmq::message_t body;
  };
  void receive_all();
  /// Reads one frame, again if a signal interrupts the read. @return false if there is none.
  bool read_frame(zmq::message_t& frame);
  /// Returns the frames of one message; none if there is no message.
  std::vector<zmq::message_t> read_frames();
  /// Reads one message and handles it if it is urgent, or queues it. @return false if there is
  /// none.
  bool receive_one();
  /// Handles messages that wait behind urgent ones, as many as fit into a share of a turn.
  void handle_waiting();
  void handle(const Received& received);
  void schedule_check();

  zmq::socket_t socket_;
  bool is_router_;
  std::string peer_;
  Handler handler_;
  UrgentMessage is_urgent_;
  std::deque<Received> waiting_;
  guint fd_source_ = 0;
  guint idle_source_ = 0;
  SocketCounters counters_;
};

}  // namespace planktray::transport
