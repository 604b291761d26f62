#pragma once
/// Hashing by xxHash.

#include <cstdint>
#include <string_view>

namespace planktray::common {

/// 64-bit xxHash (XXH3) of `bytes` under `seed`.
std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed);

}  // namespace planktray::common
