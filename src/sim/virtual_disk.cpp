#include "sim/virtual_disk.hpp"

#include <algorithm>

namespace planktray::sim {

using common::ErrorCode;

std::vector<std::string> VirtualDisk::list() const {
  std::vector<std::string> names;
  for (const auto& [name, file] : files_) {
    names.push_back(name);
  }
  return names;
}

common::Result<std::string> VirtualDisk::read(const std::string& name) const {
  const auto found = files_.find(name);
  if (found == files_.end()) {
    return common::fail(ErrorCode::kNotFound, "read file", "", name);
  }
  return found->second.bytes;
}

common::Result<void> VirtualDisk::append(const std::string& name, const std::string& bytes) {
  files_[name].bytes += bytes;
  return {};
}

common::Result<void> VirtualDisk::sync(const std::string& name) {
  const auto found = files_.find(name);
  if (found != files_.end() && !lying_) {
    found->second.synced = found->second.bytes.size();
  }
  return {};
}

common::Result<void> VirtualDisk::replace(const std::string& name, const std::string& bytes) {
  files_[name] = {bytes, bytes.size()};
  return {};
}

common::Result<void> VirtualDisk::truncate(const std::string& name, std::size_t size) {
  File& file = files_[name];
  file.bytes.resize(std::min(size, file.bytes.size()));
  file.synced = std::min(file.synced, file.bytes.size());
  return {};
}

common::Result<void> VirtualDisk::remove(const std::string& name) {
  files_.erase(name);
  return {};
}

void VirtualDisk::crash(bool torn, common::RandomEngine& random) {
  for (auto& [name, file] : files_) {
    const std::size_t unsynced = file.bytes.size() - file.synced;
    const std::size_t kept = torn && unsynced > 0 ? common::uniform(random, 0, unsynced) : 0;
    file.bytes.resize(file.synced + kept);
    file.synced = file.bytes.size();
  }
}

}  // namespace planktray::sim
