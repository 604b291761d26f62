#pragma once
/// Durable state of one controller: identity, snapshot and log, as checksummed records.
///
/// Files: `identity` names the incarnation of the folder; `log-N` starts with a snapshot record and
/// takes every later change as an appended record. A new snapshot makes `log-N+1` as a whole and
/// then drops `log-N`, so at every moment one file is enough to recover.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/random.hpp"
#include "consensus/messages.hpp"
#include "storage/disk.hpp"

namespace planktray::storage {

/// Who this data folder is: made once, never changed.
struct Identity {
  common::CellName cell;
  common::ReplicaId replica;
  /// The members that made the cell, where this folder was made by one of them. They are synced
  /// before the folder's first vote, so that a restart goes on with the same ones.
  consensus::Membership founders;
  bool operator==(const Identity&) const = default;
  MSGPACK_DEFINE_MAP(cell, replica, founders)
};

class LogStore {
 public:
  /// @param disk must outlive the store.
  explicit LogStore(Disk& disk) : disk_(disk) {}

  /// Reads the folder, cutting a torn tail; makes an identity where the folder is empty.
  /// @return kCorrupt where synced data is damaged: the disk counts as lost.
  /// @param founder where the folder is empty and this process is one of the makers of the cell:
  ///   its identity; nothing otherwise, and an empty folder becomes a new replica.
  common::Result<consensus::DurableState> open(const common::CellName& cell,
                                               common::RandomEngine& random,
                                               const std::optional<Identity>& founder = {});
  const Identity& identity() const { return identity_; }

  /// Writes a group of requests with one sync. @return the bytes written. A group that the disk
  /// refuses to take leaves no trace and may be tried again; after a failed sync nothing is known
  /// of the file any more, and is_broken() says so.
  common::Result<std::size_t> persist(const std::vector<consensus::PersistRequest>& requests);
  /// Two halves of persist(), for a virtual disk whose sync takes time.
  common::Result<std::size_t> write(const std::vector<consensus::PersistRequest>& requests);
  common::Result<void> sync();
  bool is_broken() const { return broken_; }

 private:
  common::Result<void> open_identity(const common::CellName& cell, common::RandomEngine& random,
                                     const std::optional<Identity>& founder);
  common::Result<void> start_generation(const consensus::PersistRequest& request);
  std::string file_name(std::uint64_t generation) const;

  Disk& disk_;
  Identity identity_;
  std::uint64_t generation_ = 0;
  std::size_t good_bytes_ = 0;  ///< of the present file: whole records
  bool broken_ = false;
};

}  // namespace planktray::storage
