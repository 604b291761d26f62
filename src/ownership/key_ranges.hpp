#pragma once
/// Ownership of the keys of one service, as contiguous ranges. Deterministic replicated state.
///
/// Invariants:
///  - The ranges cover all keys and do not overlap: a key has one record and at most one owner.
///  - The fence of a key is the index of the log entry that assigned it to its owner; it only
///    grows.
///  - Adjacent ranges that differ in their keys only are merged into one.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "config/route_configuration.hpp"

namespace planktray::ownership {

using common::BackendId;
using common::Epoch;
using common::LogIndex;

/// Keys from `first` to `last`, inclusive.
struct KeyRange {
  std::uint32_t first = 0;
  std::uint32_t last = config::kKeyCount - 1;
  auto operator<=>(const KeyRange&) const = default;
  MSGPACK_DEFINE_ARRAY(first, last)

  std::uint32_t size() const { return last - first + 1; }
  bool contains(const KeyRange& other) const { return first <= other.first && other.last <= last; }
  bool overlaps(const KeyRange& other) const { return first <= other.last && other.first <= last; }
};

/// A range of keys and its owner.
struct RangeRecord {
  KeyRange keys;
  BackendId owner;  ///< 0: none
  Epoch fence;
  /// The owner is asked to release the keys: routers send it no more requests, and another owner
  /// follows once the keys are released or the owner's grant has certainly expired.
  bool moving = false;
  BackendId move_to;      ///< the next owner; 0: not chosen yet
  LogIndex moving_since;  ///< log entry that started the move
  std::string handover;   ///< handover data of the previous owner's release; empty: none
  MSGPACK_DEFINE_ARRAY(keys, owner, fence, moving, move_to, moving_since, handover)

  /// Returns true if the records differ in their keys only.
  bool has_same_ownership(const RangeRecord& other) const;
};

/// The ranges of one service.
class KeyRangeMap {
 public:
  KeyRangeMap() = default;
  /// Creates one range of all keys, without an owner, under `fence`.
  explicit KeyRangeMap(Epoch fence);

  /// Returns the records by the first key of each range.
  const std::map<std::uint32_t, RangeRecord>& records() const { return records_; }
  /// Returns the record of the range that contains the key.
  const RangeRecord& record_of(std::uint32_t key) const;

  /// Marks `keys` as moving.
  /// @return false without any change unless one range with the fence `expected_fence` contains
  /// `keys`, has an owner and is not moving.
  bool begin_move(LogIndex index, const KeyRange& keys, Epoch expected_fence, BackendId to);
  /// Assigns `keys` to an owner (0: none).
  /// @return false without any change unless one range with the fence `expected_fence` contains
  /// `keys`.
  bool assign(LogIndex index, const KeyRange& keys, Epoch expected_fence, BackendId owner,
              std::string handover);

  /// Joins the ranges within `keys` into one range under a new fence. A single range keeps its
  /// handover data.
  /// @return false without any change unless `keys` covers whole ranges of `owner`, none of which
  /// is moving.
  bool join(LogIndex index, const KeyRange& keys, BackendId owner);

  MSGPACK_DEFINE_ARRAY(records_)

 private:
  /// Returns the record with this fence that contains all of `keys`, or nullptr.
  const RangeRecord* find(const KeyRange& keys, Epoch fence) const;
  /// Replaces the part of a range that has the record's keys, then merges adjacent ranges with the
  /// same ownership.
  void put(RangeRecord record);
  void merge_adjacent(std::uint32_t first);

  std::map<std::uint32_t, RangeRecord> records_;
};

}  // namespace planktray::ownership
