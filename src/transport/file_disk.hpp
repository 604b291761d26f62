#pragma once
/// The data folder of a process: files, with fdatasync and directory syncs.

#include <memory>
#include <string>
#include <vector>

#include "storage/disk.hpp"

namespace planktray::transport {

class FileDisk final : public storage::Disk {
 public:
  /// Creates the folder if it does not exist and locks it, so that no second process can use it.
  /// @return kIo or kUnavailable.
  static common::Result<std::unique_ptr<FileDisk>> open(const std::string& folder);
  ~FileDisk() override;

  std::vector<std::string> list() const override;
  common::Result<std::string> read(const std::string& name) const override;
  common::Result<void> append(const std::string& name, const std::string& bytes) override;
  common::Result<void> sync(const std::string& name) override;
  common::Result<void> replace(const std::string& name, const std::string& bytes) override;
  common::Result<void> truncate(const std::string& name, std::size_t size) override;
  common::Result<void> remove(const std::string& name) override;

 private:
  FileDisk(std::string folder, int lock) : folder_(std::move(folder)), lock_(lock) {}
  std::string path(const std::string& name) const { return folder_ + "/" + name; }
  common::Result<void> sync_folder() const;
  common::Result<void> use(const std::string& name);
  void close_file();

  std::string folder_;
  int lock_ = -1;
  std::string open_name_;  ///< name of the file kept open for appending
  int open_file_ = -1;
};

}  // namespace planktray::transport
