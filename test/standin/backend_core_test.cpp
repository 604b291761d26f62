#include "standin/core/backend_core.hpp"

#include <doctest/doctest.h>

namespace planktray::standin {
namespace {

using ownership::LeaseStatus;
using routing::Refusal;

const common::ServiceKey kService{common::TenantName("t"), common::ServiceName("s")};
const common::Incarnation kIncarnation("me");

TimePoint at(std::int64_t value) { return common::from_microseconds(value * 1000); }

ownership::LeaseRequest lease(std::uint64_t term, std::int64_t expires_ms, std::uint64_t index,
                              std::uint64_t epoch) {
  ownership::LeaseRequest request;
  request.term = common::Term(term);
  request.incarnation = kIncarnation;
  request.expires_clock_us = expires_ms * 1000;
  request.grants_index = common::LogIndex(index);
  request.grants_digest = "digest-" + std::to_string(index);
  request.has_grants = true;
  request.grants = {
      {kService, common::ShardNumber(0), common::ShardNumber(3), common::Epoch(epoch)}};
  return request;
}

WorkOrder order(std::uint64_t epoch) {
  return {common::RequestId("r"), kIncarnation,         kService,   true,
          common::ShardNumber(1), common::Epoch(epoch), at(100'000)};
}

ownership::ReleaseRequest release(std::uint64_t epoch) {
  return {common::CellName(),
          common::Term(1),
          kIncarnation,
          {{kService, common::ShardNumber(1), common::Epoch(epoch)}},
          1000};
}

std::optional<Refusal> try_work(BackendCore& core, TimePoint now, WorkOrder work) {
  core.on_work(now, 1, std::move(work));
  const BackendOutput output = core.take_output();
  return output.done.empty() ? std::nullopt : output.done.front().refusal;
}

TEST_CASE("work runs only under the current lease and epoch") {
  BackendCore core({kIncarnation, 2, 4});
  CHECK(try_work(core, at(1), order(5)) == Refusal::kNoLease);
  core.on_lease(at(1), lease(1, 500, 10, 5));
  CHECK(try_work(core, at(2), order(4)) == Refusal::kStaleEpoch);
  CHECK(try_work(core, at(501), order(5)) == Refusal::kNoLease);
  CHECK_FALSE(try_work(core, at(2), order(5)).has_value());
}

TEST_CASE("the fencing token is checked again before the effect") {
  BackendCore core({kIncarnation, 2, 4});
  core.on_lease(at(1), lease(1, 500, 10, 5));
  CHECK_FALSE(try_work(core, at(2), order(5)).has_value());
  core.on_work_finished(at(501), 1);
  CHECK(core.take_output().done.front().refusal == Refusal::kNoLease);
}

TEST_CASE("an older set of grants is never installed") {
  BackendCore core({kIncarnation, 2, 4});
  core.on_lease(at(1), lease(1, 500, 10, 9));
  CHECK(core.on_lease(at(2), lease(1, 900, 8, 5)).status == LeaseStatus::kGrantsNeeded);
  CHECK(try_work(core, at(501), order(9)) == Refusal::kNoLease);
}

TEST_CASE("a lower term and another incarnation are refused") {
  BackendCore core({kIncarnation, 2, 4});
  core.on_lease(at(1), lease(3, 500, 10, 5));
  CHECK(core.on_lease(at(2), lease(2, 900, 11, 6)).status == LeaseStatus::kStaleTerm);
  auto other = lease(3, 900, 11, 6);
  other.incarnation = common::Incarnation("before");
  CHECK(core.on_lease(at(2), other).status == LeaseStatus::kWrongIncarnation);
}

TEST_CASE("the later expiry of two renewals applies in either order") {
  BackendCore core({kIncarnation, 2, 4});
  core.on_lease(at(1), lease(1, 800, 10, 5));
  core.on_lease(at(2), lease(1, 500, 10, 5));
  CHECK_FALSE(try_work(core, at(700), order(5)).has_value());
}

TEST_CASE("a release lets running work finish, refuses new work, and outlasts an old grant") {
  BackendCore core({kIncarnation, 1, 4});
  core.on_lease(at(1), lease(1, 500, 10, 5));
  CHECK_FALSE(try_work(core, at(2), order(5)).has_value());
  core.on_release(at(3), 1, release(5));
  CHECK(core.take_output().releases.empty());  // work still runs
  CHECK(try_work(core, at(4), order(5)) == Refusal::kNotOwner);
  core.on_work_finished(at(5), 1);
  const BackendOutput output = core.take_output();
  REQUIRE(output.releases.size() == 1);
  CHECK(output.releases[0].reply.released.size() == 1);
  core.on_lease(at(6), lease(1, 900, 10, 5));
  CHECK(try_work(core, at(7), order(5)) == Refusal::kNotOwner);
}

TEST_CASE("a draining back end refuses new unkeyed work, and a full one sheds load") {
  BackendCore core({kIncarnation, 1, 0});
  WorkOrder free = order(0);
  free.keyed = false;
  core.begin_drain();
  CHECK(try_work(core, at(1), free) == Refusal::kDraining);
  BackendCore full({kIncarnation, 1, 1});
  full.on_work(at(1), 1, free);
  full.on_work(at(1), 2, free);
  full.take_output();
  CHECK(try_work(full, at(1), free) == Refusal::kShed);
  WorkOrder late = free;
  late.deadline = at(1);
  CHECK(try_work(full, at(2), late) == Refusal::kExpired);
}

}  // namespace
}  // namespace planktray::standin
