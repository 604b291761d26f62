#pragma once
/// Compression of large message parts (zlib, at its fastest level).

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace planktray::common {

/// Returns the compressed bytes; decompress() restores them.
std::string compress(std::string_view bytes);
/// Returns the original bytes, or nullopt if the input is damaged or restores to more than
/// `max_bytes`.
std::optional<std::string> decompress(std::string_view compressed, std::size_t max_bytes);

}  // namespace planktray::common
