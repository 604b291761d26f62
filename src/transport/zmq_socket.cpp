#include "transport/zmq_socket.hpp"

#include <glib-unix.h>

#include <array>
#include <cerrno>
#include <utility>
#include <vector>

#include "transport/turn_budget.hpp"

namespace planktray::transport {
namespace {

constexpr int kQueueLimit = 2000;
constexpr std::int64_t kMaxMessageBytes = 64 * 1024 * 1024;
constexpr int kReconnectMs = 50;
constexpr int kReconnectMaxMs = 500;
/// A machine that is down sends no reset, so connection attempts need a timeout. When all machines
/// start at the same time, some do not answer the first attempt, and the kernel retransmits a SYN
/// only after one second: a new attempt connects sooner.
constexpr int kConnectTimeoutMs = 250;
constexpr int kHandshakeMs = 1000;
constexpr int kUnacknowledgedMs = 1200;
/// Messages that wait behind urgent ones; more than a large fleet sends between two turns.
constexpr std::size_t kMaxWaiting = 8192;

std::string_view view(const zmq::message_t& frame) {
  return {static_cast<const char*>(frame.data()), frame.size()};
}

}  // namespace

SocketCounters& SocketCounters::operator+=(const SocketCounters& other) {
  sent += other.sent;
  send_dropped += other.send_dropped;
  received += other.received;
  bytes_sent += other.bytes_sent;
  bytes_received += other.bytes_received;
  refused += other.refused;
  overdue += other.overdue;
  return *this;
}

std::string encode_wire(const WireMessage& message) { return common::encode(message); }

common::Result<WireMessage> decode_wire(std::string_view version, std::string_view body,
                                        std::string_view peer) {
  if (version != kProtocolVersion) {
    return common::fail(common::ErrorCode::kInvalid, "receive message", std::string(peer),
                        "wrong protocol version");
  }
  return common::decode<WireMessage>(body, "receive message", peer);
}

ZmqSocket::ZmqSocket(zmq::context_t& context, zmq::socket_type type, std::string peer,
                     Handler handler)
    : socket_(context, type),
      is_router_(type == zmq::socket_type::router),
      peer_(std::move(peer)),
      handler_(std::move(handler)) {
  socket_.set(zmq::sockopt::linger, 0);
  socket_.set(zmq::sockopt::sndhwm, kQueueLimit);
  socket_.set(zmq::sockopt::rcvhwm, kQueueLimit);
  socket_.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
  socket_.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
  socket_.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMs);
  socket_.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
  socket_.set(zmq::sockopt::handshake_ivl, kHandshakeMs);
  socket_.set(zmq::sockopt::tcp_maxrt, kUnacknowledgedMs);
  // Messages for a disconnected peer are dropped: they would be outdated when it reconnects.
  socket_.set(zmq::sockopt::immediate, 1);
}

common::Result<std::unique_ptr<ZmqSocket>> ZmqSocket::bind(zmq::context_t& context,
                                                           const std::string& address,
                                                           Handler handler,
                                                           UrgentMessage is_urgent) {
  std::unique_ptr<ZmqSocket> socket(
      new ZmqSocket(context, zmq::socket_type::router, address, std::move(handler)));
  socket->is_urgent_ = std::move(is_urgent);
  socket->socket_.set(zmq::sockopt::router_handover, 1);
  try {
    socket->socket_.bind("tcp://" + address);
  } catch (const zmq::error_t& error) {
    return common::fail(common::ErrorCode::kIo, "bind", address, error.what());
  }
  socket->watch();
  return socket;
}

common::Result<std::unique_ptr<ZmqSocket>> ZmqSocket::connect(zmq::context_t& context,
                                                              const std::string& address,
                                                              const std::string& identity,
                                                              Handler handler) {
  std::unique_ptr<ZmqSocket> socket(
      new ZmqSocket(context, zmq::socket_type::dealer, address, std::move(handler)));
  socket->socket_.set(zmq::sockopt::routing_id, identity);
  try {
    socket->socket_.connect("tcp://" + address);
  } catch (const zmq::error_t& error) {
    return common::fail(common::ErrorCode::kIo, "connect", address, error.what());
  }
  socket->watch();
  return socket;
}

ZmqSocket::~ZmqSocket() {
  if (fd_source_ != 0) {
    g_source_remove(fd_source_);
  }
  if (idle_source_ != 0) {
    g_source_remove(idle_source_);
  }
}

void ZmqSocket::watch() {
  fd_source_ = g_unix_fd_add_full(G_PRIORITY_HIGH, socket_.get(zmq::sockopt::fd), G_IO_IN,
                                  on_readable, this, nullptr);
  schedule_check();
}

gboolean ZmqSocket::on_readable(gint /*fd*/, GIOCondition /*condition*/, gpointer self) {
  static_cast<ZmqSocket*>(self)->receive_all();
  return G_SOURCE_CONTINUE;
}

gboolean ZmqSocket::on_idle(gpointer self) {
  auto* socket = static_cast<ZmqSocket*>(self);
  socket->idle_source_ = 0;
  socket->receive_all();
  return G_SOURCE_REMOVE;
}

void ZmqSocket::schedule_check() {
  // The socket's descriptor is edge-triggered, so a send may consume the edge of a received
  // message.
  if (idle_source_ == 0) {
    idle_source_ = g_idle_add_full(G_PRIORITY_HIGH, on_idle, this, nullptr);
  }
}

void ZmqSocket::receive_all() {
  const TurnBudget budget;
  while (!budget.is_spent() && receive_one()) {
  }
  handle_waiting();
  if (budget.is_spent()) {
    schedule_check();
  }
}

void ZmqSocket::handle_waiting() {
  // A share of its own: urgent messages alone may take a whole turn.
  const TurnBudget budget(kTurnShare / 2);
  while (!waiting_.empty() && !budget.is_spent()) {
    const Received next = std::move(waiting_.front());
    waiting_.pop_front();
    handle(next);
  }
  if (!waiting_.empty()) {
    schedule_check();
  }
}

bool ZmqSocket::read_frame(zmq::message_t& frame) {
  while (true) {
    try {
      return socket_.recv(frame, zmq::recv_flags::dontwait).has_value();
    } catch (const zmq::error_t& error) {
      if (error.num() != EINTR) {
        throw;
      }
    }
  }
}

std::vector<zmq::message_t> ZmqSocket::read_frames() {
  std::vector<zmq::message_t> frames;
  do {
    zmq::message_t frame;
    if (!read_frame(frame)) {
      return {};
    }
    counters_.bytes_received += frame.size();
    frames.push_back(std::move(frame));
  } while (frames.back().more());
  return frames;
}

bool ZmqSocket::receive_one() {
  std::vector<zmq::message_t> frames = read_frames();
  if (frames.empty()) {
    return false;
  }
  ++counters_.received;
  const std::size_t expected = is_router_ ? 3 : 2;
  if (frames.size() != expected) {
    ++counters_.refused;
    return true;
  }
  Received received;
  received.identity = is_router_ ? std::string(view(frames[0])) : std::string();
  received.version = std::move(frames[expected - 2]);
  received.body = std::move(frames[expected - 1]);
  if (!is_urgent_ || is_urgent_(view(received.body))) {
    handle(received);
    return true;
  }
  waiting_.push_back(std::move(received));
  if (waiting_.size() > kMaxWaiting) {
    waiting_.pop_front();
    ++counters_.overdue;
  }
  return true;
}

void ZmqSocket::handle(const Received& received) {
  const auto message = decode_wire(view(received.version), view(received.body), peer_);
  if (!message.has_value()) {
    ++counters_.refused;
    return;
  }
  handler_(received.identity, *message);
}

void ZmqSocket::send(const std::string& identity, const WireMessage& message) {
  const std::string body = encode_wire(message);
  std::vector<zmq::const_buffer> frames;
  if (is_router_) {
    frames.push_back(zmq::buffer(identity));
  }
  frames.push_back(zmq::buffer(kProtocolVersion));
  frames.push_back(zmq::buffer(body));
  bool queued = true;
  for (std::size_t i = 0; i < frames.size() && queued; ++i) {
    const bool last = i + 1 == frames.size();
    const auto flags =
        last ? zmq::send_flags::dontwait : zmq::send_flags::dontwait | zmq::send_flags::sndmore;
    try {
      queued = socket_.send(frames[i], flags).has_value();
    } catch (const zmq::error_t&) {
      queued = false;  // the peer's connection is gone
    }
  }
  if (queued) {
    ++counters_.sent;
    counters_.bytes_sent += body.size();
  } else {
    ++counters_.send_dropped;
  }
  schedule_check();
}

}  // namespace planktray::transport
