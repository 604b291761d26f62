#include "common/hash.hpp"

#include <xxhash.h>

namespace planktray::common {

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

}  // namespace planktray::common
