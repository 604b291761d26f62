/// The history checks on hand-written histories: a good one passes, and each bad one is caught by
/// the check of its promise and by no other.

#include "sim/checker.hpp"

#include <doctest/doctest.h>

namespace planktray::sim {
namespace {

using routing::Outcome;

TimePoint at(std::int64_t milliseconds) { return common::from_microseconds(milliseconds * 1000); }

constexpr const char* kShard = "t/s/1";
constexpr const char* kName = "tenant/t";

History good_history() {
  History history;
  history.add(at(1), HoldBegan{kShard, "a#1", 5});
  history.add(at(2), RequestSent{"r1", false});
  history.add(at(3), Executed{"r1", "a", "a#1", kShard, 5, at(2)});
  history.add(at(4), RequestTold{"r1", Outcome::kAnswered, "r1", true});
  history.add(at(5), HoldEnded{kShard, "a#1"});
  history.add(at(6), HoldBegan{kShard, "b#1", 9});
  history.add(at(7), RequestSent{"r2", false});
  history.add(at(8), RequestTold{"r2", Outcome::kNotRun, "", true});
  history.add(at(10), ChangeSent{"c1", kName, 0});
  history.add(at(11), ChangeTold{"c1", kName, ChangeVerdict::kAccepted, 1});
  history.add(at(12), RouterServes{"router", kName, 1});
  history.add(at(13), InForceTold{kName, 1});
  history.add(at(14), DeclarationRead{kName, at(13), 1, "c1"});
  history.add(at(15), ChangeSent{"c2", kName, 1});
  history.add(at(16), ChangeTold{"c2", kName, ChangeVerdict::kAccepted, 2});
  history.add(at(17), RouterServes{"router", kName, 2});
  history.add(at(20), LeavingBegan{"a"});
  history.add(at(30), PlannedStop{"a#1", 0});
  history.add(at(40), RecoveryJudged{true, ""});
  return history;
}

/// Appends `events` to a good history and expects exactly this promise to be violated.
void expect(Promise promise, const std::vector<HistoryEvent>& events) {
  History history = good_history();
  for (const HistoryEvent& event : events) {
    history.add(event.time, event.what);
  }
  const std::vector<Violation> violations = check_history(history);
  REQUIRE_FALSE(violations.empty());
  for (const Violation& violation : violations) {
    CHECK(to_string(violation.promise) == to_string(promise));
    CHECK_FALSE(violation.excerpt.empty());
  }
}

TEST_CASE("a good history passes") { CHECK(check_history(good_history()).empty()); }

TEST_CASE("two holders of one shard") {
  expect(Promise::kSoleOwner, {{at(50), HoldBegan{kShard, "c#1", 12}}});
}

TEST_CASE("execution after a newer owner began") {
  expect(Promise::kSoleOwner, {{at(50), RequestSent{"r9", false}},
                               {at(51), Executed{"r9", "a", "a#1", kShard, 5, at(50)}}});
}

TEST_CASE("executions alone show two owners, where holdings cannot be seen") {
  History history;
  history.add(at(1), Executed{"r1", "a", "a#1", kShard, 7, at(1)});
  history.add(at(2), Executed{"r2", "b", "b#1", kShard, 5, at(2)});
  history.add(at(3), Executed{"r3", "b", "b#1", kShard, 7, at(3)});
  CHECK(check_history(history).size() == 2);
}

TEST_CASE("an older assignment comes back") {
  expect(Promise::kAssignmentSurvives,
         {{at(50), HoldEnded{kShard, "b#1"}}, {at(51), HoldBegan{kShard, "a#1", 5}}});
}

TEST_CASE("one epoch is given to two owners") {
  expect(Promise::kAssignmentSurvives,
         {{at(50), HoldEnded{kShard, "b#1"}}, {at(51), HoldBegan{kShard, "c#1", 9}}});
}

TEST_CASE("an answer to another request") {
  expect(Promise::kOwnAnswer, {{at(50), RequestSent{"r9", true}},
                               {at(51), Executed{"r9", "a", "a#1", "", 0, at(50)}},
                               {at(52), RequestTold{"r9", Outcome::kAnswered, "r1", true}}});
}

TEST_CASE("half an answer") {
  expect(Promise::kOwnAnswer, {{at(50), RequestSent{"r9", true}},
                               {at(51), Executed{"r9", "a", "a#1", "", 0, at(50)}},
                               {at(52), RequestTold{"r9", Outcome::kAnswered, "r9", false}}});
}

TEST_CASE("an answer to what never ran") {
  expect(Promise::kOwnAnswer, {{at(50), RequestSent{"r9", true}},
                               {at(52), RequestTold{"r9", Outcome::kAnswered, "r9", true}}});
}

TEST_CASE("not run, but it had run") {
  expect(Promise::kNotRunIsTrue, {{at(50), RequestSent{"r9", true}},
                                  {at(51), Executed{"r9", "a", "a#1", "", 0, at(50)}},
                                  {at(52), RequestTold{"r9", Outcome::kNotRun, "", true}}});
}

TEST_CASE("not run, and it runs later") {
  expect(Promise::kNotRunIsTrue, {{at(50), Executed{"r2", "a", "a#1", "", 0, at(50)}}});
}

TEST_CASE("run twice") {
  expect(Promise::kAtMostOnce, {{at(50), RequestSent{"r9", false}},
                                {at(51), Executed{"r9", "a", "a#1", "", 0, at(50)}},
                                {at(52), Executed{"r9", "b", "b#1", "", 0, at(51)}}});
}

TEST_CASE("a repeatable request may run twice") {
  History history = good_history();
  history.add(at(50), RequestSent{"r9", true});
  history.add(at(51), Executed{"r9", "a", "a#1", "", 0, at(50)});
  history.add(at(52), Executed{"r9", "b", "b#1", "", 0, at(51)});
  CHECK(check_history(history).empty());
}

TEST_CASE("work for a leaving back end") {
  expect(Promise::kLeavingGetsNoWork, {{at(6000), RequestSent{"r9", true}},
                                       {at(6001), Executed{"r9", "a", "a#1", "", 0, at(6000)}}});
}

TEST_CASE("work that a leaving back end took in time may end late") {
  History history = good_history();
  history.add(at(4000), RequestSent{"r9", true});
  history.add(at(9000), Executed{"r9", "a", "a#1", "", 0, at(4000)});
  CHECK(check_history(history).empty());
}

TEST_CASE("a planned stop that cuts a request") {
  expect(Promise::kPlannedStopCutsNothing, {{at(50), PlannedStop{"b#1", 1}}});
}

TEST_CASE("an old revision is served too long") {
  expect(Promise::kInForceInTime, {{at(50), RouterServes{"late", kName, 1}},
                                   {at(51), ChangeSent{"c3", kName, 2}},
                                   {at(17000), RecoveryJudged{true, ""}}});
}

TEST_CASE("told in force while a router serves less") {
  expect(Promise::kInForceInTime, {{at(50), InForceTold{kName, 3}}});
}

TEST_CASE("a router that serves nothing is not late") {
  History history = good_history();
  history.add(at(50), RouterServes{"late", kName, 1});
  history.add(at(60), RouterStopped{"late"});
  history.add(at(17000), RecoveryJudged{true, ""});
  CHECK(check_history(history).empty());
}

TEST_CASE("a router goes back") {
  expect(Promise::kNeverReverts, {{at(50), RouterServes{"router", kName, 1}}});
}

TEST_CASE("a read goes back") {
  expect(Promise::kNeverReverts, {{at(50), DeclarationRead{kName, at(49), 1, "c1"}}});
}

TEST_CASE("a read that began before the change may see the old revision") {
  History history = good_history();
  history.add(at(50), DeclarationRead{kName, at(15), 1, "c1"});
  CHECK(check_history(history).empty());
}

TEST_CASE("a revision is used twice") {
  expect(Promise::kNeverReverts, {{at(50), ChangeSent{"c3", kName, 1}},
                                  {at(51), ChangeTold{"c3", kName, ChangeVerdict::kAccepted, 2}}});
}

TEST_CASE("a resend gets another answer") {
  expect(Promise::kNeverReverts, {{at(50), ChangeTold{"c2", kName, ChangeVerdict::kConflict, 2}}});
}

TEST_CASE("a refused change is in force") {
  expect(Promise::kNeverReverts, {{at(50), ChangeSent{"c3", kName, 2}},
                                  {at(51), ChangeTold{"c3", kName, ChangeVerdict::kConflict, 2}},
                                  {at(53), DeclarationRead{kName, at(52), 3, "c3"}}});
}

TEST_CASE("no recovery") {
  expect(Promise::kRecovers, {{at(50), RecoveryJudged{false, "no controller leads"}}});
}

}  // namespace
}  // namespace planktray::sim
