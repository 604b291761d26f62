#pragma once
/// Who owns which keys of one service, as contiguous ranges. Deterministic replicated state.
///
/// Invariants:
///  - The ranges cover all keys and do not overlap: a key has one record and at most one owner.
///  - The fence of a key is the index of the log entry that gave it to its owner; it only grows.
///  - Neighbours that differ in nothing are one range.

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

/// Keys from `first` to `last`, both inside.
struct KeyRange {
  std::uint32_t first = 0;
  std::uint32_t last = config::kKeyCount - 1;
  auto operator<=>(const KeyRange&) const = default;
  MSGPACK_DEFINE_ARRAY(first, last)

  std::uint32_t size() const { return last - first + 1; }
  bool contains(const KeyRange& other) const { return first <= other.first && other.last <= last; }
  bool overlaps(const KeyRange& other) const { return first <= other.last && other.first <= last; }
};

struct RangeRecord {
  KeyRange keys;
  BackendId owner;  ///< 0: nobody
  Epoch fence;
  /// The owner is to give the keys up: routers send it nothing more, and another owner follows once
  /// it has released them or can hold them no longer.
  bool moving = false;
  BackendId move_to;      ///< the owner intended next; 0: none yet
  LogIndex moving_since;  ///< entry from which routers send nothing more
  std::string handover;   ///< what the owner before gave with its release; empty: nothing
  MSGPACK_DEFINE_ARRAY(keys, owner, fence, moving, move_to, moving_since, handover)

  /// True where the two differ in their keys only.
  bool is_like(const RangeRecord& other) const;
};

class KeyRangeMap {
 public:
  KeyRangeMap() = default;
  /// All keys without an owner, under `fence`.
  explicit KeyRangeMap(Epoch fence);

  /// By the first key of each range.
  const std::map<std::uint32_t, RangeRecord>& records() const { return records_; }
  /// The record that holds a key.
  const RangeRecord& record_of(std::uint32_t key) const;

  /// Begins to take `keys`, part of one range, from their owner.
  /// @return false, and nothing changes, unless they are one owner's under `expected_fence`.
  bool begin_move(LogIndex index, const KeyRange& keys, Epoch expected_fence, BackendId to);
  /// Gives `keys`, part of one range, to an owner (0: to nobody). As above.
  bool assign(LogIndex index, const KeyRange& keys, Epoch expected_fence, BackendId owner,
              std::string handover);

  /// Makes one range of the ranges that fill `keys`, all of one owner and none moving.
  /// @return false, and nothing changes, unless they are so.
  bool join(LogIndex index, const KeyRange& keys, BackendId owner);

  MSGPACK_DEFINE_ARRAY(records_)

 private:
  /// The record that holds all of `keys` under this fence, or nullptr.
  const RangeRecord* find(const KeyRange& keys, Epoch fence) const;
  /// Puts a record in place of what was there, and joins it with like neighbours.
  void put(RangeRecord record);
  void join_neighbours(std::uint32_t first);

  std::map<std::uint32_t, RangeRecord> records_;
};

}  // namespace planktray::ownership
