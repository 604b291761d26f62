#pragma once
/// What the leader has heard of the back ends that register themselves by heartbeats. It lives with
/// one term; what must survive is in the replicated state.

#include <cstdint>
#include <map>
#include <optional>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace planktray::membership {

struct HeartbeatOptions {
  /// A back end that was not heard for this long gets no keys.
  common::Duration silent_after = std::chrono::milliseconds(3500);
  /// One that was not heard for this long and owns nothing is forgotten.
  common::Duration forget_after = std::chrono::milliseconds(20'000);
  /// Safeguard: a heartbeat that comes after a newer one says nothing. Off only in mutants.
  bool refuse_late = true;
};

/// What a back end's heartbeats say of its start.
enum class Warmth : std::uint8_t { kUnknown, kCold, kWarm };

class HeartbeatMonitor {
 public:
  explicit HeartbeatMonitor(HeartbeatOptions options) : options_(options) {}

  /// Starts over: every back end has one silent_after to be heard.
  void begin_term(common::TimePoint now);
  /// @return false where this heartbeat, or a newer one of this incarnation, came before.
  /// @param cold_for how much longer the back end is cold by its own word.
  bool note_heartbeat(common::TimePoint now, const common::Incarnation& incarnation,
                      std::uint64_t sequence, common::Duration cold_for);
  /// It answered a call: as good as a heartbeat.
  void note_answer(common::TimePoint now, const common::Incarnation& incarnation);
  /// @param since a heartbeat heard before this says nothing.
  Warmth warmth(common::TimePoint now, const common::Incarnation& incarnation,
                common::TimePoint since) const;
  bool is_silent(common::TimePoint now, const common::Incarnation& incarnation) const;
  bool is_forgotten(common::TimePoint now, const common::Incarnation& incarnation) const;

 private:
  struct Heard {
    common::TimePoint at;
    std::optional<std::uint64_t> sequence;  ///< of its newest heartbeat
    common::TimePoint told_at;              ///< when that came
    common::TimePoint cold_until;           ///< by that heartbeat
  };

  common::TimePoint heard_at(const common::Incarnation& incarnation) const;

  HeartbeatOptions options_;
  common::TimePoint term_began_;
  std::map<common::Incarnation, Heard> heard_;
};

}  // namespace planktray::membership
