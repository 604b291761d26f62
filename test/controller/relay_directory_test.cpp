/// Which routers each router is told as its relay peers.

#include "controller/core/relay_directory.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

#include "common/codec.hpp"

namespace planktray::controller {
namespace {

using common::RouterName;
using common::ServiceId;
using common::ZoneName;

RouterName name_of(int number) { return RouterName("r" + std::to_string(number)); }
std::string address_of(int number) { return "relay-" + std::to_string(number); }

routing::RouterHello hello(int number, int zones = 3) {
  routing::RouterHello hello;
  hello.router = name_of(number);
  hello.relay_address = address_of(number);
  hello.zone = ZoneName("zone-" + std::to_string(number % zones));
  return hello;
}

RelayDirectory directory_of(int routers) {
  RelayDirectory directory;
  for (int i = 0; i < routers; ++i) {
    directory.on_hello(hello(i));
  }
  return directory;
}

TEST_CASE("a router is told a few others and never itself") {
  RelayDirectory directory = directory_of(60);
  for (int i = 0; i < 60; ++i) {
    const auto& peers = directory.peers_of(name_of(i));
    CHECK(peers.size() == routing::kMaxRelayPeers);
    std::set<std::string> addresses;
    std::size_t own_zone = 0;
    for (const routing::RelayPeer& peer : peers) {
      addresses.insert(peer.address);
      own_zone += peer.zone == ZoneName("zone-" + std::to_string(i % 3)) ? 1 : 0;
    }
    CHECK(addresses.size() == peers.size());
    CHECK_FALSE(addresses.contains(address_of(i)));
    CHECK(own_zone >= 3);
    CHECK(own_zone < peers.size());
  }
}

TEST_CASE("the load of all routers spreads over all peers") {
  constexpr int kRouters = 150;
  RelayDirectory directory = directory_of(kRouters);
  std::map<std::string, int> named;
  for (int i = 0; i < kRouters; ++i) {
    for (const routing::RelayPeer& peer : directory.peers_of(name_of(i))) {
      ++named[peer.address];
    }
  }
  CHECK(named.size() == kRouters);
  for (const auto& [address, count] : named) {
    CHECK(count < 4 * static_cast<int>(routing::kMaxRelayPeers));
  }
}

TEST_CASE("routers that reach all services come first and the others say what they lack") {
  RelayDirectory directory = directory_of(11);
  for (int i = 0; i < 8; ++i) {
    routing::RouterHello cut = hello(i);
    cut.unreachable = {ServiceId(1)};
    directory.on_hello(cut);
  }
  const auto& peers = directory.peers_of(name_of(0));
  REQUIRE(peers.size() == routing::kMaxRelayPeers);
  for (std::size_t i = 0; i < peers.size(); ++i) {
    CHECK(peers[i].unreachable.empty() == (i < 3));
  }
}

TEST_CASE("a list is outdated until the router states that it has it") {
  RelayDirectory directory = directory_of(5);
  CHECK(directory.is_outdated(name_of(0)));
  routing::RouterHello has_list = hello(0);
  has_list.peers_digest = routing::digest_of(directory.peers_of(name_of(0)));
  directory.on_hello(has_list);
  CHECK_FALSE(directory.is_outdated(name_of(0)));
  directory.on_hello(hello(5));
  CHECK(directory.is_outdated(name_of(0)));
  directory.remove(name_of(5));
  CHECK_FALSE(directory.is_outdated(name_of(0)));
}

TEST_CASE("the only router has no peers and is told so once") {
  RelayDirectory directory = directory_of(1);
  CHECK(directory.peers_of(name_of(0)).empty());
  CHECK_FALSE(directory.is_outdated(name_of(0)));
}

/// The hello of an earlier version, which ends before the fields of relays.
struct EarlierHello {
  common::CellName cell;
  RouterName router;
  std::string address;
  std::int64_t clock_us = 0;
  common::LogIndex table_index;
  bool serving = false;
  MSGPACK_DEFINE_ARRAY(cell, router, address, clock_us, table_index, serving)
};

TEST_CASE("a router of an earlier version is no peer and a later hello can be read by it") {
  EarlierHello earlier;
  earlier.router = name_of(9);
  const auto read =
      common::decode<routing::RouterHello>(common::encode(earlier), "read hello", "test");
  REQUIRE(read.has_value());
  CHECK(read->relay_address.empty());
  RelayDirectory directory = directory_of(2);
  directory.on_hello(*read);
  CHECK(directory.peers_of(name_of(0)).size() == 1);
  CHECK(directory.peers_of(name_of(9)).size() == 2);
  const auto back = common::decode<EarlierHello>(common::encode(hello(1)), "read hello", "test");
  REQUIRE(back.has_value());
  CHECK(back->router == name_of(1));
}

}  // namespace
}  // namespace planktray::controller
