#include "controller/core/relay_directory.hpp"

#include <algorithm>

#include "common/hash.hpp"

namespace planktray::controller {
namespace {

/// Number of peers in a router's own zone that come before those of all zones.
constexpr std::size_t kOwnZonePeers = 3;
/// Places of each router on a ring. A router looks for its peers behind its own places, one behind
/// each, so that every place is found by exactly one router.
constexpr std::uint64_t kPlaces = routing::kMaxRelayPeers;

/// Returns independent hashes of one name for different numbers. The numbers are spread over all
/// bits of the seed: XXH3 of a short name with neighbouring seeds collides with that of others.
std::uint64_t ring_hash(const common::RouterName& name, std::uint64_t number) {
  constexpr std::uint64_t kSpread = 0x9E3779B97F4A7C15;
  return common::hash_bytes(name.value, number * kSpread);
}

}  // namespace

void RelayDirectory::clear() {
  reaching_all_.clear();
  reaching_all_by_zone_.clear();
  lacking_some_.clear();
  routers_.clear();
}

void RelayDirectory::on_hello(const routing::RouterHello& hello) {
  const auto [found, is_new] = routers_.try_emplace(hello.router);
  routing::RelayPeer self{hello.relay_address, hello.zone, hello.unreachable};
  if (is_new || self != found->second.self) {
    withdraw(found);
    found->second.self = std::move(self);
    place(found);
  }
  found->second.digest_stated = hello.peers_digest;
}

void RelayDirectory::remove(const common::RouterName& router) {
  const auto found = routers_.find(router);
  if (found != routers_.end()) {
    withdraw(found);
    routers_.erase(found);
  }
}

void RelayDirectory::place(Routers::const_iterator router) {
  const routing::RelayPeer& self = router->second.self;
  if (self.address.empty()) {
    return;
  }
  for (std::uint64_t place = 0; place < kPlaces; ++place) {
    const std::uint64_t hash = ring_hash(router->first, place);
    if (self.unreachable.empty()) {
      reaching_all_.try_emplace(hash, router);
      reaching_all_by_zone_[self.zone].try_emplace(hash, router);
    } else {
      lacking_some_.try_emplace(hash, router);
    }
  }
}

void RelayDirectory::withdraw(Routers::const_iterator router) {
  const auto erase_from = [&](Ring& ring, std::uint64_t hash) {
    const auto found = ring.find(hash);
    if (found != ring.end() && found->second == router) {
      ring.erase(found);
    }
  };
  for (std::uint64_t place = 0; place < kPlaces; ++place) {
    const std::uint64_t hash = ring_hash(router->first, place);
    erase_from(reaching_all_, hash);
    erase_from(reaching_all_by_zone_[router->second.self.zone], hash);
    erase_from(lacking_some_, hash);
  }
}

void RelayDirectory::append_peers(const Ring& ring, Routers::const_iterator router,
                                  std::size_t size, std::vector<Routers::const_iterator>& peers) {
  for (std::uint64_t place = peers.size(); peers.size() < size; ++place) {
    auto next = ring.upper_bound(ring_hash(router->first, place));
    const std::size_t size_before = peers.size();
    for (std::size_t left = ring.size(); left > 0 && peers.size() == size_before; --left, ++next) {
      next = next == ring.end() ? ring.begin() : next;
      const Routers::const_iterator peer = next->second;
      if (peer != router && std::find(peers.begin(), peers.end(), peer) == peers.end()) {
        peers.push_back(peer);
      }
    }
    if (peers.size() == size_before) {
      return;  // all routers of the ring are in the list
    }
  }
}

std::vector<routing::RelayPeer> RelayDirectory::peers_of(const common::RouterName& router) const {
  const auto found = routers_.find(router);
  if (found == routers_.end()) {
    return {};
  }
  std::vector<Routers::const_iterator> chosen;
  const auto own_zone = reaching_all_by_zone_.find(found->second.self.zone);
  if (own_zone != reaching_all_by_zone_.end()) {
    append_peers(own_zone->second, found, kOwnZonePeers, chosen);
  }
  append_peers(reaching_all_, found, routing::kMaxRelayPeers, chosen);
  append_peers(lacking_some_, found, routing::kMaxRelayPeers, chosen);
  std::vector<routing::RelayPeer> peers;
  peers.reserve(chosen.size());
  for (const Routers::const_iterator peer : chosen) {
    peers.push_back(peer->second.self);
  }
  return peers;
}

bool RelayDirectory::is_outdated(const common::RouterName& router) const {
  const auto found = routers_.find(router);
  return found != routers_.end() &&
         routing::digest_of(peers_of(router)) != found->second.digest_stated;
}

}  // namespace planktray::controller
