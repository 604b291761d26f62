#include "transport/tcp_stream.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "transport/containment.hpp"

namespace planktray::transport {
namespace {

constexpr std::size_t kReadBytes = 16 * 1024;

/// Frees a GError and returns whether it only means that the operation would block.
bool is_would_block(GError* error) {
  const bool would_block = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE ||
                           g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING) != FALSE;
  g_error_free(error);
  return would_block;
}

}  // namespace

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

common::Result<std::shared_ptr<TcpStream>> TcpStream::connect(
    const std::string& address, common::Duration unacknowledged_timeout, LinkPacer* pacer) {
  const auto endpoint = parse_endpoint(address);
  if (!endpoint.has_value()) {
    return tl::unexpected(endpoint.error());
  }
  GError* error = nullptr;
  GSocket* socket =
      g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error);
  if (socket == nullptr) {
    const std::string message = error->message;
    g_error_free(error);
    return common::fail(common::ErrorCode::kIo, "make socket", address, message);
  }
  g_socket_set_blocking(socket, FALSE);
  const std::shared_ptr<TcpStream> stream(new TcpStream(socket, false, pacer));
  stream->write_rank_ = link::BodyRank::kPromised;
  stream->set_options(unacknowledged_timeout);
  GSocketAddress* to =
      g_inet_socket_address_new_from_string(endpoint->host.c_str(), endpoint->port);
  const gboolean connected = g_socket_connect(socket, to, nullptr, &error);
  g_object_unref(to);
  if (connected == FALSE) {
    const std::string message = error->message;
    if (!is_would_block(error)) {
      return common::fail(common::ErrorCode::kUnavailable, "connect", address, message);
    }
  }
  return stream;
}

std::shared_ptr<TcpStream> TcpStream::adopt(GSocket* socket,
                                            common::Duration unacknowledged_timeout,
                                            LinkPacer* pacer) {
  g_socket_set_blocking(socket, FALSE);
  std::shared_ptr<TcpStream> stream(
      new TcpStream(static_cast<GSocket*>(g_object_ref(socket)), true, pacer));
  stream->set_options(unacknowledged_timeout);
  return stream;
}

TcpStream::~TcpStream() { close(); }

void TcpStream::set_options(common::Duration unacknowledged_timeout) {
  g_socket_set_option(socket_, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  if (unacknowledged_timeout.count() > 0) {
    const auto milliseconds =
        std::chrono::ceil<std::chrono::milliseconds>(unacknowledged_timeout).count();
    g_socket_set_option(socket_, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<gint>(milliseconds),
                        nullptr);
  }
}

void TcpStream::start(Handlers handlers) {
  handlers_ = std::move(handlers);
  watch_ = std::make_unique<DescriptorWatch>(
      g_socket_get_fd(socket_),
      [this](DescriptorWatch::Readiness readiness) { on_ready(readiness); });
  watch();
}

bool TcpStream::has_unread() const {
  return socket_ != nullptr && g_socket_get_available_bytes(socket_) > 0;
}

void TcpStream::watch() {
  if (watch_ != nullptr) {
    const bool paused = is_read_paused();
    const bool watches_hang_up = connected_ && paused && !(paused_ && reads_on_);
    watch_->want(connected_ && !paused, !connected_ || may_send() > 0, watches_hang_up);
  }
}

void TcpStream::pause_reading(HangUp hang_up) {
  paused_ = true;
  reads_on_ = hang_up == HangUp::kReadOn;
  watch();
}

void TcpStream::resume_reading() {
  paused_ = false;
  watch();
}

void TcpStream::hold_writing(bool held) {
  held_ = held;
  if (is_open() && connected_ && !held && is_writing()) {
    const auto keep = shared_from_this();
    send_backlog();
  }
  watch();
}

void TcpStream::on_ready(DescriptorWatch::Readiness readiness) {
  const auto keep = shared_from_this();
  if (readiness.writable) {
    on_writable();
  }
  if (readiness.hung_up && is_open() && is_read_paused()) {
    on_hang_up();
    return;
  }
  if (readiness.readable && is_open()) {
    receive();
    watch();
  }
}

void TcpStream::receive() {
  if (is_read_paused()) {
    return;
  }
  std::array<char, kReadBytes> buffer;  // NOLINT: filled by the read
  GError* error = nullptr;
  const std::size_t most =
      reading_.body == 0 ? buffer.size() : std::min(buffer.size(), reading_.granted);
  const gssize count = g_socket_receive(socket_, buffer.data(), most, nullptr, &error);
  if (count > 0) {
    record_received(static_cast<std::size_t>(count));
    const bool is_handled = run_contained("read connection", "", [&] {
      handlers_.on_data({buffer.data(), static_cast<std::size_t>(count)});
    });
    if (!is_handled && is_open()) {
      end(StreamEnd::kReset);
    }
    return;
  }
  if (count == 0) {
    end(StreamEnd::kClosed);
    return;
  }
  if (!is_would_block(error)) {
    end(StreamEnd::kReset);
  }
}

void TcpStream::on_writable() {
  if (!connected_) {
    GError* error = nullptr;
    if (g_socket_check_connect_result(socket_, &error) == FALSE) {
      g_error_free(error);
      return end(StreamEnd::kReset);
    }
    connected_ = true;
    pace_writing(0);
    if (handlers_.on_connected) {
      handlers_.on_connected();
    }
  }
  if (is_open()) {
    send_backlog();
  }
  watch();
}

void TcpStream::write(std::string_view bytes) {
  if (!is_open()) {
    return;
  }
  const bool waits = is_writing() || !connected_;
  backlog_.append(bytes);
  send_added(bytes.size(), waits);
}

void TcpStream::write(std::string_view head, const SharedBytes& body) {
  if (!is_open()) {
    return;
  }
  const bool waits = is_writing() || !connected_;
  backlog_.append(head);
  backlog_.append(body);
  send_added(head.size() + body.size(), waits);
}

void TcpStream::send_added(std::size_t added, bool waited) {
  if (connected_) {
    pace_writing(added);
  }
  if (!waited) {
    send_backlog();
    watch();
  }
}

void TcpStream::send_backlog() {
  while (is_writing()) {
    const std::size_t most = may_send();
    if (most == 0) {
      return;
    }
    GError* error = nullptr;
    const std::string_view next = backlog_.front().substr(0, most);
    const gssize count = g_socket_send(socket_, next.data(), next.size(), nullptr, &error);
    if (count < 0) {
      if (!is_would_block(error)) {
        end(StreamEnd::kReset);
      }
      return;
    }
    sent_ = true;
    record_sent(static_cast<std::size_t>(count));
    if (handlers_.on_sent) {
      handlers_.on_sent();
    }
    if (!is_open()) {
      return;
    }
  }
  if (finishing_) {
    g_socket_shutdown(socket_, FALSE, TRUE, nullptr);
  }
  if (handlers_.on_drained) {
    handlers_.on_drained();
  }
}

void TcpStream::finish_writing() {
  finishing_ = true;
  if (is_open() && !is_writing() && connected_) {
    g_socket_shutdown(socket_, FALSE, TRUE, nullptr);
  }
}

void TcpStream::end(StreamEnd how) {
  const std::function<void(StreamEnd)> on_end = handlers_.on_end;
  close();
  if (on_end) {
    run_contained("end connection", "", [&] { on_end(how); });
  }
}

void TcpStream::abort() {
  if (socket_ != nullptr) {
    constexpr linger kReset{1, 0};
    setsockopt(g_socket_get_fd(socket_), SOL_SOCKET, SO_LINGER, &kReset, sizeof(kReset));
  }
  close();
}

void TcpStream::close() {
  if (socket_ == nullptr) {
    return;
  }
  watch_.reset();
  remove_from_pacer();
  g_socket_close(socket_, nullptr);
  g_clear_object(&socket_);
  backlog_.clear();
  connected_ = false;
}

// ---------------------------------------------------------------- link pacing

std::size_t TcpStream::may_send() const {
  if (held_) {
    return 0;
  }
  return writing_.body == 0 ? unsent() : std::min(unsent(), writing_.granted);
}

void TcpStream::pace_writing(std::size_t added) {
  if (pacer_ == nullptr) {
    return;
  }
  if (writing_.body != 0) {
    pacer_->outbound().extend(writing_.body, added);
    return;
  }
  if (unsent() <= link::kLargeBodyBytes) {
    return;
  }
  writing_.granted = 0;
  writing_.body = pacer_->outbound().add(unsent(), write_rank_, [this](std::size_t bytes) {
    const auto keep = shared_from_this();
    writing_.granted += bytes;
    send_backlog();
    watch();
  });
}

void TcpStream::record_sent(std::size_t bytes) {
  backlog_.pop(bytes);
  if (pacer_ == nullptr) {
    return;
  }
  if (writing_.body == 0) {
    return pacer_->outbound().note_small(bytes);
  }
  writing_.granted -= bytes;
  if (pacer_->outbound().passed(writing_.body, bytes)) {
    writing_ = {};
  }
}

void TcpStream::expect(std::size_t bytes, HangUp hang_up) {
  const bool is_small = bytes <= link::kLargeBodyBytes;
  if (pacer_ == nullptr || !is_open() || peer_finished_ || reading_.body != 0 || is_small) {
    return;
  }
  hang_up_ = hang_up;
  reading_.granted = 0;
  reading_.body =
      pacer_->inbound().add(bytes, link::BodyRank::kShared, [this](std::size_t granted) {
        const auto keep = shared_from_this();
        reading_.granted += granted;
        receive();
        watch();
      });
  watch();
}

void TcpStream::record_received(std::size_t bytes) {
  if (pacer_ == nullptr) {
    return;
  }
  if (reading_.body == 0) {
    return pacer_->inbound().note_small(bytes);
  }
  reading_.granted -= std::min(bytes, reading_.granted);
  if (pacer_->inbound().passed(reading_.body, bytes)) {
    reading_ = {};
  }
}

void TcpStream::on_hang_up() {
  if (paused_ || hang_up_ == HangUp::kEnds) {
    return end(StreamEnd::kClosed);
  }
  // All that the peer sent has arrived: reading it slowly would not relieve the link.
  peer_finished_ = true;
  if (reading_.body != 0) {
    pacer_->inbound().remove(reading_.body);
    reading_ = {};
  }
  watch();
}

void TcpStream::remove_from_pacer() {
  if (writing_.body != 0) {
    pacer_->outbound().remove(writing_.body);
  }
  if (reading_.body != 0) {
    pacer_->inbound().remove(reading_.body);
  }
  writing_ = {};
  reading_ = {};
}

}  // namespace planktray::transport
