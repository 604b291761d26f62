#include "limits/memory_account.hpp"

#include <algorithm>

namespace planktray::limits {
namespace {

/// Bytes that a holder may receive before it is looked at again, beside as many as it holds.
constexpr std::size_t kLookAheadBytes = std::size_t{1} << 20U;
/// Memory of the program itself, at least.
constexpr std::size_t kProgramBytes = std::size_t{24} << 20U;
/// Part of a machine's memory for the program, its tables and the allocator is 1 / this.
constexpr std::size_t kProgramPart = 5;
/// On a machine with too little memory for the program, connections still get 1 / this.
constexpr std::size_t kLeastPart = 4;

}  // namespace

std::size_t connection_memory(std::size_t machine_bytes) {
  if (machine_bytes == 0) {
    return 0;
  }
  const std::size_t program = std::max(kProgramBytes, machine_bytes / kProgramPart);
  const std::size_t least = std::max<std::size_t>(1, machine_bytes / kLeastPart);
  return machine_bytes > program ? std::max(machine_bytes - program, least) : least;
}

MemoryAccount::Share::Share(MemoryAccount* account, MemoryHolder& holder)
    : account_(account), holder_(holder) {
  if (account_ != nullptr) {
    place_ = account_->shares_.insert(account_->shares_.end(), this);
  }
}

MemoryAccount::Share::~Share() {
  if (account_ != nullptr) {
    account_->subtract(holding_);
    account_->shares_.erase(place_);
  }
}

void MemoryAccount::Share::set(const Holding& holding) {
  if (account_ != nullptr) {
    account_->subtract(holding_);
    account_->add(holding);
  }
  holding_ = holding;
}

std::size_t MemoryAccount::expected(const Holding& holding) {
  if (holding.phase != Phase::kReceiving) {
    return std::max(holding.bytes, holding.announced);
  }
  // A client that announces much and sends little reserves little.
  const std::size_t soon = 2 * holding.bytes + kLookAheadBytes;
  return std::max(holding.bytes, std::min(holding.announced, soon));
}

bool MemoryAccount::is_stalled(const Holding& holding, TimePoint now) {
  return holding.phase != Phase::kRunning && now - holding.last_progress >= kStallTime;
}

void MemoryAccount::add(const Holding& holding) {
  held_ += holding.bytes;
  expected_ += expected(holding);
}

void MemoryAccount::subtract(const Holding& holding) {
  held_ -= holding.bytes;
  expected_ -= expected(holding);
}

bool MemoryAccount::admit_large(TimePoint now, std::size_t bytes) {
  if (capacity_ == 0) {
    return true;
  }
  if (bytes > large_capacity()) {
    return false;
  }
  while (expected_ + bytes > large_capacity()) {
    if (!revoke_one(now, nullptr)) {
      return false;
    }
  }
  return true;
}

bool MemoryAccount::keep_within(TimePoint now, const Share& grown) {
  if (capacity_ == 0) {
    return true;
  }
  const bool is_large = grown.holding_.bytes > kSmallMessageBytes;
  const std::size_t limit = is_large ? large_capacity() : capacity_;
  while (held_ > limit) {
    if (!revoke_one(now, &grown)) {
      return false;
    }
  }
  return true;
}

bool MemoryAccount::revoke_one(TimePoint now, const Share* spared) {
  const auto cost = [now](const Share& share) {
    const double waited = std::chrono::duration<double>(now - share.holding_.last_progress).count();
    return static_cast<double>(expected(share.holding_)) * waited;
  };
  Share* worst = nullptr;
  for (Share* share : shares_) {
    const bool is_candidate =
        share != spared && share->holding_.bytes > 0 && is_stalled(share->holding_, now);
    if (is_candidate && (worst == nullptr || cost(*share) > cost(*worst))) {
      worst = share;
    }
  }
  if (worst == nullptr) {
    return false;
  }
  ++revoked_;
  const std::size_t before = held_ + expected_;
  worst->holder_.revoke_memory();
  return held_ + expected_ < before;
}

}  // namespace planktray::limits
