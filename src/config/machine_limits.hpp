#pragma once
/// What the machine of a process gives it, as its settings say.

#include <cstddef>
#include <cstdint>

namespace planktray::config {

/// Limits as stated in the settings; 0: not stated. Only the link is enforced so far.
struct MachineLimits {
  double link_bits_per_second = 0;  ///< each way
  double processor_share = 0;       ///< of one core
  std::size_t memory_bytes = 0;
  std::uint32_t descriptors = 0;

  /// Bytes a second that the link carries each way; 0: not stated.
  double link_bytes_per_second() const {
    constexpr double kBitsPerByte = 8;
    return link_bits_per_second / kBitsPerByte;
  }
};

}  // namespace planktray::config
