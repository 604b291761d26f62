#pragma once
/// Whether one router can open connections to the back ends of each service. Tells a lost path,
/// which concerns all back ends of a service at once, from single back ends that fail.
///
/// Invariants:
///  - Failures alone are never a lost path while a back end that has not failed is left: that one
///    is probed first.
///  - A path is not lost while most other routers cannot be reached either: then this router's own
///    link is full or down, and a relay would take the same way.
///  - A lost path is probed until a connection is established.

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/ids.hpp"
#include "common/random.hpp"
#include "common/time.hpp"
#include "routing/failure_block.hpp"

namespace planktray::routing {

struct PathMonitorOptions {
  /// Number of back ends of a service whose connections have to fail within `failure_memory`, with
  /// none established in between, before others are probed.
  std::size_t suspected_after = 2;
  /// Number of back ends that are probed to confirm a suspicion.
  std::size_t confirming_probes = 3;
  /// Number of other routers that are probed at the same time. Half of them have to be reached:
  /// single ones may have stopped.
  std::size_t compared_peers = 3;
  common::Duration failure_memory = std::chrono::milliseconds(1000);
  /// Time between the probes of a lost path; doubles up to the maximum.
  common::Duration first_probe_interval = std::chrono::milliseconds(250);
  common::Duration longest_probe_interval = std::chrono::milliseconds(1000);
  /// No connection to a back end is attempted for this long after one has failed. Doubles with each
  /// further failure, up to the maximum.
  common::Duration minimum_block = std::chrono::milliseconds(100);
  common::Duration maximum_block = std::chrono::milliseconds(1600);
};

/// A connection that is to be opened to find out about a path.
struct PathProbe {
  common::ServiceId service;
  common::BackendId backend;  ///< 0: the probe goes to another router, for comparison
  std::string address{};
};

/// A service to whose back ends this router has lost or regained its path.
struct PathChange {
  common::ServiceId service;
  bool is_lost = false;
  std::size_t failed_backends = 0;  ///< that are the evidence; 0 if the path is back
  common::Duration since{0};        ///< the first of these failures, or the loss
};

class PathMonitor {
 public:
  explicit PathMonitor(PathMonitorOptions options) : options_(options) {}

  /// No connection was established, or one ended with a request under way.
  void on_failed(common::TimePoint now, common::ServiceId service, common::BackendId backend);
  /// The back end has answered. @param is_new_connection the connection was opened for this
  /// request; otherwise it may be older than the failures and live on while new ones fail.
  void on_answered(common::TimePoint now, common::ServiceId service, common::BackendId backend,
                   bool is_new_connection);
  void on_probed(common::TimePoint now, const PathProbe& probe, bool is_reachable);

  /// Returns the services of which back ends have to be probed now.
  std::vector<common::ServiceId> due(common::TimePoint now) const;
  /// Chooses the probes of a service that is due. @param candidates its back ends that accept work.
  /// @param peers addresses of other routers. Each probe must be followed by on_probed().
  std::vector<PathProbe> choose_probes(common::TimePoint now, common::ServiceId service,
                                       std::vector<common::BackendId> candidates,
                                       std::vector<std::string> peers,
                                       common::RandomEngine& random);
  common::TimePoint next_due() const;

  /// Returns true if no back end of the service can be reached.
  bool is_lost(common::ServiceId service) const;
  /// Returns true if several back ends of the service have failed, and none was reached since.
  bool is_doubtful(common::ServiceId service) const;
  /// Returns true if the last connection attempt to the back end failed, and for how long no other
  /// one is due: the end of that time.
  std::optional<common::TimePoint> blocked_until(common::TimePoint now,
                                                 common::BackendId backend) const;
  /// Returns true if a connection that is older than the first failure still carries answers.
  bool has_live_connections(common::ServiceId service) const;
  /// Services whose path is lost.
  std::vector<common::ServiceId> lost() const;

  /// Forgets back ends for which `keep(id)` is false.
  template <typename Keep>
  void keep_only(const Keep& keep) {
    std::erase_if(unreachable_, [&](const auto& item) { return !keep(item.first); });
  }
  /// Returns the changes since the last call.
  std::vector<PathChange> take_changes() { return std::exchange(changes_, {}); }

 private:
  enum class State { kUsable, kSuspected, kLost };
  struct Path {
    State state = State::kUsable;
    std::map<common::BackendId, common::TimePoint> failed;  ///< time of the last failure
    common::TimePoint first_failure;
    std::optional<common::TimePoint> last_answer;
    common::TimePoint lost_since;
    std::set<common::BackendId> probed;  ///< without a result yet
    std::size_t probed_peers = 0;        ///< without a result yet
    std::size_t reached_peers = 0;       ///< since the suspicion
    std::size_t unreached_peers = 0;
    common::TimePoint next_probe = common::TimePoint::max();
    common::Duration probe_interval{0};
  };

  /// Decides about a suspicion once all probes have failed.
  void conclude(common::TimePoint now, common::ServiceId service, Path& path);
  void block(common::TimePoint now, common::BackendId backend);
  void lose(common::TimePoint now, common::ServiceId service, Path& path);
  void restore(common::TimePoint now, common::ServiceId service, Path& path);
  const Path* find(common::ServiceId service) const;

  PathMonitorOptions options_;
  std::map<common::ServiceId, Path> paths_;  ///< those with a failure
  /// Back ends to which the last connection attempt failed.
  std::map<common::BackendId, FailureBlock> unreachable_;
  std::vector<PathChange> changes_;
};

}  // namespace planktray::routing
