#include "storage/log_store.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <optional>

#include "common/codec.hpp"
#include "storage/record.hpp"

namespace planktray::storage {
namespace {

using common::ErrorCode;
using consensus::DurableState;
using consensus::PersistRequest;

constexpr const char* kIdentityFile = "identity";
constexpr std::string_view kLogPrefix = "log-";

/// One persisted request. Optional fields are lists of at most one element.
struct LogRecord {
  std::vector<consensus::HardState> hard_state;
  std::vector<consensus::Snapshot> snapshot;
  common::LogIndex truncate_from;  ///< 0: no truncation
  std::vector<consensus::Entry> entries;
  MSGPACK_DEFINE_ARRAY(hard_state, snapshot, truncate_from, entries)
};

LogRecord to_log_record(const PersistRequest& request) {
  LogRecord record;
  if (request.hard_state.has_value()) {
    record.hard_state.push_back(*request.hard_state);
  }
  if (request.snapshot.has_value()) {
    record.snapshot.push_back(*request.snapshot);
  }
  record.truncate_from = request.truncate_from.value_or(common::LogIndex());
  record.entries = request.entries;
  return record;
}

void apply_record(LogRecord record, DurableState& state) {
  if (!record.hard_state.empty()) {
    state.hard_state = record.hard_state.front();
  }
  if (!record.snapshot.empty()) {
    state.snapshot = std::move(record.snapshot.front());
    state.entries.clear();
  }
  if (record.truncate_from.value > 0) {
    std::erase_if(state.entries,
                  [&](const auto& entry) { return entry.index >= record.truncate_from; });
  }
  for (consensus::Entry& entry : record.entries) {
    state.entries.push_back(std::move(entry));
  }
}

std::optional<std::uint64_t> generation_of(const std::string& name) {
  if (!name.starts_with(kLogPrefix)) {
    return std::nullopt;
  }
  std::uint64_t generation = 0;
  const char* first = name.data() + kLogPrefix.size();
  const char* last = name.data() + name.size();
  const auto [end, error] = std::from_chars(first, last, generation);
  if (error != std::errc() || end != last) {
    return std::nullopt;
  }
  return generation;
}

}  // namespace

common::Result<DurableState> LogStore::open(const common::CellName& cell,
                                            common::RandomEngine& random,
                                            const std::optional<Identity>& founder) {
  if (auto opened = open_identity(cell, random, founder); !opened) {
    return tl::unexpected(opened.error());
  }
  generation_ = 0;
  valid_bytes_ = 0;
  for (const std::string& name : disk_.list()) {
    generation_ = std::max(generation_, generation_of(name).value_or(0));
  }
  DurableState state;
  if (generation_ == 0) {
    generation_ = 1;
    return state;
  }
  const std::string name = file_name(generation_);
  const auto bytes = disk_.read(name);
  if (!bytes) {
    return tl::unexpected(bytes.error());
  }
  auto scanned = scan_records(*bytes, name);
  if (!scanned) {
    return tl::unexpected(scanned.error());
  }
  for (const std::string& payload : scanned->payloads) {
    auto records = common::decode<std::vector<LogRecord>>(payload, "read log", "");
    if (!records) {
      return tl::unexpected(records.error());
    }
    for (LogRecord& record : *records) {
      apply_record(std::move(record), state);
    }
  }
  valid_bytes_ = scanned->valid_bytes;
  if (scanned->valid_bytes < bytes->size()) {
    if (auto cut = disk_.truncate(name, scanned->valid_bytes); !cut) {
      return tl::unexpected(cut.error());
    }
  }
  return state;
}

common::Result<void> LogStore::open_identity(const common::CellName& cell,
                                             common::RandomEngine& random,
                                             const std::optional<Identity>& founder) {
  const auto bytes = disk_.read(kIdentityFile);
  if (bytes) {
    auto scanned = scan_records(*bytes, kIdentityFile);
    if (!scanned || scanned->payloads.size() != 1) {
      return common::fail(ErrorCode::kCorrupt, "read identity", "", "the identity file is damaged");
    }
    auto identity = common::decode<Identity>(scanned->payloads.front(), "read identity", "");
    if (!identity) {
      return tl::unexpected(identity.error());
    }
    if (identity->cell != cell) {
      return common::fail(ErrorCode::kInvalid, "read identity", "",
                          "the folder belongs to cell " + identity->cell.value);
    }
    identity_ = *identity;
    return {};
  }
  if (!disk_.list().empty()) {
    return common::fail(ErrorCode::kCorrupt, "read identity", "",
                        "the folder has files but no identity");
  }
  identity_ = founder.value_or(Identity{cell, common::ReplicaId(random() | 1U), {}});
  return disk_.replace(kIdentityFile, frame_record(common::encode(identity_)));
}

common::Result<std::size_t> LogStore::persist(const std::vector<PersistRequest>& requests) {
  auto written = write(requests);
  if (!written) {
    return written;
  }
  if (auto synced = sync(); !synced) {
    return tl::unexpected(synced.error());
  }
  return written;
}

common::Result<std::size_t> LogStore::write(const std::vector<PersistRequest>& requests) {
  // The last request with a snapshot includes everything still valid from the requests before it.
  const auto last = std::find_if(requests.rbegin(), requests.rend(),
                                 [](const auto& request) { return request.snapshot.has_value(); });
  auto next = requests.begin();
  if (last != requests.rend()) {
    if (auto started = start_generation(*last); !started) {
      return tl::unexpected(started.error());
    }
    next = last.base();
  }
  // One framed record per call, so that a torn write damages only the tail of the file.
  std::vector<LogRecord> pending;
  std::transform(next, requests.end(), std::back_inserter(pending), to_log_record);
  if (pending.empty()) {
    return 0;
  }
  const std::string framed = frame_record(common::encode(pending));
  if (auto appended = disk_.append(file_name(generation_), framed); !appended) {
    // Some bytes may have been written. Intact records after them would look like corruption.
    broken_ = !disk_.truncate(file_name(generation_), valid_bytes_).has_value();
    return tl::unexpected(appended.error());
  }
  valid_bytes_ += framed.size();
  return framed.size();
}

common::Result<void> LogStore::sync() {
  auto synced = disk_.sync(file_name(generation_));
  broken_ = broken_ || !synced.has_value();
  return synced;
}

common::Result<void> LogStore::start_generation(const PersistRequest& request) {
  const std::string old_name = file_name(generation_);
  ++generation_;
  const std::vector<LogRecord> records = {to_log_record(request)};
  const std::string record = frame_record(common::encode(records));
  if (auto replaced = disk_.replace(file_name(generation_), record); !replaced) {
    --generation_;
    return replaced;
  }
  valid_bytes_ = record.size();
  return disk_.remove(old_name);
}

std::string LogStore::file_name(std::uint64_t generation) const {
  return std::string(kLogPrefix) + std::to_string(generation);
}

}  // namespace planktray::storage
