#pragma once
/// Accounts for the bytes that the connections of a process hold, and decides which of them give
/// theirs up when the memory of the machine would not suffice.
///
/// A pure state machine: its inputs are what each holder says of itself and times, its output is
/// whether a request is admitted and which holder is revoked.
///
/// Invariants:
///  - A part of the capacity is kept for small messages: large ones never take it.
///  - Only holders whose peer has something left to do are revoked: a request that is not complete,
///    or a response that its client does not read. A request that runs is never revoked.
///  - Those that make no progress are revoked before any other is refused.

#include <cstddef>
#include <list>
#include <optional>

#include "common/time.hpp"

namespace planktray::limits {

using common::Duration;
using common::TimePoint;

/// Larger messages count as large.
inline constexpr std::size_t kSmallMessageBytes = std::size_t{64} * 1024;
/// The part of the capacity that is kept for small messages is 1 / this.
inline constexpr std::size_t kSmallPart = 8;
/// A holder whose peer has made no progress for this long is stalled.
inline constexpr Duration kStallTime = std::chrono::milliseconds(1000);
/// Bytes that count as progress of a slow peer.
inline constexpr std::size_t kProgressBytes = std::size_t{16} * 1024;

/// Whose turn it is.
enum class Phase {
  kReceiving,  ///< the peer has to send the rest of its message
  kRunning,    ///< nothing is left for the peer to do
  kSending,    ///< the peer has to read what is sent to it
};

/// What a holder says of itself.
struct Holding {
  Phase phase = Phase::kRunning;
  std::size_t bytes = 0;      ///< held now
  std::size_t announced = 0;  ///< total size of the message, if the peer has stated it; else 0
  TimePoint last_progress{};  ///< when the peer last did its part
};

/// Role of those that hold memory.
class MemoryHolder {
 public:
  MemoryHolder() = default;
  MemoryHolder(const MemoryHolder&) = delete;
  MemoryHolder& operator=(const MemoryHolder&) = delete;
  virtual ~MemoryHolder() = default;
  /// Gives up what is held for the peer. Updates the holder's share.
  virtual void revoke_memory() = 0;
};

class MemoryAccount {
 public:
  /// A holder's entry; ends with its holder.
  class Share {
   public:
    /// @param account null: nothing is accounted for.
    Share(MemoryAccount* account, MemoryHolder& holder);
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;
    ~Share();
    void set(const Holding& holding);

   private:
    friend class MemoryAccount;
    MemoryAccount* account_;
    MemoryHolder& holder_;
    Holding holding_;
    std::list<Share*>::iterator place_;
  };

  /// @param capacity in bytes; 0: unlimited.
  explicit MemoryAccount(std::size_t capacity) : capacity_(capacity) {}
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  /// Returns whether a large message of this many bytes may be received. Revokes stalled holders if
  /// that makes room.
  bool admit_large(TimePoint now, std::size_t bytes);
  /// Returns whether the account is within its limits, also for the holder of this share if that is
  /// large. Revokes other holders that are stalled if that makes room. If the result is false, the
  /// caller has to give up what its share holds.
  bool keep_within(TimePoint now, const Share& grown);

  std::size_t capacity() const { return capacity_; }
  /// Bytes that large messages may take together.
  std::size_t large_capacity() const { return capacity_ - capacity_ / kSmallPart; }
  std::size_t held() const { return held_; }
  /// Number of holders that were revoked.
  std::uint64_t revoked() const { return revoked_; }

 private:
  /// Bytes that a holding is expected to reach soon.
  static std::size_t expected(const Holding& holding);
  static bool is_stalled(const Holding& holding, TimePoint now);
  /// Revokes the stalled holder that holds most for longest, other than `spared`. @return false if
  /// there is none.
  bool revoke_one(TimePoint now, const Share* spared);
  void add(const Holding& holding);
  void subtract(const Holding& holding);

  std::size_t capacity_;
  std::size_t held_ = 0;
  std::size_t expected_ = 0;  ///< sum of what is expected of all holders
  std::uint64_t revoked_ = 0;
  std::list<Share*> shares_;
};

/// Returns the bytes that connections may hold on a machine with this memory; 0 (unlimited) if it
/// is not stated. The rest is for the program, its tables and the allocator.
std::size_t connection_memory(std::size_t machine_bytes);

}  // namespace planktray::limits
