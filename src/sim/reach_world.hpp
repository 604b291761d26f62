#pragma once
/// Routers that lose their connections to back ends, under virtual time: clients, controllers and
/// the other routers still reach them.
///
/// What is judged is what callers and back ends could see. A router's own counts are never asked.

#include <cstdint>
#include <string>
#include <vector>

#include "router/core/router_core.hpp"

namespace planktray::sim {

/// How connections between a router and back ends fail.
enum class CutKind : std::uint8_t {
  kSilent,   ///< nothing passes: open connections are silent, new ones do not come up
  kReset,    ///< open connections are reset, new ones at once
  kRefused,  ///< open connections live on, new ones are refused
  kHanging,  ///< open connections live on, new ones do not come up
};

/// Routers that cannot reach the back ends of some services for a while.
struct PathCut {
  CutKind kind = CutKind::kSilent;
  common::Duration begin{0};
  common::Duration end{0};
  std::vector<std::size_t> routers;
  std::vector<std::size_t> services;  ///< empty: all
};

/// What happens to a router's process.
enum class OutageKind : std::uint8_t {
  kKilled,     ///< its connections end; it starts again without any state
  kSuspended,  ///< it does nothing, and its connections stay open
  kStopped,    ///< as planned: it withdraws as a peer, drains, and starts again
};

struct RouterOutage {
  OutageKind kind = OutageKind::kKilled;
  common::Duration begin{0};
  common::Duration end{0};
  std::size_t router = 0;
};

struct ReachOptions {
  std::uint64_t seed = 1;
  common::Duration length = std::chrono::seconds(16);
  /// First tries are counted from this long after the begin of a cut.
  common::Duration contact = std::chrono::milliseconds(3000);
  std::size_t routers = 11;  ///< spread over three zones by turns
  /// Routers that neither relay for others nor ask others to.
  std::vector<std::size_t> without_relays;
  double requests_per_second = 330;
  router::RouterOptions router;
  std::vector<PathCut> cuts;
  std::vector<RouterOutage> outages;
  /// The leader sends nothing in this time.
  common::Duration leader_gone_from{0};
  common::Duration leader_back_at{0};
  /// Back ends whose processes have ended, though the table names them: from 1.
  std::vector<std::uint64_t> ended_backends;
};

/// First tries and how they ended.
struct FirstTries {
  std::uint64_t sent = 0;
  std::uint64_t served = 0;
  std::uint64_t refused = 0;  ///< answered "not run"
  /// Sum of the times until the refusals.
  common::Duration time_to_refusal{0};
  double share() const;  ///< served / sent
};

struct ReachResult {
  std::vector<std::string> violations;  ///< empty: the promises were kept
  // While a cut lasts, from `contact` after its begin.
  FirstTries at_cut_routers;  ///< of requests for the services that the router cannot reach
  FirstTries elsewhere;
  std::uint64_t relayed = 0;        ///< attempts that went over a peer
  std::uint64_t relayed_twice = 0;  ///< of these, relayed once more by the peer
  std::uint64_t probes = 0;         ///< connections that carried no request
  FirstTries without_cut;           ///< at all other times, `contact` after the end of a cut
};

ReachResult run_reach_world(const ReachOptions& options);

}  // namespace planktray::sim
