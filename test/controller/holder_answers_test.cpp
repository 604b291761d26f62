#include "controller/core/holder_answers.hpp"

#include <doctest/doctest.h>

namespace planktray::controller {
namespace {

TimePoint at(std::int64_t value) { return common::from_microseconds(value * 1000); }

TEST_CASE("a heartbeat without an update is answered at its deadline") {
  HolderAnswers answers;
  ownership::CellState state;
  ownership::GrantManager grants{ownership::GrantOptions()};
  CHECK(answers.next_due() == TimePoint::max());
  CHECK_FALSE(answers.defer(common::BackendId(1), 10, at(0), at(500)).has_value());
  CHECK(answers.next_due() == at(500));
  CHECK(answers.collect(at(499), state, grants).empty());
  const auto due = answers.collect(at(500), state, grants);
  REQUIRE(due.size() == 1);
  CHECK(due[0].request == 10);
  CHECK(due[0].holdings.ranges.empty());
  CHECK(answers.collect(at(501), state, grants).empty());
}

TEST_CASE("of two heartbeats of one back end the newer one is deferred") {
  HolderAnswers answers;
  CHECK_FALSE(answers.defer(common::BackendId(1), 10, at(0), at(500)).has_value());
  CHECK(answers.defer(common::BackendId(1), 11, at(100), at(600)) == 10);
  // An older heartbeat that is deferred later, since its content took long to commit.
  CHECK(answers.defer(common::BackendId(1), 9, at(50), at(160)) == 9);
  CHECK(answers.next_due() == at(600));
  CHECK(answers.cancel_all() == std::vector<OperatorRequestId>{11});
  CHECK(answers.cancel_all().empty());
}

}  // namespace
}  // namespace planktray::controller
