#pragma once
/// How a cell forms by itself where a platform says that the whole system starts for the first
/// time, without ever making two cells.
///
/// Safety: the founders are the same fixed set in every process, known before any of them votes,
/// and a founder syncs the set and its own identity before its first vote. Identities of founders
/// follow from their addresses, so every founder starts from the same first snapshot without a word
/// spoken. A folder that is lost later starts under another identity, which is in no founding set.

#include <optional>
#include <string>
#include <vector>

#include "storage/log_store.hpp"

namespace planktray::controller {

/// Where the controllers of a first start are reached.
struct FoundingAddress {
  std::string name;  ///< of the place
  std::string peer_address;
  std::string operator_address;
};

/// The identity that a process has as a founder of the cell, or nothing where it is not one.
std::optional<storage::Identity> founder_identity(const common::CellName& cell,
                                                  const std::vector<FoundingAddress>& founders,
                                                  const std::string& own_peer_address);

}  // namespace planktray::controller
