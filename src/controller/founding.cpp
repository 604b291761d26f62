#include "controller/founding.hpp"

#include "common/hash.hpp"

namespace planktray::controller {
namespace {

constexpr std::uint64_t kFounderSeed = 0x666f756e64;

/// Never returns 0, which means "no replica".
common::ReplicaId founder_id(const common::CellName& cell, const std::string& peer_address) {
  return common::ReplicaId(common::hash_bytes(cell.value + "/" + peer_address, kFounderSeed) | 1U);
}

}  // namespace

std::optional<storage::Identity> founder_identity(const common::CellName& cell,
                                                  const std::vector<FoundingAddress>& founders,
                                                  const std::string& own_peer_address) {
  storage::Identity identity;
  identity.cell = cell;
  for (const FoundingAddress& founder : founders) {
    const common::ReplicaId id = founder_id(cell, founder.peer_address);
    identity.founders.members.push_back(
        {id, founder.name, founder.peer_address, founder.operator_address, true});
    if (founder.peer_address == own_peer_address) {
      identity.replica = id;
    }
  }
  return identity.replica.value == 0 ? std::nullopt : std::optional(identity);
}

}  // namespace planktray::controller
