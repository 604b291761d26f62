#include "sim/checker.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

#include "common/codec.hpp"

namespace planktray::sim {
namespace {

using common::TimePoint;

/// Collects violations of one promise.
class Report {
 public:
  explicit Report(std::vector<Violation>& violations) : violations_(violations) {}

  void add(Promise promise, const HistoryEvent& event, std::string message,
           const std::vector<const HistoryEvent*>& earlier = {}) {
    Violation violation{promise, event.time, std::move(message), {}};
    for (const HistoryEvent* other : earlier) {
      if (other != nullptr) {
        violation.excerpt.push_back(to_string(*other));
      }
    }
    violation.excerpt.push_back(to_string(event));
    violations_.push_back(std::move(violation));
  }

 private:
  std::vector<Violation>& violations_;
};

// ---------------------------------------------------------------- ownership

struct Holder {
  std::string incarnation;
  const HistoryEvent* began = nullptr;
};

struct ShardHistory {
  std::map<std::string, const HistoryEvent*> holders;  ///< by incarnation
  std::map<std::uint64_t, Holder> by_epoch;            ///< everybody who ever held it
  std::map<std::uint64_t, Holder> executed;            ///< who executed under each epoch
};

void check_begin(const HistoryEvent& event, const HoldBegan& hold, ShardHistory& shard,
                 Report& report) {
  for (const auto& [incarnation, began] : shard.holders) {
    if (incarnation != hold.incarnation) {
      report.add(Promise::kSoleOwner, event, "two holders of " + hold.shard, {began});
    }
  }
  shard.holders[hold.incarnation] = &event;
  const auto same = shard.by_epoch.find(hold.epoch);
  if (same != shard.by_epoch.end() && same->second.incarnation != hold.incarnation) {
    report.add(Promise::kAssignmentSurvives, event, "one epoch was given to two owners",
               {same->second.began});
  }
  const auto newer = shard.by_epoch.upper_bound(hold.epoch);
  if (newer != shard.by_epoch.end()) {
    report.add(Promise::kAssignmentSurvives, event, "an older assignment came back",
               {newer->second.began});
  }
  shard.by_epoch.emplace(hold.epoch, Holder{hold.incarnation, &event});
}

/// Reports where `known` has a newer epoch, or another incarnation under the same epoch.
void check_against(const HistoryEvent& event, const Executed& executed,
                   const std::map<std::uint64_t, Holder>& known, Report& report) {
  const auto newer = known.upper_bound(executed.epoch);
  if (newer != known.end()) {
    report.add(Promise::kSoleOwner, event, "executed after the shard had a newer owner",
               {newer->second.began});
  }
  const auto same = known.find(executed.epoch);
  if (same != known.end() && same->second.incarnation != executed.incarnation) {
    report.add(Promise::kSoleOwner, event, "executed under the epoch of another owner",
               {same->second.began});
  }
}

void check_execution(const HistoryEvent& event, const Executed& executed, ShardHistory& shard,
                     Report& report) {
  check_against(event, executed, shard.by_epoch, report);
  check_against(event, executed, shard.executed, report);
  shard.executed.emplace(executed.epoch, Holder{executed.incarnation, &event});
}

void check_ownership(const History& history, Report& report) {
  std::map<std::string, ShardHistory> shards;
  for (const HistoryEvent& event : history.events()) {
    if (const auto* began = std::get_if<HoldBegan>(&event.what)) {
      check_begin(event, *began, shards[began->shard], report);
    } else if (const auto* ended = std::get_if<HoldEnded>(&event.what)) {
      shards[ended->shard].holders.erase(ended->incarnation);
    } else if (const auto* executed = std::get_if<Executed>(&event.what)) {
      if (!executed->shard.empty()) {
        check_execution(event, *executed, shards[executed->shard], report);
      }
    }
  }
}

// ---------------------------------------------------------------- requests

struct RequestHistory {
  bool repeatable = false;
  std::vector<const HistoryEvent*> executions;
  const HistoryEvent* refused = nullptr;
};

void check_answer(const HistoryEvent& event, const RequestTold& told, const RequestHistory& request,
                  Report& report) {
  if (told.answer_to != told.request) {
    report.add(Promise::kOwnAnswer, event, "a caller got the answer to another request");
  }
  if (!told.whole) {
    report.add(Promise::kOwnAnswer, event, "a caller got a part of its answer");
  }
  if (request.executions.empty()) {
    report.add(Promise::kOwnAnswer, event, "a caller got an answer to what had not run");
  }
}

void check_requests(const History& history, Report& report) {
  std::map<std::string, RequestHistory> requests;
  for (const HistoryEvent& event : history.events()) {
    if (const auto* sent = std::get_if<RequestSent>(&event.what)) {
      requests[sent->request].repeatable = sent->repeatable;
    } else if (const auto* executed = std::get_if<Executed>(&event.what)) {
      RequestHistory& request = requests[executed->request];
      request.executions.push_back(&event);
      if (request.refused != nullptr) {
        report.add(Promise::kNotRunIsTrue, event, "ran after it was refused as not run",
                   {request.refused});
      }
      if (!request.repeatable && request.executions.size() > 1) {
        report.add(Promise::kAtMostOnce, event, "ran more than once", {request.executions.front()});
      }
    } else if (const auto* told = std::get_if<RequestTold>(&event.what)) {
      RequestHistory& request = requests[told->request];
      if (told->outcome == routing::Outcome::kAnswered) {
        check_answer(event, *told, request, report);
      } else if (told->outcome == routing::Outcome::kNotRun) {
        request.refused = &event;
        if (!request.executions.empty()) {
          report.add(Promise::kNotRunIsTrue, event, "refused as not run, but it had run",
                     {request.executions.front()});
        }
      }
    }
  }
}

// ---------------------------------------------------------------- leaving and stops

void check_leaving(const History& history, const CheckLimits& limits, Report& report) {
  std::map<std::string, const HistoryEvent*> leaving;
  for (const HistoryEvent& event : history.events()) {
    if (const auto* began = std::get_if<LeavingBegan>(&event.what)) {
      leaving.emplace(began->machine, &event);
    } else if (const auto* ended = std::get_if<LeavingEnded>(&event.what)) {
      leaving.erase(ended->machine);
    } else if (const auto* executed = std::get_if<Executed>(&event.what)) {
      const auto found = leaving.find(executed->machine);
      if (found != leaving.end() && executed->accepted > found->second->time + limits.leaving) {
        report.add(Promise::kLeavingGetsNoWork, event, "a leaving back end took new work",
                   {found->second});
      }
    } else if (const auto* stop = std::get_if<PlannedStop>(&event.what)) {
      if (stop->unfinished > 0) {
        report.add(Promise::kPlannedStopCutsNothing, event, "a planned stop cut requests");
      }
    }
  }
}

// ---------------------------------------------------------------- configuration

/// What one router serves of one declaration.
struct Service {
  std::uint64_t revision = 0;
  const HistoryEvent* event = nullptr;
};

class InForceCheck {
 public:
  InForceCheck(const CheckLimits& limits, Report& report) : limits_(limits), report_(report) {}

  void run(const History& history) {
    for (const HistoryEvent& event : history.events()) {
      judge_deadlines(event);
      std::visit(common::Overloaded{[&](const auto& what) { take(event, what); }}, event.what);
    }
  }

 private:
  struct Deadline {
    std::string name;
    std::uint64_t revision = 0;
    const HistoryEvent* accepted = nullptr;
  };
  using RouterAndName = std::pair<std::string, std::string>;

  template <typename T>
  void take(const HistoryEvent& /*event*/, const T& /*what*/) {}

  void take(const HistoryEvent& event, const ChangeTold& told) {
    if (told.verdict == ChangeVerdict::kAccepted) {
      deadlines_.emplace(event.time + limits_.in_force, Deadline{told.name, told.revision, &event});
    }
  }
  void take(const HistoryEvent& event, const RouterServes& serves) {
    const RouterAndName key{serves.router, serves.name};
    const Service before = newest_[key];
    if (serves.revision < before.revision) {
      report_.add(Promise::kNeverReverts, event, "a router went back to an older revision",
                  {before.event});
    }
    const Service& told = told_[serves.name];
    if (serves.revision < told.revision) {
      report_.add(Promise::kNeverReverts, event, "a router serves less than was told in force",
                  {told.event});
    }
    newest_[key] = {serves.revision, &event};
    serving_[key] = {serves.revision, &event};
  }
  void take(const HistoryEvent& /*event*/, const RouterStopped& stopped) {
    std::erase_if(serving_, [&](const auto& item) { return item.first.first == stopped.router; });
  }
  void take(const HistoryEvent& event, const InForceTold& told) {
    if (told.revision >= told_[told.name].revision) {
      told_[told.name] = {told.revision, &event};
    }
    for (const auto& [key, service] : serving_) {
      if (key.second == told.name && service.revision < told.revision) {
        report_.add(Promise::kInForceInTime, event, "told in force before it was", {service.event});
      }
    }
  }

  void judge_deadlines(const HistoryEvent& event) {
    while (!deadlines_.empty() && deadlines_.begin()->first < event.time) {
      const Deadline& deadline = deadlines_.begin()->second;
      for (const auto& [key, service] : serving_) {
        if (key.second == deadline.name && service.revision < deadline.revision) {
          report_.add(Promise::kInForceInTime, event, "a router serves an old revision too long",
                      {deadline.accepted, service.event});
        }
      }
      deadlines_.erase(deadlines_.begin());
    }
  }

  CheckLimits limits_;
  Report& report_;
  std::multimap<TimePoint, Deadline> deadlines_;
  std::map<RouterAndName, Service> newest_;
  std::map<RouterAndName, Service> serving_;
  std::map<std::string, Service> told_;
};

/// Linearizability of one declaration as a register with versions (Herlihy and Wing, 1990). Every
/// accepted change carries its place in the order, so it is enough that real time agrees with it.
class RegisterCheck {
 public:
  explicit RegisterCheck(Report& report) : report_(report) {}

  void run(const History& history) {
    for (const HistoryEvent& event : history.events()) {
      if (const auto* sent = std::get_if<ChangeSent>(&event.what)) {
        take(event, *sent);
      } else if (const auto* told = std::get_if<ChangeTold>(&event.what)) {
        take(event, *told);
      } else if (const auto* read = std::get_if<DeclarationRead>(&event.what)) {
        take(event, *read);
      }
    }
  }

 private:
  struct Known {
    std::uint64_t revision = 0;
    const HistoryEvent* event = nullptr;
  };
  struct Change {
    const HistoryEvent* sent = nullptr;
    const HistoryEvent* told = nullptr;
    Known floor;  ///< the newest revision known to anybody when it was sent
  };

  void take(const HistoryEvent& event, const ChangeSent& sent) {
    Change& change = changes_[sent.change];
    if (change.sent == nullptr) {
      change.sent = &event;
      change.floor = newest_[sent.name];
    }
  }

  void take(const HistoryEvent& event, const ChangeTold& told) {
    Change& change = changes_[told.change];
    check_same_answer(event, told, change);
    change.told = &event;
    if (told.verdict == ChangeVerdict::kAccepted) {
      if (told.revision <= change.floor.revision) {
        report_.add(Promise::kNeverReverts, event, "accepted at a revision that was taken before",
                    {change.floor.event, change.sent});
      }
      bind(event, told.name, told.revision, told.change);
      learn(event, told.name, told.revision);
    } else {
      refused_[told.change] = &event;
    }
  }

  void take(const HistoryEvent& event, const DeclarationRead& read) {
    const Known floor = floor_at(read.name, read.sent);
    if (read.revision < floor.revision) {
      report_.add(Promise::kNeverReverts, event, "a read went back behind an answer before it",
                  {floor.event});
    }
    if (read.revision > 0) {
      bind(event, read.name, read.revision, read.change);
      const auto refused = refused_.find(read.change);
      if (refused != refused_.end()) {
        report_.add(Promise::kNeverReverts, event, "a refused change is in force",
                    {refused->second});
      }
    }
    learn(event, read.name, read.revision);
  }

  void check_same_answer(const HistoryEvent& event, const ChangeTold& told, const Change& change) {
    if (change.told == nullptr) {
      return;
    }
    const auto& first = std::get<ChangeTold>(change.told->what);
    if (first.verdict != told.verdict || first.revision != told.revision) {
      report_.add(Promise::kNeverReverts, event, "a resend got another answer", {change.told});
    }
  }

  /// A revision belongs to one change for ever.
  void bind(const HistoryEvent& event, const std::string& name, std::uint64_t revision,
            const std::string& change) {
    const auto [found, added] =
        owners_.emplace(std::pair(name, revision), std::pair(change, &event));
    if (!added && found->second.first != change) {
      report_.add(Promise::kNeverReverts, event, "one revision stands for two changes",
                  {found->second.second});
    }
  }

  void learn(const HistoryEvent& event, const std::string& name, std::uint64_t revision) {
    Known& newest = newest_[name];
    if (newest.event == nullptr || revision > newest.revision) {
      newest = {revision, &event};
      steps_[name].push_back(newest);
    }
  }

  Known floor_at(const std::string& name, TimePoint time) {
    Known floor;
    for (const Known& step : steps_[name]) {
      if (step.event->time < time) {
        floor = step;
      }
    }
    return floor;
  }

  Report& report_;
  std::map<std::string, Change> changes_;
  std::map<std::string, const HistoryEvent*> refused_;
  std::map<std::string, Known> newest_;
  std::map<std::string, std::vector<Known>> steps_;
  std::map<std::pair<std::string, std::uint64_t>, std::pair<std::string, const HistoryEvent*>>
      owners_;
};

void check_recovery(const History& history, Report& report) {
  for (const HistoryEvent& event : history.events()) {
    const auto* judged = std::get_if<RecoveryJudged>(&event.what);
    if (judged != nullptr && !judged->recovered) {
      report.add(Promise::kRecovers, event, judged->missing);
    }
  }
}

}  // namespace

std::string_view to_string(Promise promise) {
  switch (promise) {
    case Promise::kSoleOwner:
      return "sole-owner";
    case Promise::kAssignmentSurvives:
      return "assignment-survives";
    case Promise::kOwnAnswer:
      return "own-answer";
    case Promise::kNotRunIsTrue:
      return "not-run-is-true";
    case Promise::kAtMostOnce:
      return "at-most-once";
    case Promise::kLeavingGetsNoWork:
      return "leaving-gets-no-work";
    case Promise::kPlannedStopCutsNothing:
      return "planned-stop-cuts-nothing";
    case Promise::kInForceInTime:
      return "in-force-in-time";
    case Promise::kNeverReverts:
      return "never-reverts";
    case Promise::kRecovers:
      return "recovers";
  }
  return "";
}

std::vector<Violation> check_history(const History& history, const CheckLimits& limits) {
  std::vector<Violation> violations;
  Report report(violations);
  check_ownership(history, report);
  check_requests(history, report);
  check_leaving(history, limits, report);
  InForceCheck(limits, report).run(history);
  RegisterCheck(report).run(history);
  check_recovery(history, report);
  return violations;
}

}  // namespace planktray::sim
