#pragma once
/// Routing tables under virtual time: shipping controllers with their logs and disks, and shipping
/// routers, while operators change routes in series, back ends come and leave, zones are evacuated,
/// and machines, disks, clocks and links fail.
///
/// What is judged: the content of every table that a router installs is what the controllers have
/// committed at its index, and whatever was acknowledged before the time as of which a router takes
/// its table to be complete is in it.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.hpp"

namespace planktray::sim {

enum class TableFault : std::uint8_t {
  kKillController,    ///< a controller restarts from its disk
  kPowerLoss,         ///< all controllers restart, torn writes included, and their clocks with them
  kLostDisk,          ///< a controller returns with an empty disk once the log is replicated
  kCutControllers,    ///< some controllers are cut off from the others, one way or both
  kStaggeredCut,      ///< the leader loses one controller after the other, and keeps the routers
  kCutRouters,        ///< some routers are cut off from some controllers
  kFreezeController,  ///< stops, and goes on seconds later with what has arrived meanwhile
  kSpentProcessors,   ///< all controllers stop for most of each tenth of a second
  kFreezeRouter,      ///< as for controllers
  kRestartRouter,     ///< a router restarts without a table, perhaps with a new clock
  kFullLeader,        ///< messages between the leader and routers take up to seconds
  kLateMessages,      ///< a share of all messages is late, so that they overtake each other
  kRepeatedMessages,  ///< a share of all messages arrives twice
  kDamagedSnapshots,  ///< bytes of the log's snapshots change on the way to other controllers
};

/// A safeguard that is taken away. Each must be caught.
enum class TableMutant : std::uint8_t {
  kNone,
  kEarlyTime,       ///< the leader states a time later than its table is complete for
  kDroppedChange,   ///< an update lacks a change and keeps its index
  kFollowerBehind,  ///< a follower takes itself to be current without the newest entry
  kLongLease,       ///< a leader's lease outlasts the time for which voters refuse votes
  kUnsyncedDisks,   ///< acknowledged entries may be lost with power
};

struct TableWorldOptions {
  std::uint64_t seed = 1;
  common::Duration length = std::chrono::seconds(30);
  std::size_t controllers = 5;
  std::size_t routers = 16;
  std::vector<TableFault> faults;
  TableMutant mutant = TableMutant::kNone;
};

struct TableWorldResult {
  std::vector<std::string> violations;  ///< empty: the promises were kept
  std::uint64_t acknowledged = 0;       ///< changes and reports of back ends
  std::uint64_t configurations = 0;     ///< accepted changes of the routes
  std::uint64_t tables_compared = 0;
  std::uint64_t elections = 0;
  std::uint64_t snapshots_to_routers = 0;
  std::uint64_t snapshots_to_controllers = 0;  ///< chunks sent
  std::uint64_t follower_updates = 0;
};

const std::vector<TableFault>& all_table_faults();
std::string_view to_string(TableMutant mutant);
/// All mutants but kNone.
const std::vector<TableMutant>& all_table_mutants();

TableWorldResult run_table_world(const TableWorldOptions& options);

}  // namespace planktray::sim
