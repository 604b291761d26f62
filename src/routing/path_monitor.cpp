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

void PathMonitor::on_probed(TimePoint now, BackendId backend, bool is_reachable) {
  const auto service = services_.find(backend);
  if (service == services_.end()) {
    return;
  }
  const ServiceId id = service->second;
  services_.erase(service);
  const auto found = paths_.find(id);
  if (found == paths_.end() || found->second.probed.erase(backend) == 0) {
    return;
  }
  Path& path = found->second;
  if (is_reachable) {
    unreachable_.erase(backend);
    return restore(now, id, path);
  }
  block(now, backend);
  path.failed[backend] = now;
  if (!path.probed.empty()) {
    return;
  }
  if (path.state == State::kSuspected) {
    return lose(now, id, path);
  }
  path.next_probe = now + path.probe_interval;
  path.probe_interval = std::min(2 * path.probe_interval, options_.longest_probe_interval);
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

std::vector<BackendId> PathMonitor::choose_probes(TimePoint now, ServiceId service,
                                                  std::vector<BackendId> candidates,
                                                  common::RandomEngine& random) {
  Path& path = paths_.at(service);
  path.next_probe = TimePoint::max();
  if (path.state == State::kSuspected) {
    std::erase_if(candidates, [&](BackendId id) { return path.failed.contains(id); });
    if (candidates.empty()) {
      lose(now, service, path);
      return {};
    }
  } else if (candidates.empty()) {
    path.next_probe = now + path.probe_interval;  // the service has no back end at present
    return {};
  }
  const auto first = common::uniform(random, 0, candidates.size() - 1);
  std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(first),
              candidates.end());
  const std::size_t wanted = path.state == State::kSuspected ? options_.confirming_probes : 1;
  candidates.resize(std::min(candidates.size(), wanted));
  for (const BackendId id : candidates) {
    path.probed.insert(id);
    services_[id] = service;
  }
  return candidates;
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
  const bool is_blocked = found != unreachable_.end() && now < found->second.blocked_until;
  return is_blocked ? std::optional(found->second.blocked_until) : std::nullopt;
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
  Unreachable& entry = unreachable_[backend];
  entry.block = std::clamp(entry.block * 2, options_.minimum_block, options_.maximum_block);
  entry.blocked_until = std::max(entry.blocked_until, now + entry.block);
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
