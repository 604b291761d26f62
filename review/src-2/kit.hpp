#pragma once
// Stand-ins for the scripts of review/4 and later: a platform that fills the settings templates and
// starts processes, targets, an operator, and HTTP/1.1 connections. Written from PROTOCOL.md and
// DEPLOY.md; uses no code of the project. Blocking sockets and threads.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace kit {

// ---------------------------------------------------------------- time, record

inline double now_s() {
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}
inline void sleep_ms(double ms) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms)); }

// Writes record.txt: one line an event, with the seconds since the start.
class Record {
 public:
  void open(const std::string& path) {
    file_ = fopen(path.c_str(), "w");
    began_ = now_s();
  }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard<std::mutex> lock(mutex_);
    va_list args;
    va_start(args, format);
    if (file_ != nullptr) {
      fprintf(file_, "%8.3f  ", now_s() - began_);
      vfprintf(file_, format, args);
      fputc('\n', file_);
      fflush(file_);
    }
    va_end(args);
  }
  double at() const { return now_s() - began_; }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
  double began_ = 0;
};
inline Record& record() {
  static Record one;
  return one;
}

// ---------------------------------------------------------------- HTTP/1.1

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message {
  std::string method, target;  // of a request
  int status = 0;              // of an answer
  Headers headers;
  std::string body;
  bool whole = false;
  std::string header(const char* name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name) == 0) {
        return value;
      }
    }
    return "";
  }
  std::string path() const { return target.substr(0, target.find('?')); }
};

// A connection with an input buffer.
class Conn {
 public:
  explicit Conn(int fd = -1) : fd_(fd) {}
  Conn(const Conn&) = delete;
  Conn& operator=(const Conn&) = delete;
  ~Conn() { close(); }
  void close() {
    if (fd_ >= 0) {
      ::close(fd_);
      fd_ = -1;
    }
  }
  bool is_open() const { return fd_ >= 0; }
  int fd() const { return fd_; }

  bool connect(const std::string& address, double timeout_ms, const std::string& from = "") {
    close();
    const auto colon = address.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<uint16_t>(atoi(address.c_str() + colon + 1)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!from.empty()) {
      sockaddr_in at{};
      at.sin_family = AF_INET;
      inet_pton(AF_INET, from.c_str(), &at.sin_addr);
      bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof(at));
    }
    fcntl(fd_, F_SETFL, O_NONBLOCK);
    if (::connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) {
      pollfd wait{fd_, POLLOUT, 0};
      int error = 0;
      socklen_t size = sizeof(error);
      if (errno != EINPROGRESS || poll(&wait, 1, static_cast<int>(timeout_ms)) <= 0 ||
          getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        close();
        return false;
      }
    }
    fcntl(fd_, F_SETFL, 0);
    const int one = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    buffer_.clear();
    return true;
  }
  bool send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t n = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  // Reads a message. `head_only`: an answer to HEAD. Waits until `deadline` (seconds of now_s()).
  Message read(bool is_answer, double deadline, bool head_only = false) {
    Message message;
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(deadline)) {
        return message;
      }
    }
    std::istringstream lines(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::string line;
    std::getline(lines, line);
    std::istringstream first(line);
    if (is_answer) {
      std::string version;
      first >> version >> message.status;
    } else {
      first >> message.method >> message.target;
    }
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const auto colon = line.find(':');
      if (colon != std::string::npos) {
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.headers.emplace_back(line.substr(0, colon),
                                     value == std::string::npos ? "" : line.substr(value));
      }
    }
    if (head_only || message.status == 204 || message.status == 304) {
      message.whole = true;
      return message;
    }
    if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0) {
      return read_chunks(message, deadline);
    }
    const std::string length = message.header("Content-Length");
    const std::size_t wanted = length.empty() ? 0 : strtoul(length.c_str(), nullptr, 10);
    while (buffer_.size() < wanted) {
      if (!fill(deadline)) {
        message.body = buffer_;
        return message;
      }
    }
    message.body = buffer_.substr(0, wanted);
    buffer_.erase(0, wanted);
    message.whole = true;
    return message;
  }
  std::size_t buffered() const { return buffer_.size(); }

 private:
  Message read_chunks(Message message, double deadline) {
    while (true) {
      std::size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!fill(deadline)) {
          return message;
        }
      }
      const std::size_t size = strtoul(buffer_.c_str(), nullptr, 16);
      buffer_.erase(0, end + 2);
      while (buffer_.size() < size + 2) {
        if (!fill(deadline)) {
          return message;
        }
      }
      message.body += buffer_.substr(0, size);
      buffer_.erase(0, size + 2);
      if (size == 0) {
        message.whole = true;
        return message;
      }
    }
  }
  bool fill(double deadline) {
    const double left = deadline - now_s();
    if (fd_ < 0 || left <= 0) {
      return false;
    }
    pollfd wait{fd_, POLLIN, 0};
    if (poll(&wait, 1, static_cast<int>(left * 1000) + 1) <= 0) {
      return false;
    }
    char bytes[65536];
    const ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
    if (n <= 0) {
      close();
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(n));
    return true;
  }
  int fd_;
  std::string buffer_;
};

inline std::string request_text(const std::string& method, const std::string& target, const Headers& headers,
                                const std::string& body) {
  std::string out = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    out += name + ": " + value + "\r\n";
  }
  if (!body.empty() || method == "POST") {
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return out + "\r\n" + body;
}
inline std::string answer_text(int status, const Headers& headers, const std::string& body, bool is_head) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : headers) {
    out += name + ": " + value + "\r\n";
  }
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return is_head ? out : out + body;
}

// A value of a flat JSON text, as text: "name":VALUE. Enough for the bodies of PROTOCOL.md.
inline std::string json_value(const std::string& body, const std::string& name) {
  const auto at = body.find("\"" + name + "\"");
  if (at == std::string::npos) {
    return "";
  }
  auto from = body.find(':', at) + 1;
  while (from < body.size() && body[from] == ' ') {
    ++from;
  }
  if (body[from] == '"') {
    return body.substr(from + 1, body.find('"', from + 1) - from - 1);
  }
  return body.substr(from, body.find_first_of(",}]", from) - from);
}

// ---------------------------------------------------------------- an HTTP server

// Serves each connection in a thread of its own, one request at a time. The handler answers by
// writing to the connection; it returns false to end it.
class Server {
 public:
  using Handler = std::function<bool(Conn& conn, const Message& request)>;
  bool listen(const std::string& address, Handler handler) {
    const auto colon = address.rfind(':');
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<uint16_t>(atoi(address.c_str() + colon + 1)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &at.sin_addr);
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 || ::listen(fd_, 256) != 0) {
      ::close(fd_);
      fd_ = -1;
      return false;
    }
    state_ = std::make_shared<State>();
    state_->handler = std::move(handler);
    thread_ = std::thread([fd = fd_, state = state_] {
      while (true) {
        const int client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) {
          return;
        }
        const int yes = 1;
        setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
        {
          const std::lock_guard<std::mutex> lock(state->mutex);
          if (state->stopped) {
            ::close(client);
            return;
          }
          state->open.insert(client);
        }
        std::thread([client, state] {
          Conn conn(client);
          while (true) {
            const Message request = conn.read(false, now_s() + 120);
            if (!request.whole || !state->handler(conn, request)) {
              break;
            }
          }
          const std::lock_guard<std::mutex> lock(state->mutex);
          state->open.erase(client);
          conn.close();
        }).detach();
      }
    });
    return true;
  }
  // Ends as a killed process does: all connections break and the port refuses.
  void stop() {
    if (fd_ < 0) {
      return;
    }
    {
      const std::lock_guard<std::mutex> lock(state_->mutex);
      state_->stopped = true;
      for (const int client : state_->open) {
        const linger reset{1, 0};
        setsockopt(client, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        shutdown(client, SHUT_RDWR);
      }
    }
    shutdown(fd_, SHUT_RDWR);
    ::close(fd_);
    fd_ = -1;
    thread_.join();
  }
  ~Server() { stop(); }

 private:
  struct State {
    Handler handler;
    std::mutex mutex;
    std::set<int> open;
    bool stopped = false;
  };
  int fd_ = -1;
  std::shared_ptr<State> state_;
  std::thread thread_;
};

// ---------------------------------------------------------------- the platform

using Values = std::map<std::string, std::vector<std::string>>;

// Fills a settings template as DEPLOY.md tells it: {{a}}, {{a.0}}, {{#a}} .. {{/a}}, {{.}}, {{@}},
// {{,}}. A value is a list of texts; names without a value yield nothing.
inline std::string fill(const std::string& text, const Values& values, const std::string& entry = "",
                        bool is_last = true) {
  std::string out;
  std::size_t at = 0;
  while (true) {
    const auto open = text.find("{{", at);
    out += text.substr(at, open == std::string::npos ? open : open - at);
    if (open == std::string::npos) {
      return out;
    }
    const auto close = text.find("}}", open);
    std::string name = text.substr(open + 2, close - open - 2);
    at = close + 2;
    if (name == "." || name == "@") {
      out += entry;
    } else if (name == ",") {
      out += is_last ? "" : ",";
    } else if (name[0] == '#') {
      name.erase(0, 1);
      const auto end = text.find("{{/" + name + "}}", at);
      const std::string inner = text.substr(at, end - at);
      at = end + name.size() + 5;
      const auto found = values.find(name);
      if (found != values.end()) {
        for (std::size_t i = 0; i < found->second.size(); ++i) {
          out += fill(inner, values, found->second[i], i + 1 == found->second.size());
        }
      }
    } else {
      std::size_t place = 0;
      const auto dot = name.rfind('.');
      if (dot != std::string::npos && dot + 1 < name.size() && isdigit(name[dot + 1]) != 0) {
        place = strtoul(name.c_str() + dot + 1, nullptr, 10);
        name.erase(dot);
      }
      const auto found = values.find(name);
      out += found != values.end() && place < found->second.size() ? found->second[place] : "";
    }
  }
}

struct Process {
  std::string name, program, conf, log;
  std::string front, ready, control;
  bool is_router = false;
  pid_t pid = 0;
};

// Three controllers and some routers, as on a small site, each with a loopback address of its own.
class Fleet {
 public:
  std::vector<Process> controllers, routers;
  std::string folder, network;
  int tolerated = 1;  // fault_tolerance.machines
  std::vector<std::string> chosen_seeds;  // of settings written after the first start; empty: any three
  int front_port = 0, ready_port = 0, control_port = 0, internal_port = 0, target_port = 0;

  Fleet(std::string data, int routers_wanted, int controllers_wanted = 3) : folder(std::move(data)) {
    std::random_device device;
    network = "127." + std::to_string(30 + device() % 200);
    const int base = 21000 + static_cast<int>(device() % 200) * 50;
    front_port = base;
    ready_port = base + 1;
    control_port = base + 2;
    target_port = base + 3;
    internal_port = base + 10;
    controllers.reserve(100);  // references stay valid
    for (int i = 0; i < controllers_wanted; ++i) {
      add_controller();
    }
    for (int i = 0; i < routers_wanted; ++i) {
      Process one;
      one.name = "front-" + std::to_string(i + 1);
      one.is_router = true;
      const std::string ip = network + ".2." + std::to_string(i + 1);
      one.front = ip + ":" + std::to_string(front_port);
      one.ready = ip + ":" + std::to_string(ready_port);
      routers.push_back(one);
    }
  }
  ~Fleet() { end_all(); }
  // A machine with an address of its own; not started yet.
  Process& add_controller() {
    Process one;
    const std::string number = std::to_string(controllers.size() + 1);
    one.name = "core-" + number;
    one.control = network + ".1." + number + ":" + std::to_string(control_port);
    controllers.push_back(one);
    return controllers.back();
  }
  // `seeds`: any three of the running controllers; at the first start the first three.
  std::vector<std::string> seeds(bool first) const {
    std::vector<std::string> some;
    if (!first && !chosen_seeds.empty()) {
      return chosen_seeds;
    }
    for (const auto& one : controllers) {
      if (first || one.pid > 0) {
        some.push_back(one.control);
      }
    }
    if (!first) {
      std::shuffle(some.begin(), some.end(), std::mt19937(std::random_device{}()));
    }
    some.resize(std::min<std::size_t>(some.size(), 3));
    return some;
  }
  std::string target_address(int number) const {
    return network + ".3." + std::to_string(number) + ":" + std::to_string(target_port);
  }
  std::vector<std::string> control() const {
    std::vector<std::string> all;
    for (const auto& one : controllers) {
      if (one.pid > 0) {
        all.push_back(one.control);
      }
    }
    return all;
  }

  // The fields of a process's settings, as the platform has them now.
  Values settings(const Process& one, bool first) const {
    return {
        {"node_name", {one.name}},
        {"zone", {"hala-a"}},
        {"zones", {"hala-a"}},
        {"seeds", seeds(first)},
        {"internal_port_range", {std::to_string(internal_port), std::to_string(internal_port + 15)}},
        {"heartbeat_interval", {"1300ms"}},
        {"bootstrap", {first ? "true" : "false"}},
        {"fault_tolerance.machines", {std::to_string(tolerated)}},
        {"bounds.retry_budget_ratio", {"0.2"}},
        {"bounds.retry_budget_extra", {"62"}},
        {"bounds.budget_window", {"10s"}},
        {"bounds.grace_period", {"6s"}},
        {"bounds.config_apply", {"2000ms"}},
        {"bounds.drain", {"2000ms"}},
        {"bounds.max_hold", {"10000ms"}},
        {"limits.link_mbps", {"1000.0"}},
        {"limits.memory_mb", {one.is_router ? "260" : "256"}},
        {"limits.cpu_share", {one.is_router ? "0.2" : "0.15"}},
        {"limits.file_descriptors", {one.is_router ? "4100" : "4096"}},
        {"listen_addresses.front", {one.front}},
        {"listen_addresses.ready", {one.ready}},
        {"listen_addresses.control", {one.control}},
        {"data_directory", {folder + "/" + one.name}},
    };
  }
  // Fills the template of the process's role and puts it in place of the settings file.
  static bool write_settings(const Process& one, const Values& values) {
    std::ifstream in(one.is_router ? "deploy/router.conf" : "deploy/controller.conf");
    if (!in) {
      return false;
    }
    std::stringstream text;
    text << in.rdbuf();
    std::ofstream(one.conf + ".new") << fill(text.str(), values);
    return rename((one.conf + ".new").c_str(), one.conf.c_str()) == 0;
  }
  // The settings change with the list of `control` addresses: all running processes get their files anew.
  void rewrite_settings() {
    for (auto* group : {&controllers, &routers}) {
      for (const Process& one : *group) {
        if (one.pid > 0) {
          write_settings(one, settings(one, false));
        }
      }
    }
  }

  // `router`, `controller`: the commands of deploy/system.toml. The bounds are those of the small
  // sites (SYSTEM.md); `memory_mb` and the others of a machine too.
  bool start(const std::string& router, const std::string& controller) {
    for (auto& one : controllers) {
      one.program = controller;
      if (!launch(one, true)) {
        return false;
      }
    }
    for (auto& one : routers) {
      one.program = router;
      if (!launch(one, true)) {
        return false;
      }
    }
    return true;
  }
  bool launch(Process& one, bool first) {
    const Values values = settings(one, first);
    one.conf = folder + "/" + one.name + ".conf";
    one.log = folder + "/" + one.name + ".log";
    if (!write_settings(one, values)) {
      return false;
    }
    if (!one.is_router) {
      mkdir((folder + "/" + one.name).c_str(), 0755);
    }
    one.pid = fork();
    if (one.pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with this process, however that ends
      const int out = open(one.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      setenv("PLANKTRAY_CONFIG", one.conf.c_str(), 1);
      execl(one.program.c_str(), one.program.c_str(), nullptr);
      _exit(127);
    }
    record().line("platform: started %s", one.name.c_str());
    return one.pid > 0;
  }
  // True if a process has ended by itself.
  bool has_ended(Process& one) {
    int status = 0;
    if (one.pid > 0 && waitpid(one.pid, &status, WNOHANG) == one.pid) {
      record().line("platform: %s ended, status %d", one.name.c_str(), status);
      one.pid = 0;
    }
    return one.pid == 0;
  }
  void end(Process& one) {
    if (one.pid > 0) {
      kill(one.pid, SIGKILL);
      waitpid(one.pid, nullptr, 0);
      one.pid = 0;
    }
  }
  // SIGTERM, and SIGKILL after `grace_s`.
  void terminate(Process& one, double grace_s) {
    if (one.pid <= 0) {
      return;
    }
    kill(one.pid, SIGTERM);
    const double until = now_s() + grace_s;
    while (now_s() < until && waitpid(one.pid, nullptr, WNOHANG) != one.pid) {
      sleep_ms(20);
    }
    if (now_s() >= until) {
      kill(one.pid, SIGKILL);
      waitpid(one.pid, nullptr, 0);
    }
    one.pid = 0;
    record().line("platform: %s is gone for good", one.name.c_str());
  }
  void end_all() {
    for (auto& one : controllers) {
      end(one);
    }
    for (auto& one : routers) {
      end(one);
    }
  }
  bool wait_ready(double seconds) {
    const double until = now_s() + seconds;
    for (const auto& one : routers) {
      while (true) {
        Conn conn;
        if (conn.connect(one.ready, 500)) {
          conn.send(request_text("GET", "/v1/readiness", {{"Host", one.ready}}, ""));
          if (conn.read(true, now_s() + 1).status == 200) {
            break;
          }
        }
        if (now_s() > until) {
          return false;
        }
        sleep_ms(100);
      }
    }
    return true;
  }
};

// A call to `control`: tries the nodes in turn, follows 307 twice.
inline Message call_control(const std::vector<std::string>& control, const std::string& path,
                            const std::string& body, double seconds) {
  const double until = now_s() + seconds;
  std::size_t turn = 0;
  Message answer;
  while (now_s() < until) {
    std::string address = control[turn++ % control.size()];
    for (int hop = 0; hop < 3; ++hop) {
      Conn conn;
      answer = Message();
      if (!conn.connect(address, 500) ||
          !conn.send(request_text("POST", path,
                                  {{"Host", address}, {"Content-Type", "application/json"}}, body))) {
        break;
      }
      answer = conn.read(true, now_s() + 1);
      if (answer.status != 307) {
        break;
      }
      const std::string location = answer.header("Location");
      const auto from = location.find("//") + 2;
      address = location.substr(from, location.find('/', from) - from);
    }
    if (answer.whole && (answer.status / 100 == 2 || (answer.status / 100 == 4 && answer.status != 408 &&
                                                      answer.status != 429))) {
      return answer;
    }
    sleep_ms(150);
  }
  return answer;
}

// ---------------------------------------------------------------- targets

struct Held {
  unsigned from, to;
  unsigned long fence;
  double until;
};

// A target as PROTOCOL.md describes it. Each life of it is a new incarnation.
class Target {
 public:
  struct Options {
    std::string service, address, id, zone = "hala-a";
    bool sharded = false;
    int slots = 3;
    double work_ms = 5;
    std::string born;  // stated in heartbeats where it is given
    std::function<int(const std::string& body)> status{};  // of an answer to a request; 200 without it
  };
  // Called for each request that runs, in its thread: returns the body of the answer.
  using Run = std::function<std::string(const Message& request)>;
  // Called for each grant that is taken, with the life's number.
  using Taken = std::function<void(const Held& held, int life)>;

  Target(Options options, std::vector<std::string> control, Run run, Taken taken = nullptr)
      : options_(std::move(options)), control_(std::move(control)), run_(std::move(run)), taken_(std::move(taken)) {}
  ~Target() { crash(); }
  const Options& options() const { return options_; }
  int life() const { return life_; }

  // Starts a life of the target. `id`: of this incarnation.
  bool start(const std::string& id, const std::string& born = "") {
    ++life_;
    options_.id = id;
    options_.born = born;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      held_.clear();
      seen_.clear();
    }
    server_ = std::make_unique<Server>();
    if (!server_->listen(options_.address, [this](Conn& conn, const Message& request) { return serve(conn, request); })) {
      return false;
    }
    alive_ = true;
    beats_ = std::thread([this] { beat(); });
    return true;
  }
  // Ends at once and silently, as a crashed process does.
  void crash() {
    if (!alive_.exchange(false)) {
      return;
    }
    server_->stop();
    beats_.join();
  }
  std::vector<Held> held() {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<Held> live;
    for (const Held& one : held_) {
      if (one.until > now_s()) {
        live.push_back(one);
      }
    }
    return live;
  }
  // The platform's list of `control` addresses, where it changes.
  std::function<std::vector<std::string>()> control_now{};

 private:
  void beat() {
    unsigned long sequence = 0;
    std::string next;
    std::size_t turn = static_cast<std::size_t>(rand());
    while (alive_) {
      {
        if (control_now) {
          control_ = control_now();
        }
        const std::string body =
            "{\"address\":\"" + options_.address + "\"," +
            (options_.born.empty() ? "" : "\"born\":" + options_.born + ",") + "\"information\":{\"service\":\"" +
            options_.service + "\",\"version\":\"v1\",\"zone\":\"" + options_.zone +
            "\",\"slots\":" + std::to_string(options_.slots) + "},\"status\":{\"state\":\"ready\",\"sequence\":" +
            std::to_string(++sequence) + ",\"cold_remaining\":\"0ms\"}}";
        bool acknowledged = false;
        for (int tries = 0; tries < 4 && !acknowledged && alive_; ++tries) {
          std::string address = next.empty() ? control_[turn++ % control_.size()] : next;
          next.clear();
          Conn conn;
          if (conn.connect(address, 400) &&
              conn.send(request_text("POST", "/v1/instances/" + options_.id + "/heartbeat",
                                     {{"Host", address}, {"Content-Type", "application/json"}}, body))) {
            const Message answer = conn.read(true, now_s() + 1);
            if (answer.whole && answer.status / 100 == 2) {
              acknowledged = true;
              next = json_value(answer.body, "heartbeat_address");
            } else if (answer.status == 307) {
              const std::string location = answer.header("Location");
              const auto from = location.find("//") + 2;
              next = location.substr(from, location.find('/', from) - from);
            }
          }
        }
      }
      for (int i = 0; i < 26 && alive_; ++i) {
        sleep_ms(50);
      }
    }
  }
  bool serve(Conn& conn, const Message& request) {
    const std::string id = request.header("X-Planktray-Request-Id");
    Headers headers = {{"X-Planktray-Request-Id", id}};
    const bool is_head = request.method == "HEAD";
    const auto answer = [&](int status, const std::string& body = "") {
      headers.emplace_back("X-Planktray-Instance-Id", options_.id);
      return conn.send(answer_text(status, headers, body, is_head));
    };
    const std::string expected = request.header("X-Planktray-Expected-Instance");
    if (!expected.empty() && expected != options_.id) {
      return answer(421);
    }
    if (request.path() == "/health") {
      return answer(200);
    }
    if (request.path() == "/v1/grant" || request.path() == "/v1/release") {
      return keys(request, answer, headers);
    }
    if (options_.sharded && !holds(static_cast<unsigned>(strtoul(request.header("X-Planktray-Shard-Key").c_str(), nullptr, 10)))) {
      headers.emplace_back("X-Planktray-Not-Executed", "1");
      return answer(421);
    }
    const std::string body = run_(request);
    sleep_ms(options_.work_ms);
    if (!alive_) {
      return false;
    }
    headers.emplace_back("X-Planktray-Server-Seal", "seal-" + id);
    return answer(options_.status ? options_.status(body) : 200, body);
  }
  template <typename Answer>
  bool keys(const Message& request, const Answer& answer, Headers& headers) {
    Held one{static_cast<unsigned>(strtoul(json_value(request.body, "from").c_str(), nullptr, 10)),
             static_cast<unsigned>(strtoul(json_value(request.body, "to_version").c_str(), nullptr, 10)),
             strtoul(json_value(request.body, "fence").c_str(), nullptr, 10), 0};
    const bool is_grant = request.path() == "/v1/grant";
    bool is_new = true;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      for (const Held& other : seen_) {
        if (is_grant && other.from <= one.to && one.from <= other.to && other.fence > one.fence) {
          return answer(409);
        }
      }
      for (const Held& other : seen_) {
        is_new = is_new && !(other.from == one.from && other.to == one.to && other.fence == one.fence);
      }
      if (is_new) {
        seen_.push_back(one);
      }
      std::vector<Held> kept;
      for (const Held& other : held_) {
        if (other.to < one.from || one.to < other.from) {
          kept.push_back(other);
          continue;
        }
        if (other.from < one.from) {
          kept.push_back({other.from, one.from - 1, other.fence, other.until});
        }
        if (one.to < other.to) {
          kept.push_back({one.to + 1, other.to, other.fence, other.until});
        }
      }
      if (is_grant) {
        const std::string hold = json_value(request.body, "hold_time");
        const double unit = hold.find("ms") != std::string::npos ? 1e-3 : 1;
        one.until = now_s() + strtod(hold.c_str(), nullptr) * unit;
        kept.push_back(one);
      }
      held_ = std::move(kept);
    }
    if (is_grant && is_new && taken_) {
      taken_(one, life_);
    }
    if (!is_grant) {
      headers.emplace_back("X-Planktray-Handover", "handover-1");
    }
    return answer(200);
  }
  bool holds(unsigned key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::any_of(held_.begin(), held_.end(), [&](const Held& one) {
      return one.from <= key && key <= one.to && one.until > now_s();
    });
  }

  Options options_;
  std::vector<std::string> control_;
  Run run_;
  Taken taken_;
  std::unique_ptr<Server> server_;
  std::thread beats_;
  std::atomic<bool> alive_{false};
  int life_ = 0;
  std::mutex mutex_;
  std::vector<Held> held_, seen_;
};

// ---------------------------------------------------------------- configuration

inline std::string route_json(const std::string& name, const std::string& host, const std::string& prefix,
                              const std::string& kind, const std::string& service, const std::string& timeout = "1500ms") {
  return "{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"" + name + "\"},\"specification\":{\"host\":\"" + host +
         "\",\"path_prefix\":\"" + prefix + "\",\"kind\":\"" + kind + "\",\"timeout\":\"" + timeout +
         "\",\"objective_latency\":\"300ms\",\"priority\":1,\"service\":\"" + service + "\",\"max_attempts\":2}}";
}
inline std::string service_json(const std::string& name, bool sharded) {
  return "{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"" + name +
         "\"},\"specification\":{\"health_check_path\":\"/health\",\"max_connections\":130,\"protocol\":\"h1\",\"tls\":false" +
         (sharded ? ",\"sharded\":true,\"warmup\":\"2s\",\"grants\":\"invocation\"" : "") + "}}";
}
inline std::string limits_json() {
  return "{\"resource_kind\":\"limits\",\"metadata\":{},\"specification\":{\"max_header_bytes\":16384,"
         "\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}";
}
inline std::string config_json(int version, int base, const std::vector<std::string>& resources) {
  std::string list;
  for (const std::string& one : resources) {
    list += (list.empty() ? "" : ",") + one;
  }
  return "{\"version\":" + std::to_string(version) + ",\"base_version\":" + std::to_string(base) + ",\"resources\":[" +
         list + "]}";
}
inline bool put_config(const Fleet& fleet, const std::string& body, double seconds = 15) {
  const Message answer = call_control(fleet.control(), "/v1/configuration/put", body, seconds);
  record().line("operator: put answered %d", answer.status);
  return answer.status == 200;
}

}  // namespace kit
