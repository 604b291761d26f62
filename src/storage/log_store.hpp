#pragma once
/// Durable state of one controller: identity, snapshot and log, as checksummed records.
///
/// Files: `identity` identifies the replica and its cell; `log-N` starts with a snapshot record, if
/// one was taken, followed by an appended record for each group of later changes. A new snapshot is
/// written to `log-N+1` in one step before `log-N` is removed, so a single log file is always
/// enough to recover.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/random.hpp"
#include "consensus/messages.hpp"
#include "storage/disk.hpp"

namespace planktray::storage {

/// Identity of a data folder: created once, never changed.
struct Identity {
  common::CellName cell;
  common::ReplicaId replica;
  /// Initial members of the cell if this replica is one of them, otherwise empty. They are synced
  /// before the replica's first vote, so that a restart continues with the same members.
  consensus::Membership founders;
  bool operator==(const Identity&) const = default;
  MSGPACK_DEFINE_MAP(cell, replica, founders)
};

/// Reads and writes the durable state of one replica in a data folder.
class LogStore {
 public:
  /// @param disk must outlive the store.
  explicit LogStore(Disk& disk) : disk_(disk) {}

  /// Reads the folder and truncates a torn tail. Writes an identity if the folder is empty.
  /// @param founder identity to write to an empty folder if this process is an initial member of
  ///   the cell. If not set, an empty folder becomes a new replica.
  /// @return kCorrupt if synced data is damaged: the disk then counts as lost.
  common::Result<consensus::DurableState> open(const common::CellName& cell,
                                               common::RandomEngine& random,
                                               const std::optional<Identity>& founder = {});
  const Identity& identity() const { return identity_; }

  /// Writes a group of requests and syncs once. A group that the disk fails to write leaves no data
  /// behind and may be retried. After a failed sync the content of the file is unknown, and
  /// is_broken() returns true.
  /// @return the number of bytes written.
  common::Result<std::size_t> persist(const std::vector<consensus::PersistRequest>& requests);
  /// The two steps of persist(), for a virtual disk whose sync takes time.
  common::Result<std::size_t> write(const std::vector<consensus::PersistRequest>& requests);
  common::Result<void> sync();
  /// True after a failed sync or a failed removal of a partial write.
  bool is_broken() const { return broken_; }

 private:
  common::Result<void> open_identity(const common::CellName& cell, common::RandomEngine& random,
                                     const std::optional<Identity>& founder);
  common::Result<void> start_generation(const consensus::PersistRequest& request);
  std::string file_name(std::uint64_t generation) const;

  Disk& disk_;
  Identity identity_;
  std::uint64_t generation_ = 0;
  std::size_t valid_bytes_ = 0;  ///< size of the intact records in the current log file
  bool broken_ = false;
};

}  // namespace planktray::storage
