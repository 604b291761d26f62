#include "transport/line_output.hpp"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace planktray::transport {
namespace {

/// A pipe that is ready takes this much at once (POSIX: up to PIPE_BUF bytes are written whole).
constexpr std::size_t kLongestLine = PIPE_BUF;

}  // namespace

bool LineOutput::write(std::string_view line) {
  if (left_out_ > 0 && has_room()) {
    const std::string told = "event=log_lines_lost count=" + std::to_string(left_out_) + "\n";
    left_out_ = write_whole(told) ? 0 : left_out_;
  }
  if (left_out_ > 0 || !has_room()) {
    ++left_out_;
    return false;
  }
  const bool is_long = line.size() >= kLongestLine;
  const std::string text = std::string(line.substr(0, kLongestLine - 1)) + (is_long ? "\n" : "");
  if (!write_whole(text)) {
    ++left_out_;
    return false;
  }
  return true;
}

bool LineOutput::has_room() const {
  pollfd wanted{descriptor_, POLLOUT, 0};
  // Only a plain "not now" means that a write would wait; anything else shows itself in the write.
  return ::poll(&wanted, 1, 0) != 0;
}

bool LineOutput::write_whole(std::string_view text) const {
  ssize_t written = 0;
  do {
    written = ::write(descriptor_, text.data(), text.size());
  } while (written < 0 && errno == EINTR);
  return written == static_cast<ssize_t>(text.size());
}

}  // namespace planktray::transport
