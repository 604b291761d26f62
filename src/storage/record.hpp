#pragma once
/// Framing of records in a log file: magic, length, checksum, bytes.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.hpp"

namespace planktray::storage {

inline constexpr std::size_t kRecordHeaderBytes = 20;

/// One framed record.
std::string frame_record(std::string_view payload);

struct ScanResult {
  std::vector<std::string> payloads;
  std::size_t valid_bytes = 0;  ///< where the torn tail begins, or the size of the file
};

/// Reads records up to the first that is incomplete or damaged.
/// @return kCorrupt where a whole record stands behind the damage: then synced data is lost, and
///   the folder must not be used. Damage with nothing behind it is a torn tail, which was never
///   acknowledged.
common::Result<ScanResult> scan_records(std::string_view file, const std::string& file_name);

}  // namespace planktray::storage
