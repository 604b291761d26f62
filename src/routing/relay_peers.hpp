#pragma once
/// The routers to which one router relays requests for back ends that it cannot reach itself: which
/// of them may help, by the leader's list and by how their relays have ended.
///
/// Invariant: a back end that two peers cannot reach either counts as down for a while, so that its
/// failure is not multiplied by the number of peers.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/random.hpp"
#include "common/time.hpp"
#include "routing/failure_block.hpp"
#include "routing/outcome.hpp"
#include "routing/table_messages.hpp"

namespace planktray::routing {

struct RelayPeersOptions {
  /// A peer is avoided for this long after its connection failed or it refused. Doubles with each
  /// further failure, up to `maximum_block`.
  common::Duration minimum_block = std::chrono::milliseconds(100);
  common::Duration maximum_block = std::chrono::milliseconds(1600);
  /// How long the statement of a peer is kept that it cannot reach a back end or a service.
  common::Duration statement_memory = std::chrono::milliseconds(1000);
  /// Number of peers after whose statements a back end counts as down.
  std::size_t confirming_peers = 2;
  /// A peer that has answered nothing for this long, with a relay in flight, is avoided.
  common::Duration answer_timeout = std::chrono::milliseconds(1000);
  /// Relative cost of a peer in another zone.
  double other_zone_cost = 0.5;
};

class RelayPeers {
 public:
  RelayPeers(RelayPeersOptions options, common::ZoneName zone)
      : options_(options), zone_(std::move(zone)) {}

  /// Replaces the leader's list. What is known of peers that stay is kept.
  void set_list(std::vector<RelayPeer> list);
  /// Returns the addresses of the leader's list.
  std::vector<std::string> listed_addresses() const;
  /// See digest_of().
  std::uint64_t digest() const { return digest_; }

  /// Chooses the less loaded of two random peers that may reach the back end. @param tried peers
  /// that the request must not go to again.
  std::optional<std::string> choose(common::TimePoint now, common::ServiceId service,
                                    common::BackendId backend, const std::set<std::string>& tried,
                                    common::RandomEngine& random) const;
  /// Returns true if enough peers cannot reach the back end either.
  bool is_down(common::TimePoint now, common::BackendId backend) const;

  void on_sent(common::TimePoint now, const std::string& address);
  /// The peer has answered: with the back end's answer, or that the outcome is unknown.
  /// @param load number of relays that the peer says it has in flight, if it does.
  void on_answered(common::TimePoint now, const std::string& address,
                   std::optional<std::uint32_t> load);
  void on_refused(common::TimePoint now, const std::string& address, RelayRefusal refusal,
                  common::ServiceId service, common::BackendId backend);
  /// The connection to the peer has failed.
  void on_failed(common::TimePoint now, const std::string& address);
  /// The relay was cancelled.
  void on_cancelled(common::TimePoint now, const std::string& address);
  /// Forgets what concerns back ends for which `keep(id)` is false.
  template <typename Keep>
  void keep_only(const Keep& keep) {
    std::erase_if(unreachable_, [&](const auto& item) { return !keep(item.first); });
  }

 private:
  struct Peer {
    bool is_listed = false;
    bool is_own_zone = false;
    std::set<common::ServiceId> unreachable;                 ///< by the leader's list
    std::map<common::ServiceId, common::TimePoint> no_path;  ///< time of its own statement
    std::uint32_t outstanding = 0;
    std::uint32_t load = 0;           ///< as last stated
    common::TimePoint waiting_since;  ///< last answer, or first relay after idling
    FailureBlock block;
  };

  bool may_reach(common::TimePoint now, const Peer& peer, common::ServiceId service) const;
  bool is_silent(common::TimePoint now, const Peer& peer) const;
  double cost(const Peer& peer) const;
  void block(common::TimePoint now, Peer& peer) const;
  /// Returns true if a statement made at `stated` still counts.
  bool is_recent(common::TimePoint now, common::TimePoint stated) const {
    return now - stated < options_.statement_memory;
  }
  static void end_relay(common::TimePoint now, Peer& peer);

  RelayPeersOptions options_;
  common::ZoneName zone_;
  std::uint64_t digest_ = 0;
  std::map<std::string, Peer> peers_;  ///< by address
  /// Peers that cannot reach a back end, with the time of each statement.
  std::map<common::BackendId, std::map<std::string, common::TimePoint>> unreachable_;
};

}  // namespace planktray::routing
