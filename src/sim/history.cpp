#include "sim/history.hpp"

#include <sstream>

#include "common/codec.hpp"
#include "common/hash.hpp"

namespace planktray::sim {
namespace {

std::string_view to_string(ChangeVerdict verdict) {
  switch (verdict) {
    case ChangeVerdict::kAccepted:
      return "accepted";
    case ChangeVerdict::kConflict:
      return "conflict";
    case ChangeVerdict::kInvalid:
      return "invalid";
  }
  return "";
}

void write(std::ostream& out, const RequestSent& event) {
  out << "request " << event.request << (event.repeatable ? " repeatable" : " at-most-once");
}
void write(std::ostream& out, const RequestTold& event) {
  out << "told " << event.request << ' ' << routing::to_string(event.outcome);
  if (event.outcome == routing::Outcome::kAnswered) {
    out << " with the answer to " << event.answer_to << (event.whole ? "" : " cut short");
  }
}
void write(std::ostream& out, const Executed& event) {
  out << "executed " << event.request << " by " << event.incarnation;
  if (!event.shard.empty()) {
    out << " shard " << event.shard << " epoch " << event.epoch;
  }
  out << " accepted at " << common::to_microseconds(event.accepted);
}
void write(std::ostream& out, const HoldBegan& event) {
  out << "hold begins " << event.shard << " by " << event.incarnation << " epoch " << event.epoch;
}
void write(std::ostream& out, const HoldEnded& event) {
  out << "hold ends " << event.shard << " by " << event.incarnation;
}
void write(std::ostream& out, const ChangeSent& event) {
  out << "change " << event.change << " of " << event.name << " replaces " << event.replaces;
}
void write(std::ostream& out, const ChangeTold& event) {
  out << "change " << event.change << " of " << event.name << " told " << to_string(event.verdict)
      << " revision " << event.revision;
}
void write(std::ostream& out, const DeclarationRead& event) {
  out << "read " << event.name << " revision " << event.revision << " by change " << event.change
      << " asked at " << common::to_microseconds(event.sent);
}
void write(std::ostream& out, const InForceTold& event) {
  out << "in force told " << event.name << " revision " << event.revision;
}
void write(std::ostream& out, const RouterServes& event) {
  out << "router " << event.router << " serves " << event.name << " revision " << event.revision;
}
void write(std::ostream& out, const RouterStopped& event) {
  out << "router " << event.router << " serves nothing";
}
void write(std::ostream& out, const LeavingBegan& event) { out << "leaving " << event.machine; }
void write(std::ostream& out, const LeavingEnded& event) {
  out << "leaving ended " << event.machine;
}
void write(std::ostream& out, const PlannedStop& event) {
  out << "planned stop " << event.process << " unfinished " << event.unfinished;
}
void write(std::ostream& out, const FaultsEnded& /*event*/) { out << "faults ended"; }
void write(std::ostream& out, const RecoveryJudged& event) {
  out << (event.recovered ? "recovered" : "not recovered: " + event.missing);
}

}  // namespace

std::string to_string(const HistoryEvent& event) {
  std::ostringstream out;
  out << common::to_microseconds(event.time) << "us ";
  std::visit([&out](const auto& what) { write(out, what); }, event.what);
  return out.str();
}

std::uint64_t History::digest() const {
  std::uint64_t digest = 0;
  for (const HistoryEvent& event : events_) {
    digest = common::hash_bytes(to_string(event), digest);
  }
  return digest;
}

}  // namespace planktray::sim
