#pragma once
/// Interface to the file system. Processes use files; the simulator uses a virtual disk with
/// faults.

#include <string>
#include <vector>

#include "common/error.hpp"

namespace planktray::storage {

/// A flat folder of files. A change is durable only after the call that is documented to make it
/// durable has returned.
class Disk {
 public:
  Disk() = default;
  Disk(const Disk&) = delete;
  Disk& operator=(const Disk&) = delete;
  virtual ~Disk() = default;

  virtual std::vector<std::string> list() const = 0;
  /// @return the bytes of a file; kNotFound or kIo.
  virtual common::Result<std::string> read(const std::string& name) const = 0;
  /// Appends to a file and creates it if it does not exist. Durable after sync().
  virtual common::Result<void> append(const std::string& name, const std::string& bytes) = 0;
  /// Makes all appended bytes of a file durable.
  virtual common::Result<void> sync(const std::string& name) = 0;
  /// Replaces the whole content of a file. Durable when the call returns.
  virtual common::Result<void> replace(const std::string& name, const std::string& bytes) = 0;
  /// Truncates a file to `size` bytes.
  virtual common::Result<void> truncate(const std::string& name, std::size_t size) = 0;
  virtual common::Result<void> remove(const std::string& name) = 0;
};

}  // namespace planktray::storage
