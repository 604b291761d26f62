#pragma once
/// Framing of records in a log file: magic number, payload length, checksum, payload.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.hpp"

namespace planktray::storage {

inline constexpr std::size_t kRecordHeaderBytes = 20;

/// Frames a payload as one record.
std::string frame_record(std::string_view payload);

/// The undamaged records at the start of a file.
struct ScanResult {
  std::vector<std::string> payloads;
  std::size_t valid_bytes = 0;  ///< offset of the torn tail, or the file size if there is none
};

/// Reads records up to the first incomplete or damaged one.
/// @return kCorrupt if an intact record follows the damage: synced data is then lost, and the
///   folder must not be used. Damage that no intact record follows is a torn tail, which was never
///   acknowledged.
common::Result<ScanResult> scan_records(std::string_view file, const std::string& file_name);

}  // namespace planktray::storage
