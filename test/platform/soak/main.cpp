/// planktray-soak: runs the real programs as separate processes on loopback addresses, injects
/// overlapping faults by signals while clients, targets and an operator keep working, and checks
/// the results that these observe. Exits with status 1 if a guarantee was violated. A seed
/// reproduces the sequence of faults, but not the timing of the processes.

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <optional>

#include "soak/clients.hpp"
#include "soak/crowds.hpp"
#include "soak/operator.hpp"
#include "soak/processes.hpp"
#include "soak/rest_check.hpp"
#include "soak/targets.hpp"
#include "transport/event_loop.hpp"

namespace planktray::soak {
namespace {

using std::chrono::milliseconds;
using transport::boot_time_now;

constexpr Duration kTick = milliseconds(10);
/// A tick delayed by more than this means that this process stalled and read its sockets late.
constexpr Duration kStall = milliseconds(150);
constexpr Duration kStartTimeout = milliseconds(20'000);
/// Time without faults before recovery is checked, and the time limit after that for every router
/// to serve.
constexpr Duration kSettle = milliseconds(6'000);
constexpr Duration kRecovery = milliseconds(20'000);
/// Time without requests before the routers' counters are read: longer than any request's deadline.
constexpr Duration kRest = milliseconds(3'000);
/// Cuts between routers and targets use a separate random engine, so they don't change the other
/// faults of a seed.
constexpr std::uint64_t kCutSeed = 2'000'000;
constexpr std::uint64_t kCrowdSeed = 3'000'000;

/// Exit status for settings with which no seed can be run.
constexpr int kExitSettings = 2;

struct SoakOptions {
  std::string bin = "build/release";
  std::string data = "run/soak";
  FleetSize size;
  std::uint64_t first_seed = 1;
  std::uint64_t last_seed = 1;
  int seconds = 30;
  int requests_per_second = 300;
  std::size_t crowd = 0;  ///< clients of each batch that do not behave
  double faults_per_second = 1.0;
};

class Soak {
 public:
  Soak(const SoakOptions& options, std::uint64_t seed)
      : options_(options),
        random_(seed),
        cut_random_(seed + kCutSeed),
        processes_(std::filesystem::absolute(options.bin),
                   std::filesystem::absolute(options.data) / std::to_string(seed), options.size,
                   seed, Crowds::fleet_settings(options.crowd)),
        operator_(control_addresses(), seed + 1),
        clients_(processes_, operator_, promises_, seed + 2),
        targets_(processes_.network(), options.size.targets, control_addresses(), seed + 3,
                 [this](const Arrival& arrival) { clients_.on_arrival(arrival); }),
        rest_check_(processes_),
        crowds_(processes_, options.crowd, seed + kCrowdSeed) {}

  /// @return the violated guarantees.
  std::vector<std::string> run() {
    if (auto started = targets_.start(); !started) {
      return {"the targets did not start: " + started.error().describe()};
    }
    began_ = boot_time_now();
    last_tick_ = began_;
    processes_.start_all(began_);
    loop_.every(kTick, [this] { tick(); });
    loop_.run();
    clients_.check_at_end();
    processes_.end_all();
    std::vector<std::string> all = clients_.violations();
    all.insert(all.end(), operator_.violations().begin(), operator_.violations().end());
    all.insert(all.end(), failures_.begin(), failures_.end());
    return all;
  }

  void print_counts(std::uint64_t seed) const {
    const ClientCounts& counts = clients_.counts();
    std::cout << "seed " << seed << ": sent " << counts.sent << ", served " << counts.served
              << ", refused " << counts.refused << ", no route " << counts.not_found << ", other "
              << counts.other << ", pipelined " << counts.pipelined << "; judged added "
              << counts.checked_added << ", removed " << counts.checked_removed << ", leaving "
              << counts.checked_leaving << "; changes " << operator_.acknowledged()
              << ", heartbeats " << targets_.heartbeats_acknowledged() << ", leavings "
              << targets_.leavings_acknowledged() << ", troubles " << faults_ << ", cuts " << cuts_
              << " with " << counts.at_cut_routers << " requests judged" << std::endl;
  }

 private:
  enum class Phase { kStarting, kFaults, kSettling, kRecovering, kResting, kDone };
  struct Restart {
    std::size_t process;
    TimePoint when;
    int signal;  ///< 0: restart the process
  };

  std::vector<std::string> control_addresses() const {
    std::vector<std::string> addresses;
    for (const std::size_t i : processes_.of(Role::kController)) {
      addresses.push_back(processes_.all()[i].address);
    }
    return addresses;
  }

  void tick() {
    const TimePoint now = boot_time_now();
    if (now - last_tick_ > kStall) {
      clients_.on_stall(now);
    }
    last_tick_ = now;
    for (const std::string& ended : processes_.reap(now)) {
      failures_.push_back("ENDED " + ended);
    }
    restart_due(now);
    targets_.tick(now);
    operator_.tick(now, phase_ != Phase::kRecovering || routes_to_check_.empty());
    switch (phase_) {
      case Phase::kStarting:
        return await_start(now);
      case Phase::kFaults:
        send(now);
        cut_routers(now);
        crowds_.send(now);
        return inject_fault(now);
      case Phase::kSettling:
        send(now);
        if (now >= settle_until_ && restarts_.empty()) {
          enter(Phase::kRecovering, now);
        }
        return;
      case Phase::kRecovering:
        send(now);
        return await_recovery(now);
      case Phase::kResting:
        return check_rest(now);
      case Phase::kDone:
        return loop_.quit();
    }
  }

  void enter(Phase phase, TimePoint now) {
    phase_ = phase;
    entered_ = now;
  }

  void await_start(TimePoint now) {
    if (now - began_ > kStartTimeout) {
      failures_.emplace_back("START not every router served in time");
      return enter(Phase::kDone, now);
    }
    if (operator_.has_first_configuration() && !is_asking_) {
      ask_all(Operator::kSafePath, [this] {
        next_fault_ = boot_time_now();
        faults_until_ = next_fault_ + std::chrono::seconds(options_.seconds);
        enter(Phase::kFaults, next_fault_);
      });
    }
  }

  /// Requests `path` from all routers; calls `then` if every router served it.
  void ask_all(const std::string& path, const std::function<void()>& then) {
    is_asking_ = true;
    clients_.ask_all(path, [this, then](std::size_t served) {
      is_asking_ = false;
      last_served_ = served;
      if (served == processes_.of(Role::kRouter).size()) {
        then();
      }
    });
  }

  void send(TimePoint now) {
    const double due =
        std::chrono::duration<double>(now - sent_until_).count() * options_.requests_per_second;
    sent_until_ = now;
    requests_due_ = std::min(requests_due_ + due, options_.requests_per_second / 2.0);
    clients_.send(now, static_cast<int>(requests_due_));
    requests_due_ -= static_cast<int>(requests_due_);
  }

  void inject_fault(TimePoint now) {
    if (now >= faults_until_) {
      settle_until_ = now + kSettle;
      crowds_.clear();
      mend_routers(now);
      return enter(Phase::kSettling, now);
    }
    if (now < next_fault_) {
      return;
    }
    const double wait = -std::log(1.0 - common::uniform_real(random_)) / options_.faults_per_second;
    next_fault_ = now + milliseconds(static_cast<int>(wait * 1000));
    ++faults_;
    constexpr std::uint64_t kKinds = 10;
    switch (common::uniform(random_, 0, kKinds - 1)) {
      case 0:
        return kill_for(now, pick(Role::kRouter), 300, 2000);
      case 1:
        return kill_for(now, pick(Role::kController), 300, 3000);
      case 2:
        return pause_for(now, pick(Role::kRouter), 500, 4000);
      case 3:
        return pause_for(now, pick(Role::kController), 200, 3000);
      case 4:
        return stop_gracefully(now, pick(Role::kRouter));
      case 5:
        return processes_.signal(now, pick(Role::kRouter), SIGHUP);
      case 6:
        return kill_all_controllers(now);
      default:
        return drain_some(now);
    }
  }

  /// Cuts some routers off from all targets, or mends the last cut, when it is time.
  void cut_routers(TimePoint now) {
    if (now < next_cut_) {
      return;
    }
    const bool is_over = !cut_routers_.empty();
    next_cut_ = now + cut_between(is_over ? 1000 : 5000, is_over ? 4000 : 9000);
    if (is_over) {
      return mend_routers(now);
    }
    ++cuts_;
    const bool keeps_open = common::chance(cut_random_, 0.3);
    const double share = 0.2 + 0.6 * common::uniform_real(cut_random_);
    std::size_t left = 0;
    for (const std::size_t router : processes_.of(Role::kRouter)) {
      const bool is_cut = common::chance(cut_random_, share);
      if (is_cut && processes_.all()[router].pid > 0) {
        targets_.gates().cut(processes_.all()[router].pid,
                             keeps_open ? GateCut::kNew : GateCut::kAll);
        clients_.on_path_changed(now, router, true);
        cut_routers_.push_back(router);
      } else {
        ++left;
      }
    }
    if (left == 0) {
      mend_routers(now);  // without any way there is nothing to judge
    }
  }
  void mend_routers(TimePoint now) {
    targets_.gates().mend_all();
    for (const std::size_t router : std::exchange(cut_routers_, {})) {
      clients_.on_path_changed(now, router, false);
    }
  }
  Duration cut_between(std::uint64_t low_ms, std::uint64_t high_ms) {
    return milliseconds(common::uniform(cut_random_, low_ms, high_ms));
  }

  std::size_t pick(Role role) {
    const auto all = processes_.of(role);
    return all[common::uniform(random_, 0, all.size() - 1)];
  }
  Duration between(std::uint64_t low_ms, std::uint64_t high_ms) {
    return milliseconds(common::uniform(random_, low_ms, high_ms));
  }
  bool is_affected(std::size_t process) const {
    return processes_.all()[process].pid == 0 ||
           std::any_of(restarts_.begin(), restarts_.end(),
                       [&](const Restart& restart) { return restart.process == process; });
  }
  void kill_for(TimePoint now, std::size_t process, std::uint64_t low, std::uint64_t high) {
    if (!is_affected(process)) {
      processes_.signal(now, process, SIGKILL);
      restarts_.push_back({process, now + between(low, high), 0});
    }
  }
  void pause_for(TimePoint now, std::size_t process, std::uint64_t low, std::uint64_t high) {
    if (!is_affected(process)) {
      processes_.signal(now, process, SIGSTOP);
      restarts_.push_back({process, now + between(low, high), SIGCONT});
    }
  }
  void stop_gracefully(TimePoint now, std::size_t process) {
    if (!is_affected(process)) {
      processes_.signal(now, process, SIGTERM);
      restarts_.push_back({process, now + promises_.grace, 0});
    }
  }
  void kill_all_controllers(TimePoint now) {
    for (const std::size_t i : processes_.of(Role::kController)) {
      kill_for(now, i, 200, 1000);
    }
  }
  void drain_some(TimePoint now) {
    for (std::uint64_t left = common::uniform(random_, 1, 3); left > 0; --left) {
      targets_.drain_one(now);
    }
  }

  void restart_due(TimePoint now) {
    for (auto next = restarts_.begin(); next != restarts_.end();) {
      const Process& process = processes_.all()[next->process];
      const bool has_stopped = process.terminating && process.pid == 0;
      if (now < next->when && !has_stopped) {
        ++next;
        continue;
      }
      if (next->signal != 0) {
        processes_.signal(now, next->process, next->signal);
      } else if (process.pid == 0) {
        processes_.start(now, next->process);
      } else if (process.terminating) {
        failures_.push_back("GRACE " + process.name + " still runs after the grace time");
        processes_.signal(now, next->process, SIGKILL);
        ++next;
        continue;
      } else {
        ++next;  // killed but not reaped yet
        continue;
      }
      next = restarts_.erase(next);
    }
  }

  void await_recovery(TimePoint now) {
    if (now - entered_ > kRecovery) {
      failures_.push_back("RECOVER " + std::to_string(last_served_) + " of " +
                          std::to_string(processes_.of(Role::kRouter).size()) +
                          " routers serve after the troubles, changes idle: " +
                          (operator_.is_idle() ? "yes" : "no"));
      return enter(Phase::kDone, now);
    }
    if (is_asking_) {
      return;
    }
    if (routes_to_check_.empty()) {
      routes_to_check_ = {Operator::kSafePath, Operator::kUnsafePath};
    }
    if (operator_.is_idle()) {
      ask_all(routes_to_check_.back(), [this] {
        routes_to_check_.pop_back();
        if (routes_to_check_.empty()) {
          enter(Phase::kResting, boot_time_now());
        }
      });
    }
  }

  void check_rest(TimePoint now) {
    if (now - entered_ < kRest || std::exchange(is_checking_rest_, true)) {
      return;
    }
    crowds_.check_memory(failures_);
    rest_check_.run([this](const std::vector<std::string>& violations) {
      failures_.insert(failures_.end(), violations.begin(), violations.end());
      enter(Phase::kDone, boot_time_now());
    });
  }

  SoakOptions options_;
  Promises promises_;
  common::RandomEngine random_;
  common::RandomEngine cut_random_;
  transport::EventLoop loop_;
  Processes processes_;
  Operator operator_;
  Clients clients_;
  Targets targets_;
  RestCheck rest_check_;
  Crowds crowds_;
  Phase phase_ = Phase::kStarting;
  TimePoint began_;
  TimePoint entered_;
  TimePoint last_tick_;
  TimePoint sent_until_ = boot_time_now();
  TimePoint next_fault_;
  TimePoint faults_until_;
  TimePoint settle_until_;
  double requests_due_ = 0;
  bool is_asking_ = false;
  bool is_checking_rest_ = false;
  std::size_t last_served_ = 0;
  std::uint64_t faults_ = 0;
  std::uint64_t cuts_ = 0;
  TimePoint next_cut_;
  std::vector<std::size_t> cut_routers_;
  std::vector<Restart> restarts_;
  std::vector<std::string> routes_to_check_;
  std::vector<std::string> failures_;
};

bool run_seed(const SoakOptions& options, std::uint64_t seed) {
  Soak soak(options, seed);
  const std::vector<std::string> violations = soak.run();
  soak.print_counts(seed);
  constexpr std::size_t kMaxPrinted = 20;
  for (std::size_t i = 0; i < std::min(violations.size(), kMaxPrinted); ++i) {
    std::cout << "  broken: " << violations[i] << "\n";
  }
  if (violations.size() > kMaxPrinted) {
    std::cout << "  and " << violations.size() - kMaxPrinted << " more" << std::endl;
  }
  return violations.empty();
}

/// Returns the first program that is missing in the folder, if any.
std::optional<std::filesystem::path> missing_program(const std::string& folder) {
  for (const Role role : {Role::kController, Role::kRouter}) {
    std::filesystem::path program = std::filesystem::path(folder) / program_of(role);
    if (!std::filesystem::exists(program)) {
      return program;
    }
  }
  return std::nullopt;
}

}  // namespace
}  // namespace planktray::soak

int main(int argc, char** argv) {
  using planktray::soak::SoakOptions;
  CLI::App app("planktray-soak: the real programs under random trouble, judged by their promises");
  SoakOptions options;
  app.add_option("--bin", options.bin, "Folder of the programs")->check(CLI::ExistingDirectory);
  app.add_option("--data", options.data, "Folder for settings, logs and disks, one for each seed");
  app.add_option("--first-seed", options.first_seed, "First seed");
  app.add_option("--last-seed", options.last_seed, "Last seed");
  app.add_option("--seconds", options.seconds, "Time with troubles, for each seed")
      ->check(CLI::Range(1, 3600));
  app.add_option("--controllers", options.size.controllers, "Controllers")
      ->check(CLI::Range(1, 25));
  app.add_option("--routers", options.size.routers, "Routers")->check(CLI::Range(1, 400));
  app.add_option("--targets", options.size.targets, "Targets")->check(CLI::Range(2, 1000));
  app.add_option("--requests", options.requests_per_second, "Requests a second")
      ->check(CLI::Range(1, 100'000));
  app.add_option("--crowd", options.crowd,
                 "Clients of each batch that send a part of a request and stay; 0: none")
      ->check(CLI::Range(std::size_t{0}, std::size_t{1000}));
  app.add_option("--troubles", options.faults_per_second, "Troubles a second, on average")
      ->check(CLI::Range(0.0, 100.0));
  CLI11_PARSE(app, argc, argv);
  if (const auto missing = planktray::soak::missing_program(options.bin)) {
    std::cerr << "--bin: there is no program " << missing->string() << std::endl;
    return planktray::soak::kExitSettings;
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::uint64_t broken = 0;
  std::uint64_t runs = 0;
  for (std::uint64_t seed = options.first_seed; seed <= options.last_seed; ++seed, ++runs) {
    broken += planktray::soak::run_seed(options, seed) ? 0 : 1;
  }
  std::cout << runs - broken << " passed, " << broken << " failed" << std::endl;
  return broken == 0 ? 0 : 1;
}
