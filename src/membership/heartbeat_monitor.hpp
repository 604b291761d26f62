#pragma once
/// The leader's contact times of the back ends that register themselves by heartbeats. They are
/// volatile and kept for one term; durable data is in the replicated state.

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace planktray::membership {

struct HeartbeatOptions {
  /// A back end without contact for this long is assigned no keys.
  common::Duration silent_after = std::chrono::milliseconds(3500);
  /// A back end without contact for this long that owns no keys is removed.
  common::Duration remove_after = std::chrono::milliseconds(20'000);
  /// Safeguard: a heartbeat that arrives after a newer one is ignored. Disabled only in mutants.
  bool refuse_late = true;
};

/// Whether a back end is still warming up, as reported by its heartbeats.
enum class Warmth : std::uint8_t { kUnknown, kCold, kWarm };

/// Detects back ends that have stopped sending heartbeats.
class HeartbeatMonitor {
 public:
  explicit HeartbeatMonitor(HeartbeatOptions options) : options_(options) {}

  /// Discards all contacts; each back end counts as contacted at `now`.
  void begin_term(common::TimePoint now);
  /// Records a heartbeat.
  /// @param cold_for remaining time until the back end is warm, as reported.
  /// @return false where this heartbeat or a newer one of this incarnation arrived before.
  bool note_heartbeat(common::TimePoint now, const common::Incarnation& incarnation,
                      std::uint64_t sequence, common::Duration cold_for);
  /// Records an answer to a call; counts as contact like a heartbeat, but reports no warmth.
  void note_answer(common::TimePoint now, const common::Incarnation& incarnation);
  /// @param since heartbeats received before this time are ignored.
  /// @return kUnknown where no later heartbeat was received.
  Warmth warmth(common::TimePoint now, const common::Incarnation& incarnation,
                common::TimePoint since) const;
  /// True where the last contact is longer ago than `silent_after`.
  bool is_silent(common::TimePoint now, const common::Incarnation& incarnation) const;
  /// True where the last contact is longer ago than `remove_after`.
  bool is_removable(common::TimePoint now, const common::Incarnation& incarnation) const;

 private:
  struct Contact {
    common::TimePoint at;                   ///< of the last heartbeat or answer
    std::optional<std::uint64_t> sequence;  ///< of the newest heartbeat
    common::TimePoint heartbeat_at;         ///< when the newest heartbeat arrived
    common::TimePoint cold_until;           ///< as reported by the newest heartbeat
  };

  /// The time of the last contact, or the start of the term where there was none since.
  common::TimePoint contacted_at(const common::Incarnation& incarnation) const;

  HeartbeatOptions options_;
  common::TimePoint term_start_;
  std::unordered_map<common::Incarnation, Contact> contacts_;
};

}  // namespace planktray::membership
