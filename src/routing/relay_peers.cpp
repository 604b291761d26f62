#include "routing/relay_peers.hpp"

#include <algorithm>
#include <utility>

namespace planktray::routing {

using common::BackendId;
using common::ServiceId;
using common::TimePoint;

void RelayPeers::set_list(std::vector<RelayPeer> list) {
  digest_ = digest_of(list);
  for (auto& [address, peer] : peers_) {
    peer.is_listed = false;
  }
  for (RelayPeer& listed : list) {
    Peer& peer = peers_[listed.address];
    peer.is_listed = true;
    peer.is_own_zone = listed.zone == zone_;
    peer.unreachable = {listed.unreachable.begin(), listed.unreachable.end()};
  }
  std::erase_if(peers_, [](const auto& item) {
    return !item.second.is_listed && item.second.outstanding == 0;
  });
}

std::vector<std::string> RelayPeers::listed_addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [address, peer] : peers_) {
    if (peer.is_listed) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

std::optional<std::string> RelayPeers::choose(TimePoint now, ServiceId service, BackendId backend,
                                              const std::set<std::string>& tried,
                                              common::RandomEngine& random) const {
  if (peers_.empty() || is_down(now, backend)) {
    return std::nullopt;
  }
  const auto statements = unreachable_.find(backend);
  std::vector<const std::pair<const std::string, Peer>*> usable;
  for (const auto& item : peers_) {
    const bool states_unreachable = statements != unreachable_.end() &&
                                    statements->second.contains(item.first) &&
                                    is_recent(now, statements->second.at(item.first));
    if (may_reach(now, item.second, service) && !states_unreachable &&
        !tried.contains(item.first)) {
      usable.push_back(&item);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  const auto* first = usable[common::uniform(random, 0, usable.size() - 1)];
  const auto* second = usable[common::uniform(random, 0, usable.size() - 1)];
  return cost(first->second) <= cost(second->second) ? first->first : second->first;
}

bool RelayPeers::is_down(TimePoint now, BackendId backend) const {
  const auto found = unreachable_.find(backend);
  if (found == unreachable_.end()) {
    return false;
  }
  const auto count = std::count_if(found->second.begin(), found->second.end(),
                                   [&](const auto& item) { return is_recent(now, item.second); });
  return static_cast<std::size_t>(count) >= options_.confirming_peers;
}

void RelayPeers::on_sent(TimePoint now, const std::string& address) {
  Peer& peer = peers_[address];
  if (peer.outstanding++ == 0) {
    peer.waiting_since = now;
  }
}

void RelayPeers::on_answered(TimePoint now, const std::string& address,
                             std::optional<std::uint32_t> load) {
  Peer& peer = peers_[address];
  end_relay(now, peer);
  peer.load = load.value_or(peer.load);
  peer.block.reset_length();
}

void RelayPeers::on_refused(TimePoint now, const std::string& address, RelayRefusal refusal,
                            ServiceId service, BackendId backend) {
  Peer& peer = peers_[address];
  end_relay(now, peer);
  switch (refusal) {
    case RelayRefusal::kUnreachable:
      std::erase_if(unreachable_[backend],
                    [&](const auto& item) { return !is_recent(now, item.second); });
      unreachable_[backend][address] = now;
      break;
    case RelayRefusal::kNoPath:
      peer.no_path[service] = now;
      break;
    case RelayRefusal::kBusy:
    case RelayRefusal::kTableTooOld:
    case RelayRefusal::kDraining:
      block(now, peer);
      break;
    case RelayRefusal::kNone:
    case RelayRefusal::kClosed:
    case RelayRefusal::kBackoff:
      break;  // concerns the back end, not the peer
  }
}

void RelayPeers::on_failed(TimePoint now, const std::string& address) {
  Peer& peer = peers_[address];
  end_relay(now, peer);
  block(now, peer);
}

void RelayPeers::on_cancelled(TimePoint now, const std::string& address) {
  Peer& peer = peers_[address];
  if (is_silent(now, peer)) {
    block(now, peer);
  }
  peer.outstanding -= peer.outstanding > 0 ? 1 : 0;
}

bool RelayPeers::may_reach(TimePoint now, const Peer& peer, ServiceId service) const {
  const auto statement = peer.no_path.find(service);
  const bool states_no_path = statement != peer.no_path.end() && is_recent(now, statement->second);
  return peer.is_listed && !peer.block.is_active(now) && !is_silent(now, peer) && !states_no_path &&
         !peer.unreachable.contains(service);
}

bool RelayPeers::is_silent(TimePoint now, const Peer& peer) const {
  return peer.outstanding > 0 && now - peer.waiting_since >= options_.answer_timeout;
}

double RelayPeers::cost(const Peer& peer) const {
  const double load = 1.0 + peer.outstanding + peer.load;
  return load * (peer.is_own_zone ? 1.0 : 1.0 + options_.other_zone_cost);
}

void RelayPeers::block(TimePoint now, Peer& peer) const {
  peer.block.extend(now, options_.minimum_block, options_.maximum_block);
}

void RelayPeers::end_relay(TimePoint now, Peer& peer) {
  peer.outstanding -= peer.outstanding > 0 ? 1 : 0;
  peer.waiting_since = now;
}

}  // namespace planktray::routing
