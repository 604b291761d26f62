#pragma once
/// A data folder in memory that loses what was not synced, may tear the last write, and may lie
/// about syncing (for mutants).

#include <map>
#include <string>
#include <vector>

#include "common/random.hpp"
#include "storage/disk.hpp"

namespace planktray::sim {

class VirtualDisk : public storage::Disk {
 public:
  std::vector<std::string> list() const override;
  common::Result<std::string> read(const std::string& name) const override;
  common::Result<void> append(const std::string& name, const std::string& bytes) override;
  common::Result<void> sync(const std::string& name) override;
  common::Result<void> replace(const std::string& name, const std::string& bytes) override;
  common::Result<void> truncate(const std::string& name, std::size_t size) override;
  common::Result<void> remove(const std::string& name) override;

  /// The machine loses power: unsynced bytes are gone.
  /// @param torn a random part of them stays, cut at any byte.
  void crash(bool torn, common::RandomEngine& random);
  /// The disk is replaced by an empty one.
  void wipe() { files_.clear(); }
  /// From now on sync() says yes and does nothing.
  void set_lying(bool lying) { lying_ = lying; }

 private:
  struct File {
    std::string bytes;
    std::size_t synced = 0;
  };

  std::map<std::string, File> files_;
  bool lying_ = false;
};

}  // namespace planktray::sim
