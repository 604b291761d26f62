#pragma once
/// The named faults of a run, and the injector that brings them about at seeded moments, singly
/// and together.

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.hpp"
#include "sim/fleet.hpp"

namespace planktray::sim {

enum class Fault : std::uint8_t {
  kKillController,
  kKillLeader,
  kKillRouter,
  kKillBackend,
  kKillLeaderAndBackend,
  kKillAllControllers,
  kLostDisk,
  kSecondLossAfterRepair,
  kTornWrite,
  kCutTwoWay,
  kCutOneWay,
  kIsolateController,
  kIsolateRouter,
  kStaggeredCut,
  kFreezeController,
  kFreezeRouter,
  kFreezeBackend,
  kClockDrift,
  kLateMessages,
  kDuplicateMessages,
  kCrossedAnswers,
  kTruncatedAnswers,
  kClosedConnections,
  kLyingHealth,
  kLaggingList,
  kLyingList,
  kLeavingMachine,
  kDrainMachine,
  kMoveShards,
  kStopBackend,
  kStopRouter,
  kManyChanges,
  kOperatorRaces,
};

std::string_view to_string(Fault fault);
const std::vector<Fault>& all_faults();
/// Reads "none", "all" or a list of names with commas.
common::Result<std::set<Fault>> parse_faults(const std::string& text);

struct InjectorOptions {
  std::set<Fault> faults;
  Duration shortest_pause = std::chrono::milliseconds(50);
  Duration longest_pause = std::chrono::milliseconds(1500);
};

class FaultInjector {
 public:
  FaultInjector(Fleet& fleet, InjectorOptions options);

  /// Before the fleet starts: what holds for a whole run.
  void prepare();
  /// Injects until stop().
  void start();
  /// Takes every fault back and starts everything that is down.
  void stop();

 private:
  void schedule_next();
  void inject(Fault fault);
  void note(const std::string& what);
  Duration between(Duration low, Duration high);
  template <typename T>
  T* pick(const std::vector<T*>& all);
  /// Runs unless the faults have ended meanwhile.
  void later(Duration delay, Action action);

  void kill_controller(ControllerNode* controller, bool torn);
  void kill_backend(BackendNode* backend);
  void kill_router(RouterNode* router);
  void lose_disk(bool again);
  void cut(bool both_ways);
  void isolate(HostId alone, Duration longest);
  /// The leader loses its followers one after the other, while a half of the back ends hears
  /// nobody but the leader: the pattern that leader leases and refused early votes are for.
  void cut_staggered();
  void cut_pair(HostId left, HostId right);
  void watch_repair();
  void freeze(HostId host, const std::string& name, Duration longest);
  void restart_controller(ControllerNode* controller, Duration delay);
  void leave(BackendNode* backend);
  void many_changes();

  Fleet& fleet_;
  Environment& environment_;
  common::RandomEngine& random_;
  InjectorOptions options_;
  std::vector<Fault> choices_;
  bool running_ = false;
  bool repairing_ = false;  ///< a disk was lost and its repair is not complete
  bool second_loss_wanted_ = false;
  bool staggered_ = false;  ///< a staggered cut is under way
  std::set<common::MachineName> drained_;
  std::set<common::MachineName> leaving_;
};

}  // namespace planktray::sim
