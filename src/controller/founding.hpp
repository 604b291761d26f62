#pragma once
/// Automatic bootstrap of a cell when the platform states that the whole system starts for the
/// first time. It never creates two cells.
///
/// Safety: the founders are the same fixed set in every process before any of them votes, and a
/// founder syncs the set and its own identity to disk before its first vote. Founder identities are
/// derived from addresses, so all founders start from the same initial snapshot without exchanging
/// messages. A replica that loses its data folder later starts with another identity, which is in
/// no founding set.

#include <optional>
#include <string>
#include <vector>

#include "storage/log_store.hpp"

namespace planktray::controller {

/// Addresses of a controller that takes part in the first start.
struct FoundingAddress {
  std::string name;  ///< of the node that the controller runs on
  std::string peer_address;
  std::string operator_address;
};

/// Returns the identity of this process as a founder of the cell, or nullopt if it is not one.
std::optional<storage::Identity> founder_identity(const common::CellName& cell,
                                                  const std::vector<FoundingAddress>& founders,
                                                  const std::string& own_peer_address);

}  // namespace planktray::controller
