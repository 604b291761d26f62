#pragma once
/// Hashing by xxHash.

#include <cstdint>
#include <string_view>

namespace planktray::common {

/// Returns the 64-bit xxHash (XXH3) of `bytes` with `seed`.
std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed);

}  // namespace planktray::common
