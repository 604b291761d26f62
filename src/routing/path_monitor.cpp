#include "routing/path_monitor.hpp"

namespace planktray::routing {

using common::BackendId;
using common::ServiceId;
using common::TimePoint;

void PathMonitor::on_failed(TimePoint now, ServiceId service, BackendId backend) {
  block(now, backend);
  Path& path = paths_[service];
  if (path.state == State::kUsable) {
    std::erase_if(path.failed,
                  [&](const auto& item) { return now - item.second > options_.failure_memory; });
  }
  if (path.failed.empty()) {
    path.first_failure = now;
    path.last_answer.reset();
  }
  path.failed[backend] = now;
  if (path.state == State::kUsable && path.failed.size() >= options_.suspected_after) {
    path.state = State::kSuspected;
    path.next_probe = now;
  }
}

void PathMonitor::on_answered(TimePoint now, ServiceId service, BackendId backend,
                              bool is_new_connection) {
  unreachable_.erase(backend);
  const auto found = paths_.find(service);
  if (found == paths_.end()) {
    return;
  }
  if (is_new_connection) {
    return restore(now, service, found->second);
  }
  found->second.last_answer = now;
}

void PathMonitor::on_probed(TimePoint now, const PathProbe& probe, bool is_reachable) {
  const auto found = paths_.find(probe.service);
  if (found == paths_.end()) {
    return;  // regained meanwhile
  }
  Path& path = found->second;
  if (probe.backend.value == 0) {
    path.probed_peers -= path.probed_peers > 0 ? 1 : 0;
    path.reached_peers += is_reachable ? 1 : 0;
    path.unreached_peers += is_reachable ? 0 : 1;
    return conclude(now, probe.service, path);
  }
  if (path.probed.erase(probe.backend) == 0) {
    return;
  }
  if (is_reachable) {
    unreachable_.erase(probe.backend);
    return restore(now, probe.service, path);
  }
  block(now, probe.backend);
  path.failed[probe.backend] = now;
  conclude(now, probe.service, path);
}

void PathMonitor::conclude(TimePoint now, ServiceId service, Path& path) {
  if (!path.probed.empty() || path.probed_peers > 0) {
    return;
  }
  if (path.state == State::kLost) {
    path.next_probe = now + path.probe_interval;
    path.probe_interval = std::min(2 * path.probe_interval, options_.longest_probe_interval);
  } else if (path.unreached_peers > path.reached_peers) {
    paths_.erase(service);
  } else {
    lose(now, service, path);
  }
}

std::vector<ServiceId> PathMonitor::due(TimePoint now) const {
  std::vector<ServiceId> services;
  for (const auto& [id, path] : paths_) {
    if (path.next_probe <= now) {
      services.push_back(id);
    }
  }
  return services;
}

std::vector<PathProbe> PathMonitor::choose_probes(TimePoint now, ServiceId service,
                                                  std::vector<BackendId> candidates,
                                                  std::vector<std::string> peers,
                                                  common::RandomEngine& random) {
  const auto choose = [&random](auto& items, std::size_t wanted) {
    if (!items.empty()) {
      const auto first = common::uniform(random, 0, items.size() - 1);
      std::rotate(items.begin(), items.begin() + static_cast<std::ptrdiff_t>(first), items.end());
      items.resize(std::min(items.size(), wanted));
    }
  };
  Path& path = paths_.at(service);
  path.next_probe = TimePoint::max();
  const bool is_suspected = path.state == State::kSuspected;
  if (is_suspected) {
    std::erase_if(candidates, [&](BackendId id) { return path.failed.contains(id); });
  }
  choose(candidates, is_suspected ? options_.confirming_probes : 1);
  choose(peers, is_suspected ? options_.compared_peers : 0);
  std::vector<PathProbe> probes;
  for (const BackendId id : candidates) {
    path.probed.insert(id);
    probes.push_back({service, id});
  }
  path.probed_peers = peers.size();
  for (std::string& address : peers) {
    probes.push_back({service, BackendId(), std::move(address)});
  }
  if (probes.empty()) {
    conclude(now, service, path);
  }
  return probes;
}

TimePoint PathMonitor::next_due() const {
  TimePoint due = TimePoint::max();
  for (const auto& [id, path] : paths_) {
    due = std::min(due, path.next_probe);
  }
  return due;
}

std::optional<TimePoint> PathMonitor::blocked_until(TimePoint now, BackendId backend) const {
  const auto found = unreachable_.find(backend);
  const bool is_blocked = found != unreachable_.end() && found->second.is_active(now);
  return is_blocked ? std::optional(found->second.until()) : std::nullopt;
}

bool PathMonitor::is_lost(ServiceId service) const {
  const Path* path = find(service);
  return path != nullptr && path->state == State::kLost;
}

bool PathMonitor::is_doubtful(ServiceId service) const {
  const Path* path = find(service);
  return path != nullptr && path->state != State::kUsable;
}

bool PathMonitor::has_live_connections(ServiceId service) const {
  const Path* path = find(service);
  return path != nullptr && path->last_answer.has_value();
}

std::vector<ServiceId> PathMonitor::lost() const {
  std::vector<ServiceId> services;
  for (const auto& [id, path] : paths_) {
    if (path.state == State::kLost) {
      services.push_back(id);
    }
  }
  return services;
}

void PathMonitor::block(TimePoint now, BackendId backend) {
  unreachable_[backend].extend(now, options_.minimum_block, options_.maximum_block);
}

void PathMonitor::lose(TimePoint now, ServiceId service, Path& path) {
  path.state = State::kLost;
  path.lost_since = now;
  path.next_probe = now + options_.first_probe_interval;
  path.probe_interval =
      std::min(2 * options_.first_probe_interval, options_.longest_probe_interval);
  changes_.push_back({service, true, path.failed.size(), now - path.first_failure});
}

void PathMonitor::restore(TimePoint now, ServiceId service, Path& path) {
  if (path.state == State::kLost) {
    changes_.push_back({service, false, 0, now - path.lost_since});
  }
  paths_.erase(service);
}

const PathMonitor::Path* PathMonitor::find(ServiceId service) const {
  const auto found = paths_.find(service);
  return found == paths_.end() ? nullptr : &found->second;
}

}  // namespace planktray::routing
