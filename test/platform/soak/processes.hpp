#pragma once
/// The real programs of one fleet as separate processes on loopback addresses: started with
/// settings files of their own, ended, paused and started again by signals. Ends only what it has
/// started.

#include <sys/types.h>

#include <filesystem>
#include <string>
#include <vector>

#include "common/time.hpp"

namespace planktray::soak {

using common::Duration;
using common::TimePoint;

struct FleetSize {
  int controllers = 3;
  int routers = 8;
  int targets = 8;
};

/// What is promised to operators in this fleet; the programs get the same in their settings.
struct Promises {
  Duration change = std::chrono::milliseconds(2500);   ///< in force, or left alone, this long after
  Duration contact = std::chrono::milliseconds(4000);  ///< quiet time after which both must hold
  /// Added to `change` where controllers had trouble within `contact`.
  Duration stretch = std::chrono::milliseconds(6000);
  Duration grace = std::chrono::milliseconds(10000);  ///< from SIGTERM to the end
};

enum class Role { kController, kRouter };

struct Process {
  Role role = Role::kRouter;
  std::string name;
  std::string address;  ///< control of a controller, front of a router
  std::string ready;    ///< readiness of a router
  pid_t pid = 0;        ///< 0: not running
  bool paused = false;
  bool terminating = false;
  TimePoint last_trouble;  ///< the last signal, end or start
};

class Processes {
 public:
  /// @param bin folder of the programs. @param data folder for settings, logs and disks.
  Processes(std::filesystem::path bin, std::filesystem::path data, FleetSize size,
            std::uint64_t seed);
  ~Processes();
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  void start_all(TimePoint now);
  void start(TimePoint now, std::size_t number);
  void signal(TimePoint now, std::size_t number, int signal_number);
  /// Notices processes that have ended. @return names of those that ended by themselves.
  std::vector<std::string> reap(TimePoint now);
  void end_all();

  const std::vector<Process>& all() const { return processes_; }
  std::vector<std::size_t> of(Role role) const;
  /// True where the process ran without any trouble for `length`.
  static bool was_quiet(const Process& process, TimePoint now, Duration length);
  /// True where all controllers were quiet for `length`.
  bool core_was_quiet(TimePoint now, Duration length) const;
  /// True where more than half of the controllers run, and did for `length`.
  bool core_had_majority(TimePoint now, Duration length) const;
  const std::string& network() const { return network_; }

 private:
  std::string settings_of(const Process& process) const;

  std::filesystem::path bin_;
  std::filesystem::path data_;
  std::string network_;  ///< "127.N", the first half of every address
  std::vector<Process> processes_;
  bool first_start_ = true;
};

}  // namespace planktray::soak
