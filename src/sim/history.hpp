#pragma once
/// What an outside observer sees of a run, in true time. Checks read nothing else.
/// The simulator and the real-process runs fill the same types.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "routing/outcome.hpp"

namespace planktray::sim {

using common::TimePoint;

/// A caller sent a request.
struct RequestSent {
  std::string request;
  bool repeatable = false;
};
/// A caller was answered.
struct RequestTold {
  std::string request;
  routing::Outcome outcome = routing::Outcome::kUnknown;
  std::string answer_to;  ///< answered: the request that the body says it is for
  bool whole = true;      ///< answered: the body arrived to its end
};
/// A back end made the effect of a request.
struct Executed {
  std::string request;
  std::string machine;
  std::string incarnation;
  std::string shard;  ///< "tenant/service/number"; empty for services without keys
  std::uint64_t epoch = 0;
  TimePoint accepted;  ///< when the back end took the work
};
/// A back end would accept work for this shard from now on.
struct HoldBegan {
  std::string shard;
  std::string incarnation;
  std::uint64_t epoch = 0;
};
struct HoldEnded {
  std::string shard;
  std::string incarnation;
};
/// An operator sent a change of a declaration (the first time).
struct ChangeSent {
  std::string change;
  std::string name;
  std::uint64_t replaces = 0;
};
enum class ChangeVerdict : std::uint8_t { kAccepted, kConflict, kInvalid };
/// An operator got the answer to a change.
struct ChangeTold {
  std::string change;
  std::string name;
  ChangeVerdict verdict = ChangeVerdict::kAccepted;
  std::uint64_t revision = 0;  ///< accepted: the new one; conflict: the winner's
};
/// An operator read a declaration. `sent` is when it asked.
struct DeclarationRead {
  std::string name;
  TimePoint sent;
  std::uint64_t revision = 0;
  std::string change;  ///< the change that made this revision
};
/// An operator was told that this revision is in force everywhere.
struct InForceTold {
  std::string name;
  std::uint64_t revision = 0;
};
/// A router serves a tenant by this revision.
struct RouterServes {
  std::string router;
  std::string name;
  std::uint64_t revision = 0;
};
/// A router serves nothing from now on.
struct RouterStopped {
  std::string router;
};
/// A back end was told to leave, or its machine was listed as leaving or drained.
struct LeavingBegan {
  std::string machine;
};
/// The drain was taken back or the machine was replaced.
struct LeavingEnded {
  std::string machine;
};
/// A process stopped as planned with this many requests unfinished.
struct PlannedStop {
  std::string process;
  std::uint64_t unfinished = 0;
};
/// From here on no fault is active, and everything has to recover.
struct FaultsEnded {};
/// Whether everything serves again at the end of the run.
struct RecoveryJudged {
  bool recovered = false;
  std::string missing;
};

using Observation =
    std::variant<RequestSent, RequestTold, Executed, HoldBegan, HoldEnded, ChangeSent, ChangeTold,
                 DeclarationRead, InForceTold, RouterServes, RouterStopped, LeavingBegan,
                 LeavingEnded, PlannedStop, FaultsEnded, RecoveryJudged>;

struct HistoryEvent {
  TimePoint time;
  Observation what;
};

/// One readable line.
std::string to_string(const HistoryEvent& event);

class History {
 public:
  void add(TimePoint time, Observation what) { events_.push_back({time, std::move(what)}); }
  const std::vector<HistoryEvent>& events() const { return events_; }
  /// Digest of all events in order.
  std::uint64_t digest() const;

 private:
  std::vector<HistoryEvent> events_;
};

}  // namespace planktray::sim
