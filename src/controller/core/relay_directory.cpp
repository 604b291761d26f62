#include "controller/core/relay_directory.hpp"

#include <algorithm>
#include <tuple>

#include "common/hash.hpp"

namespace planktray::controller {
namespace {

/// Number of peers in a router's own zone that come before those of all zones.
constexpr std::size_t kOwnZonePeers = 3;

/// A router that may become a peer.
struct Candidate {
  const routing::RelayPeer* peer = nullptr;
  bool is_own_zone = false;
  std::uint64_t rank = 0;
  bool reaches_all() const { return peer->unreachable.empty(); }
};

}  // namespace

void RelayDirectory::clear() {
  routers_.clear();
  ++generation_;
}

void RelayDirectory::on_hello(const routing::RouterHello& hello) {
  Router& router = routers_[hello.router];
  routing::RelayPeer self{hello.relay_address, hello.zone, hello.unreachable};
  if (self != router.self) {
    router.self = std::move(self);
    ++generation_;
  }
  router.digest_stated = hello.peers_digest;
}

void RelayDirectory::remove(const common::RouterName& router) {
  if (routers_.erase(router) > 0) {
    ++generation_;
  }
}

const std::vector<routing::RelayPeer>& RelayDirectory::peers_of(const common::RouterName& router) {
  return with_peers(router).peers;
}

bool RelayDirectory::is_outdated(const common::RouterName& router) {
  const Router& found = with_peers(router);
  return found.peers_digest != found.digest_stated;
}

RelayDirectory::Router& RelayDirectory::with_peers(const common::RouterName& name) {
  Router& router = routers_[name];
  if (router.made_at != generation_) {
    make_peers(name, router);
    router.made_at = generation_;
  }
  return router;
}

void RelayDirectory::make_peers(const common::RouterName& name, Router& router) const {
  const std::uint64_t seed = common::hash_bytes(name.value, 0);
  std::vector<Candidate> candidates;
  for (const auto& [other, entry] : routers_) {
    if (other != name && !entry.self.address.empty()) {
      candidates.push_back({&entry.self, entry.self.zone == router.self.zone,
                            common::hash_bytes(other.value, seed)});
    }
  }
  const auto by_rank = [](const Candidate& left, const Candidate& right) {
    return std::tuple(!left.reaches_all(), left.rank, left.peer->address) <
           std::tuple(!right.reaches_all(), right.rank, right.peer->address);
  };
  std::sort(candidates.begin(), candidates.end(), by_rank);
  std::size_t left_in_zone = kOwnZonePeers;
  std::stable_partition(candidates.begin(), candidates.end(), [&](const Candidate& candidate) {
    const bool comes_first = left_in_zone > 0 && candidate.is_own_zone && candidate.reaches_all();
    left_in_zone -= comes_first ? 1 : 0;
    return comes_first;
  });
  candidates.resize(std::min(candidates.size(), routing::kMaxRelayPeers));
  router.peers.clear();
  for (const Candidate& candidate : candidates) {
    router.peers.push_back(*candidate.peer);
  }
  router.peers_digest = routing::digest_of(router.peers);
}

}  // namespace planktray::controller
