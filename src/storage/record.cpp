#include "storage/record.hpp"

#include <cstring>
#include <optional>

#include "common/hash.hpp"

namespace planktray::storage {
namespace {

constexpr std::uint64_t kMagic = 0x31474f4c544b4c50;  // "PLKTLOG1"
constexpr std::uint64_t kChecksumSeed = 0x706c616e6b;

template <typename T>
void append_value(std::string& out, T value) {
  char bytes[sizeof(T)];
  std::memcpy(bytes, &value, sizeof(T));
  out.append(bytes, sizeof(T));
}

template <typename T>
T read_value(std::string_view in, std::size_t offset) {
  T value{};
  std::memcpy(&value, in.data() + offset, sizeof(T));
  return value;
}

/// @return the payload of the record at `offset`, or nothing if it is incomplete or damaged.
std::optional<std::string_view> record_at(std::string_view file, std::size_t offset) {
  if (file.size() - offset < kRecordHeaderBytes ||
      read_value<std::uint64_t>(file, offset) != kMagic) {
    return std::nullopt;
  }
  const auto length = read_value<std::uint32_t>(file, offset + 8);
  const auto checksum = read_value<std::uint64_t>(file, offset + 12);
  if (file.size() - offset - kRecordHeaderBytes < length) {
    return std::nullopt;
  }
  const std::string_view payload = file.substr(offset + kRecordHeaderBytes, length);
  if (common::hash_bytes(payload, kChecksumSeed + length) != checksum) {
    return std::nullopt;
  }
  return payload;
}

bool has_record_from(std::string_view file, std::size_t offset) {
  for (std::size_t i = offset; i + kRecordHeaderBytes <= file.size(); ++i) {
    if (record_at(file, i).has_value()) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::string frame_record(std::string_view payload) {
  std::string out;
  out.reserve(kRecordHeaderBytes + payload.size());
  const auto length = static_cast<std::uint32_t>(payload.size());
  append_value(out, kMagic);
  append_value(out, length);
  append_value(out, common::hash_bytes(payload, kChecksumSeed + length));
  out.append(payload);
  return out;
}

common::Result<ScanResult> scan_records(std::string_view file, const std::string& file_name) {
  ScanResult result;
  while (result.valid_bytes < file.size()) {
    const auto payload = record_at(file, result.valid_bytes);
    if (!payload.has_value()) {
      if (has_record_from(file, result.valid_bytes + 1)) {
        return common::fail(common::ErrorCode::kCorrupt, "read log", "",
                            file_name + " is damaged at byte " +
                                std::to_string(result.valid_bytes) + ", before intact records");
      }
      break;
    }
    result.payloads.emplace_back(*payload);
    result.valid_bytes += kRecordHeaderBytes + payload->size();
  }
  return result;
}

}  // namespace planktray::storage
