// The project's programs as processes, with the commands and settings templates of the deploy file.
#pragma once

#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <fstream>
#include <sstream>

#include "net.hpp"

namespace review {

/// A value of a settings template: a text, a list or a table.
struct Value {
  std::string text;
  std::vector<Value> list;
  std::vector<std::pair<std::string, Value>> table;
  Value() = default;
  Value(std::string value) : text(std::move(value)) {}
  Value(const char* value) : text(value) {}
  const Value* find(const std::string& path) const {
    const auto dot = path.find('.');
    const std::string name = path.substr(0, dot);
    const Value* found = nullptr;
    for (const auto& [key, value] : table) {
      found = key == name ? &value : found;
    }
    if (found == nullptr && !list.empty() && !name.empty() && std::isdigit(static_cast<unsigned char>(name[0])) != 0) {
      const auto number = static_cast<std::size_t>(std::atoi(name.c_str()));
      found = number < list.size() ? &list[number] : nullptr;
    }
    return found == nullptr || dot == std::string::npos ? found : found->find(path.substr(dot + 1));
  }
};

/// Fills a template as the users' page on deployment says (the parts that the templates use).
inline std::string fill(const std::string& text, const Value& root, const Value& here, const std::string& key,
                        bool is_last) {
  std::string out;
  std::size_t at = 0;
  while (true) {
    const auto open = text.find("{{", at);
    if (open == std::string::npos) {
      return out + text.substr(at);
    }
    out += text.substr(at, open - at);
    const auto close = text.find("}}", open);
    const std::string tag = text.substr(open + 2, close - open - 2);
    at = close + 2;
    const auto look_up = [&](const std::string& name) {
      const Value* found = name == "." ? &here : here.find(name);
      return found != nullptr ? found : root.find(name);
    };
    if (tag == "@") {
      out += key;
    } else if (tag == ",") {
      out += is_last ? "" : ",";
    } else if (tag[0] == '#' || tag[0] == '^') {
      const std::string name = tag.substr(1);
      const std::string end_tag = "{{/" + name + "}}";
      const auto end = text.find(end_tag, at);
      const std::string inner = text.substr(at, end - at);
      at = end + end_tag.size();
      const Value* value = look_up(name);
      const bool given = value != nullptr && (!value->list.empty() || !value->table.empty() ||
                                              (!value->text.empty() && value->text != "false"));
      if (tag[0] == '^') {
        out += given ? "" : fill(inner, root, here, key, is_last);
      } else if (given && !value->list.empty()) {
        for (std::size_t i = 0; i < value->list.size(); ++i) {
          out += fill(inner, root, value->list[i], std::to_string(i), i + 1 == value->list.size());
        }
      } else if (given && !value->table.empty()) {
        for (std::size_t i = 0; i < value->table.size(); ++i) {
          out += fill(inner, root, value->table[i].second, value->table[i].first, i + 1 == value->table.size());
        }
      } else if (given) {
        out += fill(inner, root, *value, key, true);
      }
    } else {
      const Value* value = look_up(tag);
      out += value == nullptr ? "" : value->text;
    }
  }
}

inline std::string read_file(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// The value of `name = "..."` in the section of a role of the deploy file.
inline std::string role_entry(const std::string& deploy, const std::string& role, const std::string& name) {
  const auto section = deploy.find("[roles." + role + "]");
  const auto entry = deploy.find(name + " = \"", section);
  const auto begin = entry + name.size() + 4;
  return deploy.substr(begin, deploy.find('"', begin) - begin);
}

struct Program {
  std::string role;
  std::string name;
  std::string zone;
  std::string ip;
  pid_t pid = 0;
  bool bootstrap = true;
};

/// Three controllers and some routers on loopback addresses of their own.
class Fleet {
 public:
  static constexpr int kControlPort = 8544;
  static constexpr int kFrontPort = 8548;
  static constexpr int kReadyPort = 8542;
  static constexpr int kFirstInternalPort = 7540;

  Fleet(std::string folder, int routers) : folder_(std::move(folder)), deploy_(read_file("deploy/system.toml")) {
    network_ = free_network();
    static const char* kZones[] = {"zone-a", "zone-b", "zone-c"};
    for (int i = 0; i < 3; ++i) {
      programs_.push_back({"controller", "core-" + std::to_string(i + 1), kZones[i], network_ + ".1." + std::to_string(i + 1)});
    }
    for (int i = 0; i < routers; ++i) {
      programs_.push_back({"router", "front-" + std::to_string(i + 1), kZones[i % 3], network_ + ".2." + std::to_string(i + 1)});
    }
  }
  ~Fleet() { end_all(); }

  /// @return false if a program is missing.
  bool start_all() {
    bool is_complete = true;
    for (Program& program : programs_) {
      is_complete = start(program) && is_complete;
    }
    return is_complete;
  }
  bool start(Program& program) {
    const std::string command = role_entry(deploy_, program.role, "run");
    if (access(command.c_str(), X_OK) != 0) {
      std::fprintf(stderr, "%s is missing: run the build command of deploy/system.toml\n", command.c_str());
      return false;
    }
    const std::string settings = folder_ + "/" + program.name + ".conf";
    const std::string log = folder_ + "/" + program.name + ".log";
    mkdir((folder_ + "/" + program.name).c_str(), 0755);
    std::ofstream(settings) << settings_of(program);
    const std::string config = "PLANKTRAY_CONFIG=" + settings;
    const std::string path = std::string("PATH=") + (std::getenv("PATH") != nullptr ? std::getenv("PATH") : "/usr/bin:/bin");
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // nothing is left behind if the run is stopped
      const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(output, 1);
      dup2(output, 2);
      char* arguments[] = {const_cast<char*>(command.c_str()), nullptr};
      char* variables[] = {const_cast<char*>(config.c_str()), const_cast<char*>(path.c_str()), nullptr};
      execve(command.c_str(), arguments, variables);
      _exit(127);
    }
    program.pid = pid;
    program.bootstrap = false;
    SAY("start %s %s", program.name.c_str(), program.ip.c_str());
    return true;
  }
  void signal(Program& program, int number) {
    if (program.pid > 0) {
      kill(program.pid, number);
      SAY("signal %d to %s", number, program.name.c_str());
      if (number == SIGKILL) {
        waitpid(program.pid, nullptr, 0);
        program.pid = 0;
      }
    }
  }
  /// @return how a program ended by itself; "" while it runs.
  std::string ended(Program& program) {
    int status = 0;
    if (program.pid > 0 && waitpid(program.pid, &status, WNOHANG) == program.pid) {
      program.pid = 0;
      return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status)) : "status " + std::to_string(WEXITSTATUS(status));
    }
    return "";
  }
  void end_all() {
    for (Program& program : programs_) {
      if (program.pid > 0) {
        kill(program.pid, SIGCONT);
        kill(program.pid, SIGKILL);
        waitpid(program.pid, nullptr, 0);
        program.pid = 0;
      }
    }
  }

  std::vector<Program>& programs() { return programs_; }
  Program& controller(int number) { return programs_[static_cast<std::size_t>(number)]; }
  Program& router(int number) { return programs_[static_cast<std::size_t>(3 + number)]; }
  Address control(int number) { return {controller(number).ip, kControlPort}; }
  Address front(int number) { return {router(number).ip, kFrontPort}; }
  Address ready(int number) { return {router(number).ip, kReadyPort}; }
  std::string network() const { return network_; }

  /// The controller that leads, or -1: the one that answers a read of the configuration itself.
  int leader() {
    for (int i = 0; i < 3; ++i) {
      if (controller(i).pid <= 0) {
        continue;
      }
      const auto answer = call(control(i), "GET", "/v1/configuration/get", "", "", 1000);
      if (answer.has_value() && answer->status() == 200) {
        return i;
      }
    }
    return -1;
  }
  int wait_for_leader(int timeout_ms) {
    const TimePoint until = Clock::now() + Ms(timeout_ms);
    while (Clock::now() < until) {
      const int found = leader();
      if (found >= 0) {
        return found;
      }
      sleep_ms(20);
    }
    return -1;
  }
  /// Sends an operator's order to each controller in turn until it is acknowledged. @return the status.
  int order(const std::string& path, const std::string& body, int timeout_ms) {
    const TimePoint until = Clock::now() + Ms(timeout_ms);
    int status = 0;
    for (int i = 0; Clock::now() < until; i = (i + 1) % 3) {
      const auto answer = call_control(control(i), "POST", path, body, 1000);
      status = answer.has_value() ? answer->status() : 0;
      if (status == 200 || status == 400 || status == 412) {
        break;
      }
      sleep_ms(100);
    }
    SAY("operator POST %s -> %d", path.c_str(), status);
    return status;
  }

 private:
  /// A network 127.N whose control addresses are free.
  static std::string free_network() {
    for (int i = 0; i < 200; ++i) {
      const int number = 20 + (static_cast<int>(getpid()) + i) % 200;
      const std::string network = "127." + std::to_string(number);
      bool is_free = true;
      for (int j = 1; j <= 3 && is_free; ++j) {
        const int fd = listen_at({network + ".1." + std::to_string(j), kControlPort});
        is_free = fd >= 0;
        if (fd >= 0) {
          close(fd);
        }
      }
      if (is_free) {
        return network;
      }
    }
    return "127.20";
  }
  std::string settings_of(const Program& program) const {
    Value root;
    const auto add = [](Value& table, const std::string& name, Value value) { table.table.emplace_back(name, std::move(value)); };
    add(root, "node_name", program.name);
    add(root, "data_directory", folder_ + "/" + program.name);
    add(root, "zone", program.zone);
    add(root, "bootstrap", program.bootstrap ? "true" : "false");
    Value listen;
    add(listen, "control", program.ip + ":" + std::to_string(kControlPort));
    add(listen, "front", program.ip + ":" + std::to_string(kFrontPort));
    add(listen, "ready", program.ip + ":" + std::to_string(kReadyPort));
    add(root, "listen_addresses", listen);
    Value seeds;
    for (int i = 1; i <= 3; ++i) {
      seeds.list.emplace_back(network_ + ".1." + std::to_string(i) + ":" + std::to_string(kControlPort));
    }
    add(root, "seeds", seeds);
    Value ports;
    ports.list = {std::to_string(kFirstInternalPort), std::to_string(kFirstInternalPort + 15)};
    add(root, "internal_port_range", ports);
    Value tolerance;
    add(tolerance, "machines", "1");
    add(root, "fault_tolerance", tolerance);
    add(root, "heartbeat_interval", "1500ms");
    Value zones;
    for (const char* zone : {"zone-a", "zone-b", "zone-c"}) {
      add(zones, zone, "region");
    }
    add(root, "zones", zones);
    Value bounds;
    for (const auto& [name, value] : std::map<std::string, std::string>{
             {"config_apply", "2000ms"}, {"drain", "2000ms"}, {"max_hold", "10000ms"}, {"grace_period", "6s"},
             {"retry_budget_ratio", "0.2"}, {"retry_budget_extra", "62"}, {"budget_window", "10s"}}) {
      add(bounds, name, value);
    }
    add(root, "bounds", bounds);
    Value limits;
    for (const auto& [name, value] : std::map<std::string, std::string>{
             {"link_mbps", "1000.0"}, {"memory_mb", "260"}, {"cpu_share", "0.2"}, {"file_descriptors", "4100"}}) {
      add(limits, name, value);
    }
    add(root, "limits", limits);
    const std::string text = read_file(role_entry(deploy_, program.role, "template"));
    return fill(text, root, root, "", true);
  }

  std::string folder_;
  std::string deploy_;
  std::string network_;
  std::vector<Program> programs_;
};

}  // namespace review
