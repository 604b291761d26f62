#pragma once
/// The seam to the file system. The process uses files, the simulator a virtual disk with faults.

#include <string>
#include <vector>

#include "common/error.hpp"

namespace planktray::storage {

/// A flat folder of files. Nothing lasts before the call that says so has returned.
class Disk {
 public:
  Disk() = default;
  Disk(const Disk&) = delete;
  Disk& operator=(const Disk&) = delete;
  virtual ~Disk() = default;

  virtual std::vector<std::string> list() const = 0;
  /// @return the bytes of a file; kNotFound or kIo.
  virtual common::Result<std::string> read(const std::string& name) const = 0;
  /// Appends to a file, making it where it does not exist. Lasts after sync().
  virtual common::Result<void> append(const std::string& name, const std::string& bytes) = 0;
  /// Makes all appended bytes of a file last.
  virtual common::Result<void> sync(const std::string& name) = 0;
  /// Replaces a file as a whole; lasting when the call returns.
  virtual common::Result<void> replace(const std::string& name, const std::string& bytes) = 0;
  /// Cuts a file to `size` bytes.
  virtual common::Result<void> truncate(const std::string& name, std::size_t size) = 0;
  virtual common::Result<void> remove(const std::string& name) = 0;
};

}  // namespace planktray::storage
