/// Guards against controllers that never become members of their cell.
///
/// A request to join was read by the leader only and sent to the seeds only. New controllers whose
/// three seeds were followers asked them for good; planned replacements then left one voter of
/// five, and the configuration could not be read any more.

#include <doctest/doctest.h>

#include "turnover.hpp"

namespace planktray::controller {
namespace {

using testing::Addresses;
using testing::milliseconds;
using testing::TurnoverCell;

/// The shortest time that deployments allow a new machine until it counts.
constexpr auto kCatchUp = milliseconds(4000);

Addresses first_three(Addresses addresses) {
  addresses.resize(std::min<std::size_t>(addresses.size(), 3));
  return addresses;
}

TEST_CASE("a new controller joins although its only seed does not lead") {
  TurnoverCell cell;
  const std::string added = cell.add_controller({cell.followers().front()});
  CHECK(cell.run_until([&] { return cell.is_member(added); }, kCatchUp));
}

TEST_CASE("planned replacements keep the cell although the leader is never among the seeds") {
  TurnoverCell cell;
  constexpr int kRounds = 20;
  for (int round = 0; round < kRounds; ++round) {
    CAPTURE(round);
    REQUIRE(cell.replace_two(first_three(cell.followers()), kCatchUp));
  }
}

TEST_CASE("a controller that lost its disk joins through a follower") {
  TurnoverCell cell;
  const std::string lost = cell.followers().back();
  cell.lose_disk(lost, {cell.followers().front()});
  CHECK(cell.run_until([&] { return cell.is_settled(); }, kCatchUp));
}

TEST_CASE("a candidate whose seeds end after they have answered asks the members they named") {
  TurnoverCell cell;
  const std::string seed = cell.followers().front();
  cell.stop(cell.leader()->options().peer_address);
  const std::string added = cell.add_controller({seed});
  cell.run_for(milliseconds(20));  // the seed knows no leader that is alive
  cell.stop(seed);
  CHECK(cell.run_until([&] { return cell.is_member(added); }, kCatchUp));
}

TEST_CASE("a member that was removed while it was cut off joins again without its seeds") {
  TurnoverCell cell;
  const std::string added = cell.add_controller(cell.followers());
  REQUIRE(cell.run_until([&] { return cell.is_member(added); }, kCatchUp));
  const std::string removed = cell.followers().front();
  cell.controller(removed).set_seeds({"gone"});
  cell.cut(removed, true);
  REQUIRE(cell.run_until([&] { return !cell.is_member(removed); }, milliseconds(10'000)));
  cell.cut(removed, false);
  CHECK(cell.run_until([&] { return cell.is_member(removed); }, kCatchUp));
}

/// Guards against a leader that removes a new member before the first message can reach it: a
/// member that was never heard counted as silent from the start.
TEST_CASE("a new member is kept until it has had time to answer, and then removed") {
  TurnoverCell cell;
  cell.run_for(milliseconds(5000));
  const std::string added = cell.add_controller({});
  cell.cut(added, true);
  consensus::JoinRequest request;
  request.candidate = {cell.controller(added).raft().self(), added, added, added, false};
  cell.leader()->on_join(cell.now(), request);
  cell.run_for(milliseconds(2000));
  CHECK(cell.is_member(added));
  CHECK(cell.run_until([&] { return !cell.is_member(added); }, milliseconds(10'000)));
}

TEST_CASE("a follower forwards a request to join once") {
  TurnoverCell cell;
  ControllerCore& follower = cell.controller(cell.followers().front());
  consensus::JoinRequest request;
  request.candidate = {common::ReplicaId(99), "new", "new", "new", false};
  follower.on_join(cell.now(), request);
  ControllerOutput output = follower.take_output();
  REQUIRE(output.forwarded_joins.size() == 1);
  CHECK(output.forwarded_joins[0].is_forwarded);
  CHECK(output.member_lists.size() == 1);
  follower.on_join(cell.now(), output.forwarded_joins[0]);
  output = follower.take_output();
  CHECK(output.forwarded_joins.empty());
  CHECK(output.member_lists.empty());
}

TEST_CASE("a leader states why it has not added a controller") {
  TurnoverCell cell;
  consensus::JoinRequest request;
  request.candidate = {common::ReplicaId(99), cell.followers().front(), "new", "new", false};
  cell.leader()->on_join(cell.now(), request);
  const ControllerOutput output = cell.leader()->take_output();
  REQUIRE(output.refused_joins.size() == 1);
  CHECK(output.refused_joins[0].reason == JoinRefusal::kNameInUse);
}

}  // namespace
}  // namespace planktray::controller
