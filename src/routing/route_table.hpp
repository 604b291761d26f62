#pragma once
/// The routed part of a router's table: routes by host and path, their services and who owns which
/// keys of them.

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
  std::vector<BackendId> targets;  ///< in the order of their ids
  /// The shortest objective of the routes that lead here, the timeout of those without one;
  /// nothing where none has either.
  std::optional<common::Duration> shortest_objective;
};

/// The owners of a service's keys, as disjoint ranges.
class KeyOwners {
 public:
  void put(std::uint32_t first, std::uint32_t last, BackendId owner);
  /// @return the owner, 0 where there is none.
  BackendId owner_of(std::uint32_t key) const;

 private:
  struct Owned {
    std::uint32_t last = 0;
    BackendId owner;
  };
  void cut_at(std::uint32_t first);

  std::map<std::uint32_t, Owned> ranges_;  ///< by first key
};

class RouteTable {
 public:
  void install(const TableDelta& delta,
               const std::unordered_map<BackendId, BackendRoute>& backends);

  /// The route of the longest path prefix that begins `path` among those of `host`, or nullptr.
  /// @param host may carry a port. @param path without the query.
  const config::Route* find(std::string_view host, std::string_view path) const;
  /// @return the service, or nullptr.
  const RoutedTableService* find_service(const common::ServiceName& name) const;
  const RoutedTableService* find_service(ServiceId id) const;
  BackendId owner_of(ServiceId service, std::uint32_t key) const;
  const config::RequestLimits& limits() const { return limits_; }
  /// Version of the route configuration in the table; 0 while there is none.
  std::uint64_t version() const { return version_; }

 private:
  void remove_route(const std::string& name);
  void put_route(const config::Route& route);
  void list_targets(const std::unordered_map<BackendId, BackendRoute>& backends);
  void find_shortest_objectives();

  std::map<std::string, config::Route> routes_;  ///< by name
  /// Route names of one host by path prefix. Hosts that differ in case or port only may hold the
  /// same prefix twice: the first name counts.
  using Prefixes = std::map<std::string, std::set<std::string>, std::less<>>;
  std::unordered_map<std::string, Prefixes> by_host_;
  std::map<ServiceId, RoutedTableService> services_;
  std::unordered_map<std::string, ServiceId> service_ids_;
  std::map<ServiceId, KeyOwners> owners_;
  config::RequestLimits limits_;
  std::uint64_t version_ = 0;
};

}  // namespace planktray::routing
