#pragma once
/// The part of a router's table for the route configuration: routes by host and path, their
/// services and the owners of the services' keys.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/time.hpp"
#include "routing/table_messages.hpp"

namespace planktray::routing {

/// A service of the route configuration with the back ends that registered for it.
struct RoutedTableService {
  RoutedServiceRoute route;
  std::vector<BackendId> targets;  ///< in ascending order
  /// The shortest latency objective of the routes to this service, using the timeout of routes
  /// without an objective; std::nullopt if no route has either.
  std::optional<common::Duration> shortest_objective;
};

/// The owners of a service's keys, as disjoint ranges.
class KeyOwners {
 public:
  /// Assigns the keys `first` to `last` to `owner`.
  void put(std::uint32_t first, std::uint32_t last, BackendId owner);
  /// @return the owner, or 0 if there is none.
  BackendId owner_of(std::uint32_t key) const;

 private:
  struct Range {
    std::uint32_t last = 0;
    BackendId owner;
  };
  /// Splits the range that contains `first`, if there is one, so that a range begins at `first`.
  void split_at(std::uint32_t first);

  std::map<std::uint32_t, Range> ranges_;  ///< by first key
};

class RouteTable {
 public:
  void install(const TableDelta& delta,
               const std::unordered_map<BackendId, BackendRoute>& backends);

  /// Returns the route of `host` with the longest path prefix of `path`, or nullptr.
  /// @param host may include a port. @param path without the query.
  const config::Route* find(std::string_view host, std::string_view path) const;
  bool has_route(const std::string& name) const { return routes_.contains(name); }
  /// @return the service, or nullptr.
  const RoutedTableService* find_service(const common::ServiceName& name) const;
  const RoutedTableService* find_service(ServiceId id) const;
  BackendId owner_of(ServiceId service, std::uint32_t key) const;
  const config::RequestLimits& limits() const { return limits_; }
  /// Version of the route configuration in the table; 0 if there is none.
  std::uint64_t version() const { return version_; }

 private:
  void remove_route(const std::string& name);
  void put_route(const config::Route& route);
  void update_targets(const std::unordered_map<BackendId, BackendRoute>& backends);
  /// Applies the changes of a delta that is no snapshot to the targets of services.
  void update_changed_targets(const TableDelta& delta);
  void update_shortest_objectives();

  std::map<std::string, config::Route> routes_;  ///< by name
  /// Route names of one host by path prefix. A prefix may occur more than once, in hosts that
  /// differ only in case or port; the alphabetically first route name applies.
  using Prefixes = std::map<std::string, std::set<std::string>, std::less<>>;
  std::unordered_map<std::string, Prefixes> by_host_;
  std::map<ServiceId, RoutedTableService> services_;
  std::unordered_map<std::string, ServiceId> service_ids_;
  std::map<ServiceId, KeyOwners> owners_;
  config::RequestLimits limits_;
  std::uint64_t version_ = 0;
};

}  // namespace planktray::routing
