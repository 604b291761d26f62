#include "storage/log_store.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "sim/virtual_disk.hpp"
#include "storage/record.hpp"

namespace planktray::storage {
namespace {

using common::LogIndex;
using common::Term;
using consensus::Entry;
using consensus::PersistRequest;

const common::CellName kCell("cell");

PersistRequest entry_request(std::uint64_t index) {
  PersistRequest request;
  request.sequence = index;
  request.entries = {Entry{LogIndex(index), Term(1), 1, "payload " + std::to_string(index)}};
  return request;
}

std::string find_log(const sim::VirtualDisk& disk) {
  for (const std::string& name : disk.list()) {
    if (name.starts_with("log-")) {
      return name;
    }
  }
  return "";
}

TEST_CASE("reopening a store restores its entries and identity") {
  sim::VirtualDisk disk;
  common::RandomEngine random(1);
  LogStore store(disk);
  REQUIRE(store.open(kCell, random).has_value());
  REQUIRE(store.persist({entry_request(1), entry_request(2)}).has_value());
  LogStore reopened(disk);
  const auto state = reopened.open(kCell, random);
  REQUIRE(state.has_value());
  CHECK(reopened.identity() == store.identity());
  REQUIRE(state->entries.size() == 2);
  CHECK(state->entries[1].payload == "payload 2");
}

TEST_CASE("an empty folder becomes a new replica") {
  sim::VirtualDisk disk;
  common::RandomEngine random(1);
  LogStore store(disk);
  REQUIRE(store.open(kCell, random).has_value());
  const auto before = store.identity();
  disk.wipe();
  LogStore reopened(disk);
  REQUIRE(reopened.open(kCell, random).has_value());
  CHECK(reopened.identity().replica != before.replica);
}

TEST_CASE("opening a folder of another cell fails") {
  sim::VirtualDisk disk;
  common::RandomEngine random(1);
  REQUIRE(LogStore(disk).open(kCell, random).has_value());
  const auto opened = LogStore(disk).open(common::CellName("other"), random);
  REQUIRE_FALSE(opened.has_value());
  CHECK(opened.error().code == common::ErrorCode::kInvalid);
}

TEST_CASE("a tail that is torn at any byte is truncated") {
  sim::VirtualDisk whole;
  common::RandomEngine random(1);
  LogStore store(whole);
  REQUIRE(store.open(kCell, random).has_value());
  REQUIRE(store.persist({entry_request(1)}).has_value());
  const std::string log = find_log(whole);
  const std::size_t first = whole.read(log)->size();
  REQUIRE(store.persist({entry_request(2)}).has_value());
  const std::string bytes = *whole.read(log);
  const std::string identity = *whole.read("identity");
  for (std::size_t size = first; size < bytes.size(); ++size) {
    sim::VirtualDisk torn;
    REQUIRE(torn.replace("identity", identity).has_value());
    REQUIRE(torn.replace(log, bytes.substr(0, size)).has_value());
    LogStore reopened(torn);
    const auto state = reopened.open(kCell, random);
    REQUIRE(state.has_value());
    CHECK(state->entries.size() == 1);
    CHECK(torn.read(log)->size() == first);
    // The next write must be readable after the truncation.
    REQUIRE(reopened.persist({entry_request(2)}).has_value());
    CHECK(LogStore(torn).open(kCell, random)->entries.size() == 2);
  }
}

TEST_CASE("damage before the last record is reported as corruption") {
  sim::VirtualDisk disk;
  common::RandomEngine random(1);
  LogStore store(disk);
  REQUIRE(store.open(kCell, random).has_value());
  for (std::uint64_t i = 1; i <= 3; ++i) {
    REQUIRE(store.persist({entry_request(i)}).has_value());
  }
  const std::string log = find_log(disk);
  std::string bytes = *disk.read(log);
  bytes[kRecordHeaderBytes + 3] = static_cast<char>(bytes[kRecordHeaderBytes + 3] ^ 0x40);
  REQUIRE(disk.replace(log, bytes).has_value());
  const auto opened = LogStore(disk).open(kCell, random);
  REQUIRE_FALSE(opened.has_value());
  CHECK(opened.error().code == common::ErrorCode::kCorrupt);
}

TEST_CASE("a snapshot replaces the log before it") {
  sim::VirtualDisk disk;
  common::RandomEngine random(1);
  LogStore store(disk);
  REQUIRE(store.open(kCell, random).has_value());
  REQUIRE(store.persist({entry_request(1), entry_request(2)}).has_value());
  PersistRequest compaction = entry_request(3);
  compaction.snapshot = consensus::Snapshot{LogIndex(2), Term(1), {}, "state"};
  compaction.hard_state = consensus::HardState{Term(4), common::ReplicaId(7)};
  REQUIRE(store.persist({compaction}).has_value());
  const auto state = LogStore(disk).open(kCell, random);
  REQUIRE(state.has_value());
  CHECK(state->snapshot.data == "state");
  CHECK(state->hard_state.term == Term(4));
  REQUIRE(state->entries.size() == 1);
  CHECK(state->entries[0].index == LogIndex(3));
}

TEST_CASE("scanning random bytes neither crashes nor reports more valid bytes than given") {
  rc::check([](const std::string& bytes) {
    const auto scanned = scan_records(bytes, "log");
    RC_ASSERT(!scanned.has_value() || scanned->valid_bytes <= bytes.size());
  });
}

/// A disk whose writes fail while it is full. A failed append writes the first half of its bytes.
class FullDisk final : public sim::VirtualDisk {
 public:
  common::Result<void> append(const std::string& name, const std::string& bytes) override {
    if (!full) {
      return VirtualDisk::append(name, bytes);
    }
    (void)VirtualDisk::append(name, bytes.substr(0, bytes.size() / 2));
    return common::fail(common::ErrorCode::kIo, "write", name, "no space is left");
  }
  common::Result<void> replace(const std::string& name, const std::string& bytes) override {
    return full ? common::fail(common::ErrorCode::kIo, "write", name, "no space is left")
                : VirtualDisk::replace(name, bytes);
  }

  bool full = false;
};

TEST_CASE("a write that failed on a full disk can be retried without damage") {
  FullDisk disk;
  common::RandomEngine random(1);
  LogStore store(disk);
  REQUIRE(store.open(kCell, random).has_value());
  REQUIRE(store.persist({entry_request(1)}).has_value());
  disk.full = true;
  CHECK_FALSE(store.persist({entry_request(2)}).has_value());
  PersistRequest compaction;
  compaction.snapshot = consensus::Snapshot{LogIndex(1), Term(1), {}, "state"};
  CHECK_FALSE(store.persist({compaction}).has_value());
  CHECK_FALSE(store.is_broken());
  disk.full = false;
  REQUIRE(store.persist({entry_request(2)}).has_value());
  REQUIRE(store.persist({entry_request(3)}).has_value());
  LogStore reopened(disk);
  const auto state = reopened.open(kCell, random);
  REQUIRE(state.has_value());
  CHECK(state->entries.size() == 3);
}

}  // namespace
}  // namespace planktray::storage
