#include "transport/line_output.hpp"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace planktray::transport {
namespace {

/// A writable pipe accepts this many bytes at once (POSIX: writes of up to PIPE_BUF bytes are
/// atomic).
constexpr std::size_t kMaxLineBytes = PIPE_BUF;

}  // namespace

bool LineOutput::write(std::string_view line) {
  if (left_out_ > 0 && has_capacity()) {
    const std::string notice = "event=log_lines_lost count=" + std::to_string(left_out_) + "\n";
    left_out_ = write_all(notice) ? 0 : left_out_;
  }
  if (left_out_ > 0 || !has_capacity()) {
    ++left_out_;
    return false;
  }
  const bool is_long = line.size() >= kMaxLineBytes;
  const std::string text = std::string(line.substr(0, kMaxLineBytes - 1)) + (is_long ? "\n" : "");
  if (!write_all(text)) {
    ++left_out_;
    return false;
  }
  return true;
}

bool LineOutput::has_capacity() const {
  pollfd wanted{descriptor_, POLLOUT, 0};
  // Only a poll() timeout means that a write would block; any other condition is reported by the
  // write.
  return ::poll(&wanted, 1, 0) != 0;
}

bool LineOutput::write_all(std::string_view text) const {
  ssize_t written = 0;
  do {
    written = ::write(descriptor_, text.data(), text.size());
  } while (written < 0 && errno == EINTR);
  return written == static_cast<ssize_t>(text.size());
}

}  // namespace planktray::transport
