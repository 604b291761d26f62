// Sockets, a small HTTP/1.1 client and server, and a log with times for the scripts under review/.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Ms = std::chrono::milliseconds;

inline TimePoint start_time() {
  static const TimePoint start = Clock::now();
  return start;
}
inline double seconds_of(TimePoint at) {
  return std::chrono::duration<double>(at - start_time()).count();
}
inline void sleep_ms(int ms) { std::this_thread::sleep_for(Ms(ms)); }

/// The record of a run: one line an event, with seconds from the start.
class Record {
 public:
  static Record& get() {
    static Record record;
    return record;
  }
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void say(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    if (file_ != nullptr) {
      std::fprintf(file_, "%8.3f %s\n", seconds_of(Clock::now()), text);
      std::fflush(file_);
    }
  }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
};
#define SAY(...) ::review::Record::get().say(__VA_ARGS__)

struct Address {
  std::string ip;
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
  static Address parse(const std::string& text) {
    const auto colon = text.rfind(':');
    return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
  }
  sockaddr_in socket_address() const {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
    return at;
  }
};

inline int listen_at(const Address& address, int backlog = 128) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in at = address.socket_address();
  if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 || listen(fd, backlog) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

/// @return a connected socket, or -1. A source address may be named.
inline int connect_to(const Address& address, int timeout_ms, const std::string& from = "") {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (!from.empty()) {
    const sockaddr_in source = Address{from, 0}.socket_address();
    (void)bind(fd, reinterpret_cast<const sockaddr*>(&source), sizeof(source));
  }
  const sockaddr_in at = address.socket_address();
  if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0) {
    pollfd wait{fd, POLLOUT, 0};
    int error = errno == EINPROGRESS ? 0 : errno;
    socklen_t length = sizeof(error);
    if (error == 0 && poll(&wait, 1, timeout_ms) == 1) {
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length);
    } else {
      error = error == 0 ? ETIMEDOUT : error;
    }
    if (error != 0) {
      close(fd);
      return -1;
    }
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return fd;
}

inline bool send_all(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

struct Message {
  std::string first;  ///< request line or status line
  std::map<std::string, std::string> headers;  ///< names in lower case
  std::string body;
  std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  std::string word(int number) const {
    std::size_t at = 0;
    for (int i = 0; i < number; ++i) {
      at = first.find(' ', at) + 1;
    }
    return first.substr(at, first.find(' ', at) - at);
  }
  int status() const { return std::atoi(word(1).c_str()); }
};

/// Reads one message with a Content-Length or without a body. @return nothing at the end, at the
/// deadline or if the bytes are no message.
inline std::optional<Message> read_message(int fd, std::string& buffer, TimePoint deadline) {
  const auto read_more = [&]() -> bool {
    const auto left = std::chrono::duration_cast<Ms>(deadline - Clock::now()).count();
    pollfd wait{fd, POLLIN, 0};
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) != 1) {
      return false;
    }
    char bytes[8192];
    const ssize_t count = recv(fd, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      return false;
    }
    buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  };
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!read_more()) {
      return std::nullopt;
    }
  }
  Message message;
  std::size_t line = buffer.find("\r\n");
  message.first = buffer.substr(0, line);
  while (line < end) {
    const std::size_t next = buffer.find("\r\n", line + 2);
    const std::string text = buffer.substr(line + 2, next - line - 2);
    const std::size_t colon = text.find(':');
    if (colon != std::string::npos) {
      std::string name = text.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
      const std::size_t value = text.find_first_not_of(' ', colon + 1);
      message.headers[name] = value == std::string::npos ? "" : text.substr(value);
    }
    line = next;
  }
  const std::size_t length = static_cast<std::size_t>(std::atol(message.header("content-length").c_str()));
  buffer.erase(0, end + 4);
  while (buffer.size() < length) {
    if (!read_more()) {
      return std::nullopt;
    }
  }
  message.body = buffer.substr(0, length);
  buffer.erase(0, length);
  return message;
}

/// One request on a connection of its own. @return nothing without a whole answer.
inline std::optional<Message> call(const Address& to, const std::string& method, const std::string& path,
                                   const std::string& headers, const std::string& body, int timeout_ms) {
  const TimePoint deadline = Clock::now() + Ms(timeout_ms);
  const int fd = connect_to(to, timeout_ms);
  if (fd < 0) {
    return std::nullopt;
  }
  std::string request = method + " " + path + " HTTP/1.1\r\n" + headers + "Connection: close\r\n";
  if (headers.find("Host:") == std::string::npos) {
    request += "Host: " + to.text() + "\r\n";
  }
  if (!body.empty() || method == "POST") {
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  request += "\r\n" + body;
  std::optional<Message> answer;
  std::string buffer;
  if (send_all(fd, request)) {
    answer = read_message(fd, buffer, deadline);
  }
  close(fd);
  return answer;
}

/// As call(), and follows up to two redirects (307) as callers of control do.
inline std::optional<Message> call_control(const Address& to, const std::string& method, const std::string& path,
                                           const std::string& body, int timeout_ms, std::string* answered_by = nullptr) {
  Address at = to;
  for (int hop = 0; hop < 3; ++hop) {
    const auto answer = call(at, method, path, "Content-Type: application/json\r\n", body, timeout_ms);
    if (!answer.has_value() || answer->status() != 307) {
      if (answered_by != nullptr) {
        *answered_by = at.text();
      }
      return answer;
    }
    const std::string location = answer->header("location");
    const std::string rest = location.substr(location.find("//") + 2);
    at = Address::parse(rest.substr(0, rest.find('/')));
  }
  return std::nullopt;
}

/// A server that answers each connection in a thread of its own. The handler gets the request and its
/// connection. It returns the whole answer, or nothing to leave the request without an answer.
class Server {
 public:
  using Handler = std::function<std::optional<std::string>(const Message&, int connection)>;

  bool start(const Address& address, Handler handler) {
    handler_ = std::move(handler);
    listener_ = listen_at(address);
    if (listener_ < 0) {
      return false;
    }
    thread_ = std::thread([this] { accept_all(); });
    return true;
  }
  /// Ends as a killed process does: its port refuses, its connections are closed.
  void stop() {
    if (stopped_.exchange(true)) {
      return;
    }
    if (thread_.joinable()) {
      thread_.join();
    }
    const std::lock_guard lock(mutex_);
    for (const int fd : open_) {
      shutdown(fd, SHUT_RDWR);
    }
  }
  ~Server() { stop(); }

 private:
  void accept_all() {
    while (!stopped_) {
      pollfd wait{listener_, POLLIN, 0};
      if (poll(&wait, 1, 20) != 1) {
        continue;
      }
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      {
        const std::lock_guard lock(mutex_);
        open_.push_back(fd);
      }
      std::thread([this, fd] { serve(fd); }).detach();
    }
    close(listener_);
  }
  void serve(int fd) {
    std::string buffer;
    while (!stopped_) {
      const auto request = read_message(fd, buffer, Clock::now() + std::chrono::seconds(10));
      if (!request.has_value()) {
        break;
      }
      const auto answer = handler_(*request, fd);
      if (!answer.has_value()) {
        char byte = 0;  // no answer: wait until the caller gives up
        while (!stopped_ && recv(fd, &byte, 1, 0) > 0) {
        }
        break;
      }
      if (!send_all(fd, *answer)) {
        break;
      }
    }
    const std::lock_guard lock(mutex_);
    open_.erase(std::remove(open_.begin(), open_.end(), fd), open_.end());
    close(fd);
  }

  Handler handler_;
  int listener_ = -1;
  std::thread thread_;
  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  std::vector<int> open_;
};

/// The value of a field of flat JSON, as text; "" if it is missing.
inline std::string field(const std::string& json, const std::string& name) {
  const auto at = json.find("\"" + name + "\"");
  if (at == std::string::npos) {
    return "";
  }
  const auto begin = json.find_first_not_of(" :", at + name.size() + 2);
  if (json[begin] == '"') {
    return json.substr(begin + 1, json.find('"', begin + 1) - begin - 1);
  }
  return json.substr(begin, json.find_first_of(",}]", begin) - begin);
}

inline std::string answer_text(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace review
