#pragma once
/// Reads what a fleet of real processes recorded, as a history for the same checks. All processes
/// ran on one machine, so their CLOCK_BOOTTIME is one clock.

#include <string>

#include "common/error.hpp"
#include "sim/history.hpp"

namespace planktray::sim {

struct RecordedFiles {
  std::string ledger_folder;  ///< *.jsonl of the stand-in back ends
  std::string calls;          ///< record of the load tool
  std::string changes;        ///< record of operators; may be empty
};

/// @return kIo or kCorrupt with the file and line.
common::Result<History> read_recorded(const RecordedFiles& files);

}  // namespace planktray::sim
