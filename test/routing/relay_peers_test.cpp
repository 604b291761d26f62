/// The choice of the router that relays a request.

#include "routing/relay_peers.hpp"

#include <doctest/doctest.h>

namespace planktray::routing {
namespace {

using common::BackendId;
using common::ServiceId;
using common::TimePoint;
using std::chrono::milliseconds;

const ServiceId kService(1);
const BackendId kBackend(7);
const common::ZoneName kOwn("own");
const common::ZoneName kOther("other");

TimePoint at(std::int64_t ms) { return TimePoint(std::chrono::seconds(100) + milliseconds(ms)); }

struct Fixture {
  explicit Fixture(std::vector<RelayPeer> list) { peers.set_list(std::move(list)); }
  std::optional<std::string> choose(std::int64_t now, const std::set<std::string>& tried = {},
                                    BackendId backend = kBackend) {
    return peers.choose(at(now), kService, backend, tried, random);
  }
  /// Returns how often each peer is chosen.
  std::map<std::string, int> choose_often(std::int64_t now) {
    std::map<std::string, int> counts;
    for (int i = 0; i < 1000; ++i) {
      ++counts[choose(now).value_or("")];
    }
    return counts;
  }
  RelayPeers peers{RelayPeersOptions{}, kOwn};
  common::RandomEngine random{1};
};

std::vector<RelayPeer> three_peers() {
  return {{"a", kOwn, {}}, {"b", kOther, {}}, {"c", kOther, {}}};
}

TEST_CASE("without peers nothing is relayed") {
  Fixture fixture({});
  CHECK_FALSE(fixture.choose(0).has_value());
  CHECK(fixture.peers.digest() == 0);
}

TEST_CASE("peers that cannot reach the service or that were tried are not chosen") {
  Fixture fixture({{"a", kOwn, {kService}}, {"b", kOther, {}}, {"c", kOther, {}}});
  CHECK(fixture.choose_often(0).count("a") == 0);
  CHECK(fixture.choose(0, {"b"}) == "c");
  CHECK_FALSE(fixture.choose(0, {"b", "c"}).has_value());
}

TEST_CASE("a loaded peer gets less than the others, by its own statement and by relays in flight") {
  Fixture fixture(three_peers());
  fixture.peers.on_sent(at(0), "b");
  fixture.peers.on_answered(at(0), "b", 50);
  const auto counts = fixture.choose_often(1);
  CHECK(counts.at("b") < counts.at("c") / 2);
  for (int i = 0; i < 60; ++i) {
    fixture.peers.on_sent(at(1), "c");
  }
  const auto later = fixture.choose_often(2);
  CHECK(later.at("c") < later.at("b"));
  CHECK(later.at("a") > later.at("b"));
}

TEST_CASE("the own zone is preferred while it is not busier") {
  Fixture fixture(three_peers());
  const auto counts = fixture.choose_often(0);
  CHECK(counts.at("a") > counts.at("b"));
  CHECK(counts.at("a") > counts.at("c"));
}

// Guards against a router that keeps relaying to a peer whose process is suspended.
TEST_CASE("a peer that answers nothing for a while is avoided until its relays have ended") {
  Fixture fixture(three_peers());
  fixture.peers.on_sent(at(0), "a");
  CHECK(fixture.choose_often(999).count("a") == 1);
  CHECK(fixture.choose_often(1000).count("a") == 0);
  fixture.peers.on_cancelled(at(1200), "a");
  CHECK(fixture.choose_often(1250).count("a") == 0);
  CHECK(fixture.choose_often(1300).count("a") == 1);
}

TEST_CASE("a peer that fails is left for longer each time until it answers") {
  Fixture fixture(three_peers());
  fixture.peers.on_sent(at(0), "a");
  fixture.peers.on_failed(at(0), "a");
  CHECK(fixture.choose_often(99).count("a") == 0);
  CHECK(fixture.choose_often(100).count("a") == 1);
  fixture.peers.on_sent(at(100), "a");
  fixture.peers.on_failed(at(100), "a");
  CHECK(fixture.choose_often(299).count("a") == 0);
  fixture.peers.on_sent(at(300), "a");
  fixture.peers.on_answered(at(310), "a", 0);
  fixture.peers.on_sent(at(320), "a");
  fixture.peers.on_failed(at(320), "a");
  CHECK(fixture.choose_often(420).count("a") == 1);
}

TEST_CASE("statements of peers are kept for their memory only") {
  Fixture fixture(three_peers());
  fixture.peers.on_sent(at(0), "a");
  fixture.peers.on_refused(at(0), "a", RelayRefusal::kNoPath, kService, kBackend);
  CHECK(fixture.choose_often(999).count("a") == 0);
  CHECK(fixture.choose_often(1000).count("a") == 1);
  fixture.peers.on_sent(at(1000), "b");
  fixture.peers.on_refused(at(1000), "b", RelayRefusal::kUnreachable, kService, kBackend);
  CHECK(fixture.choose_often(1001).count("b") == 0);
  CHECK(fixture.choose(1001, {}, BackendId(8)).has_value());
  CHECK_FALSE(fixture.peers.is_down(at(1001), kBackend));
  fixture.peers.on_sent(at(1002), "c");
  fixture.peers.on_refused(at(1002), "c", RelayRefusal::kUnreachable, kService, kBackend);
  CHECK(fixture.peers.is_down(at(1003), kBackend));
  CHECK_FALSE(fixture.choose(1003).has_value());
  CHECK_FALSE(fixture.peers.is_down(at(2000), kBackend));
}

TEST_CASE("a new list keeps what is known of peers that stay and drops the others") {
  Fixture fixture(three_peers());
  fixture.peers.on_sent(at(0), "b");
  fixture.peers.on_failed(at(0), "b");
  fixture.peers.set_list({{"b", kOther, {}}, {"d", kOther, {}}});
  CHECK(fixture.choose_often(50) == std::map<std::string, int>{{"d", 1000}});
  CHECK(fixture.choose_often(100).size() == 2);
}

}  // namespace
}  // namespace planktray::routing
