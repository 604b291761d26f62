#include "soak/processes.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>

#include "transport/event_loop.hpp"

namespace planktray::soak {
namespace {

constexpr int kControlPort = 7000;
constexpr int kFrontPort = 7001;
constexpr int kReadyPort = 7002;
constexpr int kInternalPort = 7100;
constexpr int kFirstNetwork = 20;
constexpr int kNetworks = 200;
constexpr int kSeeds = 3;
constexpr int kPerSubnet = 200;

std::string host(const std::string& network, int kind, int number) {
  return network + "." + std::to_string(kind + number / kPerSubnet) + "." +
         std::to_string(1 + number % kPerSubnet);
}

/// Lowers the limit of this process on open descriptors; 0: leaves it as it is.
void limit_descriptors(std::uint64_t descriptors) {
  if (descriptors > 0) {
    const rlimit limit{descriptors, descriptors};
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

}  // namespace

std::string_view program_of(Role role) {
  return role == Role::kController ? "planktray-platform-controller" : "planktray-platform-router";
}

Processes::Processes(std::filesystem::path bin, std::filesystem::path data, FleetSize size,
                     std::uint64_t seed, FleetSettings extra)
    : bin_(std::move(bin)),
      data_(std::move(data)),
      extra_(std::move(extra)),
      network_("127." + std::to_string(kFirstNetwork + seed % kNetworks)) {
  constexpr int kControllers = 10;
  constexpr int kRouters = 20;
  for (int i = 0; i < size.controllers; ++i) {
    Process process;
    process.role = Role::kController;
    process.name = "controller-" + std::to_string(i);
    process.address = host(network_, kControllers, i) + ":" + std::to_string(kControlPort);
    processes_.push_back(process);
  }
  for (int i = 0; i < size.routers; ++i) {
    Process process;
    process.name = "router-" + std::to_string(i);
    const std::string ip = host(network_, kRouters, i);
    process.address = ip + ":" + std::to_string(kFrontPort);
    process.ready = ip + ":" + std::to_string(kReadyPort);
    processes_.push_back(process);
  }
}

Processes::~Processes() { end_all(); }

std::string Processes::settings_of(const Process& process) const {
  std::string text = "name = \"" + process.name +
                     "\"\ninternal-port = " + std::to_string(kInternalPort) + "\nseed = [";
  for (int i = 0; i < kSeeds; ++i) {
    const std::size_t number = std::min<std::size_t>(i, of(Role::kController).size() - 1);
    text += std::string(i == 0 ? "" : ",") + "\"" + processes_[number].address + "\"";
  }
  text += "]\npromise-in-force = \"2500ms\"\npromise-leaving = \"2500ms\"\n";
  if (process.role == Role::kRouter) {
    return text + "zone = \"z\"\nfront = \"" + process.address + "\"\nready = \"" + process.ready +
           "\"\nretry-ratio = 0.2\nretry-extra = 100\nretry-window = \"10s\"\n"
           "grace-period = \"10s\"\nhello-interval-ms = 250\ntable-lease-ms = 5000\n"
           "connect-timeout-ms = 150\nunacknowledged-timeout-ms = 600\nsettle-time-ms = 3\n" +
           extra_.router;
  }
  return text + "control = \"" + process.address + "\"\ndata = \"" +
         (data_ / process.name).string() +
         "\"\nfirst-start = " + (first_start_ ? "true" : "false") +
         "\nzone = [\"z\"]\nheartbeat-interval = \"500ms\"\nheartbeat-ms = 80\n"
         "election-min-ms = 300\nelection-max-ms = 500\nleader-lease-margin-ms = 20\n"
         "table-lease-ms = 5000\n" +
         extra_.controller;
}

void Processes::start_all(TimePoint now) {
  std::filesystem::create_directories(data_);
  // Data of an earlier run holds its configuration; the first change of this run would be refused.
  for (const Process& process : processes_) {
    std::filesystem::remove_all(data_ / process.name);
    std::filesystem::remove(data_ / (process.name + ".log"));
  }
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    start(now, i);
  }
  first_start_ = false;
}

void Processes::start(TimePoint now, std::size_t number) {
  Process& process = processes_[number];
  const std::filesystem::path settings = data_ / (process.name + ".conf");
  const std::filesystem::path log = data_ / (process.name + ".log");
  std::filesystem::create_directories(data_ / process.name);
  std::ofstream(settings) << settings_of(process);
  const std::string program = (bin_ / program_of(process.role)).string();
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // the processes end with the test, however it ends
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    setenv("PLANKTRAY_CONFIG", settings.c_str(), 1);
    // Not earlier: until here, the descriptors of this process are open.
    limit_descriptors(extra_.descriptors);
    execl(program.c_str(), program.c_str(), nullptr);
    _exit(127);
  }
  process.pid = pid;
  process.paused = false;
  process.terminating = false;
  process.last_fault = now;
}

void Processes::signal(TimePoint now, std::size_t number, int signal_number) {
  Process& process = processes_[number];
  if (process.pid <= 0) {
    return;
  }
  kill(process.pid, signal_number);
  process.last_fault = now;
  process.paused = signal_number == SIGSTOP || (process.paused && signal_number != SIGCONT);
  process.terminating = process.terminating || signal_number == SIGTERM;
}

std::vector<std::string> Processes::reap(TimePoint now) {
  std::vector<std::string> ended;
  for (Process& process : processes_) {
    int status = 0;
    if (process.pid <= 0 || waitpid(process.pid, &status, WNOHANG) != process.pid) {
      continue;
    }
    const bool was_killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
    if (!was_killed && !process.terminating) {
      ended.push_back(process.name + " with status " + std::to_string(status));
    }
    process.pid = 0;
    process.last_fault = now;
  }
  return ended;
}

void Processes::end_all() {
  for (Process& process : processes_) {
    if (process.pid > 0) {
      kill(process.pid, SIGKILL);
      waitpid(process.pid, nullptr, 0);
      process.pid = 0;
    }
  }
}

std::vector<std::size_t> Processes::of(Role role) const {
  std::vector<std::size_t> found;
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    if (processes_[i].role == role) {
      found.push_back(i);
    }
  }
  return found;
}

bool Processes::was_quiet(const Process& process, TimePoint now, Duration length) {
  return process.pid > 0 && !process.paused && !process.terminating &&
         now - process.last_fault > length;
}

bool Processes::controllers_were_quiet(TimePoint now, Duration length) const {
  return std::all_of(processes_.begin(), processes_.end(), [&](const Process& process) {
    return process.role != Role::kController || was_quiet(process, now, length);
  });
}

bool Processes::controllers_had_majority(TimePoint now, Duration length) const {
  const auto controllers = of(Role::kController);
  const auto quiet = std::count_if(controllers.begin(), controllers.end(), [&](std::size_t i) {
    return was_quiet(processes_[i], now, length);
  });
  return static_cast<std::size_t>(quiet) * 2 > controllers.size();
}

}  // namespace planktray::soak
