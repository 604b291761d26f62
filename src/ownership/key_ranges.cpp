#include "ownership/key_ranges.hpp"

#include <iterator>
#include <tuple>
#include <utility>

namespace planktray::ownership {

bool RangeRecord::has_same_ownership(const RangeRecord& other) const {
  return std::tie(owner, fence, moving, move_to, moving_since, handover) ==
         std::tie(other.owner, other.fence, other.moving, other.move_to, other.moving_since,
                  other.handover);
}

KeyRangeMap::KeyRangeMap(Epoch fence) {
  RangeRecord all;
  all.fence = fence;
  records_[all.keys.first] = all;
}

const RangeRecord& KeyRangeMap::record_of(std::uint32_t key) const {
  return std::prev(records_.upper_bound(key))->second;
}

const RangeRecord* KeyRangeMap::find(const KeyRange& keys, Epoch fence) const {
  if (records_.empty() || keys.first > keys.last || keys.last >= config::kKeyCount) {
    return nullptr;
  }
  const RangeRecord& record = record_of(keys.first);
  return record.fence == fence && record.keys.contains(keys) ? &record : nullptr;
}

bool KeyRangeMap::begin_move(LogIndex index, const KeyRange& keys, Epoch expected_fence,
                             BackendId to) {
  const RangeRecord* current = find(keys, expected_fence);
  if (current == nullptr || current->moving || current->owner.value == 0) {
    return false;
  }
  RangeRecord record = *current;
  record.keys = keys;
  record.moving = true;
  record.move_to = to;
  record.moving_since = index;
  put(std::move(record));
  return true;
}

bool KeyRangeMap::assign(LogIndex index, const KeyRange& keys, Epoch expected_fence,
                         BackendId owner, std::string handover) {
  if (find(keys, expected_fence) == nullptr) {
    return false;
  }
  RangeRecord record;
  record.keys = keys;
  record.owner = owner;
  record.fence = Epoch(index.value);
  record.handover = std::move(handover);
  put(std::move(record));
  return true;
}

bool KeyRangeMap::join(LogIndex index, const KeyRange& keys, BackendId owner) {
  const auto first = records_.find(keys.first);
  auto end = first;
  std::uint32_t next = keys.first;
  while (end != records_.end() && next <= keys.last) {
    const RangeRecord& record = end->second;
    if (record.owner != owner || record.moving || record.keys.last > keys.last) {
      return false;
    }
    next = record.keys.last + 1;
    ++end;
  }
  if (first == records_.end() || next != keys.last + 1) {
    return false;
  }
  RangeRecord joined;
  joined.keys = keys;
  if (std::next(first) == end) {
    joined.handover = first->second.handover;  // its first grant may not have been sent yet
  }
  joined.owner = owner;
  joined.fence = Epoch(index.value);
  records_.erase(first, end);
  records_[keys.first] = joined;
  return true;
}

void KeyRangeMap::put(RangeRecord record) {
  const auto found = std::prev(records_.upper_bound(record.keys.first));
  const RangeRecord whole = found->second;
  records_.erase(found);
  if (whole.keys.first < record.keys.first) {
    RangeRecord before = whole;
    before.keys.last = record.keys.first - 1;
    records_[before.keys.first] = before;
  }
  if (record.keys.last < whole.keys.last) {
    RangeRecord after = whole;
    after.keys.first = record.keys.last + 1;
    records_[after.keys.first] = after;
  }
  const std::uint32_t first = record.keys.first;
  records_[first] = std::move(record);
  merge_adjacent(first);
}

void KeyRangeMap::merge_adjacent(std::uint32_t first) {
  auto record = records_.find(first);
  const auto next = std::next(record);
  if (next != records_.end() && next->second.has_same_ownership(record->second)) {
    record->second.keys.last = next->second.keys.last;
    records_.erase(next);
  }
  if (record == records_.begin()) {
    return;
  }
  const auto before = std::prev(record);
  if (before->second.has_same_ownership(record->second)) {
    before->second.keys.last = record->second.keys.last;
    records_.erase(record);
  }
}

}  // namespace planktray::ownership
