#pragma once
/// Machine resources that are available to a process, as stated in its settings.

#include <cstddef>
#include <cstdint>

namespace planktray::config {

/// Resource limits; 0: not stated. The processor share is not enforced.
struct MachineLimits {
  double link_bits_per_second = 0;  ///< per direction
  double processor_share = 0;       ///< fraction of one core
  std::size_t memory_bytes = 0;
  std::uint32_t descriptors = 0;

  /// Link bandwidth per direction in bytes per second; 0: not stated.
  double link_bytes_per_second() const {
    constexpr double kBitsPerByte = 8;
    return link_bits_per_second / kBitsPerByte;
  }
};

}  // namespace planktray::config
