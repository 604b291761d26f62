#pragma once
/// Runs the real programs of one fleet as separate processes on loopback addresses. Each has its
/// own settings file; signals stop and pause processes. Ends only processes that it started.

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
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

/// What the settings of a fleet's processes hold beside the usual lines.
struct FleetSettings {
  std::string controller;         ///< lines for each controller's settings file
  std::string router;             ///< lines for each router's settings file
  std::uint64_t descriptors = 0;  ///< that the system lets each process open; 0: as many as usual
};

/// The guarantees given to operators of this fleet; the programs' settings hold the same values.
struct Promises {
  Duration change = std::chrono::milliseconds(2500);   ///< from acknowledgement to effect
  Duration contact = std::chrono::milliseconds(4000);  ///< quiet time before bounds apply
  /// Added to `change` if controllers had a fault within `contact`.
  Duration stretch = std::chrono::milliseconds(6000);
  Duration grace = std::chrono::milliseconds(10000);  ///< from SIGTERM to process exit
};

enum class Role { kController, kRouter };

/// Returns the file name of the role's program.
std::string_view program_of(Role role);

struct Process {
  Role role = Role::kRouter;
  std::string name;
  std::string address;  ///< control address of a controller, front of a router
  std::string ready;    ///< readiness address of a router
  pid_t pid = 0;        ///< 0: not running
  bool paused = false;
  bool terminating = false;
  TimePoint last_fault;  ///< the last signal, exit or start
};

class Processes {
 public:
  /// @param bin folder of the programs. @param data folder for settings, logs and stored data.
  Processes(std::filesystem::path bin, std::filesystem::path data, FleetSize size,
            std::uint64_t seed, FleetSettings extra = {});
  ~Processes();
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  void start_all(TimePoint now);
  void start(TimePoint now, std::size_t number);
  void signal(TimePoint now, std::size_t number, int signal_number);
  /// Reaps exited processes. @return name and status of each that exited unexpectedly.
  std::vector<std::string> reap(TimePoint now);
  void end_all();

  const std::vector<Process>& all() const { return processes_; }
  std::vector<std::size_t> of(Role role) const;
  /// Returns whether the process has run without a fault for `length`.
  static bool was_quiet(const Process& process, TimePoint now, Duration length);
  /// Returns whether all controllers have been quiet for `length`.
  bool controllers_were_quiet(TimePoint now, Duration length) const;
  /// Returns whether a majority of the controllers has been quiet for `length`.
  bool controllers_had_majority(TimePoint now, Duration length) const;
  const std::string& network() const { return network_; }

 private:
  std::string settings_of(const Process& process) const;

  std::filesystem::path bin_;
  std::filesystem::path data_;
  FleetSettings extra_;
  std::string network_;  ///< "127.N", the first half of every address
  std::vector<Process> processes_;
  bool first_start_ = true;
};

}  // namespace planktray::soak
