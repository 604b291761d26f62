#include "common/compression.hpp"

#include <zlib.h>

#include <charconv>

namespace planktray::common {
namespace {

/// Precedes the compressed bytes: the size of the original, in hexadecimal digits.
constexpr std::size_t kSizeDigits = 8;
constexpr int kHexadecimal = 16;

const Bytef* as_bytes(const char* data) { return reinterpret_cast<const Bytef*>(data); }
Bytef* as_bytes(char* data) { return reinterpret_cast<Bytef*>(data); }

std::string size_digits(std::size_t size) {
  std::string digits(kSizeDigits, '0');
  for (std::size_t i = kSizeDigits; i > 0; --i, size /= kHexadecimal) {
    digits[i - 1] = "0123456789abcdef"[size % kHexadecimal];
  }
  return digits;
}

}  // namespace

std::string compress(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string compressed = size_digits(bytes.size());
  compressed.resize(kSizeDigits + size);
  compress2(as_bytes(compressed.data() + kSizeDigits), &size, as_bytes(bytes.data()), bytes.size(),
            Z_BEST_SPEED);
  compressed.resize(kSizeDigits + size);
  return compressed;
}

std::optional<std::string> decompress(std::string_view compressed, std::size_t max_bytes) {
  if (compressed.size() < kSizeDigits) {
    return std::nullopt;
  }
  std::size_t size = 0;
  const char* digits_end = compressed.data() + kSizeDigits;
  const auto [end, error] = std::from_chars(compressed.data(), digits_end, size, kHexadecimal);
  if (error != std::errc() || end != digits_end || size > max_bytes) {
    return std::nullopt;
  }
  const std::string_view body = compressed.substr(kSizeDigits);
  std::string bytes(size, '\0');
  uLongf restored = size;
  const int result =
      uncompress(as_bytes(bytes.data()), &restored, as_bytes(body.data()), body.size());
  return result == Z_OK && restored == size ? std::optional(bytes) : std::nullopt;
}

}  // namespace planktray::common
