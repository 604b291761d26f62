#pragma once
/// The replicated state of a cell: declarations, back ends, and the owners of shards and keys.
/// Deterministic: the same commands at the same indexes give the same state on every replica.
///
/// Invariants:
///  - A shard has at most one owner; its epoch is the index of the log entry of the assignment and
///    only grows.
///  - Revisions of a name only grow, even if the declaration is withdrawn and declared again.

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/error.hpp"
#include "config/declaration.hpp"
#include "ownership/commands.hpp"
#include "routing/table_messages.hpp"

namespace planktray::ownership {

/// The current revision of a template or tenant.
struct DeclarationRecord {
  common::Revision revision;
  bool withdrawn = false;
  common::ChangeId change_id;  ///< the change that created this revision
  LogIndex index;
  std::string document;
  MSGPACK_DEFINE_ARRAY(revision, withdrawn, change_id, index, document)
};

/// A registered incarnation of a back end.
struct BackendRecord {
  BackendId id;
  common::MachineName machine;
  std::string address;
  common::ZoneName zone;
  common::PoolName pool;
  common::Incarnation incarnation;
  bool leaving = false;
  LogIndex grants_index;      ///< index at which its set of shards last changed
  std::uint8_t contract = 0;  ///< an OwnershipContract
  std::uint32_t slots = 0;    ///< concurrent requests; 0: the service's default
  bool cold = false;          ///< not warmed up: slow, with capacity for few requests per second
  bool departed = false;      ///< it has deregistered
  bool ended = false;         ///< its process has ended: another incarnation answers at its address
  std::set<common::ShardRef> shards;  ///< derived from the services, not encoded
  MSGPACK_DEFINE_ARRAY(id, machine, address, zone, pool, incarnation, leaving, grants_index,
                       contract, slots, cold, departed, ended)

  bool has_contract(OwnershipContract wanted) const {
    return contract == static_cast<std::uint8_t>(wanted);
  }
  /// Returns true for a back end that registered itself and holds key ranges by fenced grants,
  /// whether they are sent as orders or in responses to heartbeats.
  bool has_fenced_grants() const {
    return has_contract(OwnershipContract::kFencedGrant) ||
           has_contract(OwnershipContract::kReportedGrant);
  }
};

/// The ownership of a shard.
struct ShardRecord {
  BackendId owner;  ///< 0: none
  Epoch epoch;
  bool moving = false;
  BackendId move_to;  ///< the next owner; 0: release only
  MSGPACK_DEFINE_ARRAY(owner, epoch, moving, move_to)
};

/// A service of a tenant.
struct ServiceRecord {
  ServiceId id;
  config::ServiceConfig config;
  bool retired = false;  ///< no longer declared; its shards are still being released
  std::vector<BackendId> targets;
  std::vector<ShardRecord> shards;
  MSGPACK_DEFINE_ARRAY(id, config, retired, targets, shards)
};

/// A service of the route configuration and the ownership of its keys. The record is kept after the
/// service is removed from the configuration, so that its fences keep growing if it is added again.
struct RoutedServiceRecord {
  ServiceId id;
  config::RoutedService config;
  bool retired = false;
  KeyRangeMap ranges;  ///< empty if the service is not keyed
  MSGPACK_DEFINE_ARRAY(id, config, retired, ranges)
};

/// Consecutive shards that a back end holds under one epoch.
struct Grant {
  common::ServiceKey service;
  ShardNumber first;
  ShardNumber last;
  Epoch epoch;
  bool operator==(const Grant&) const = default;
};

/// All shards granted to a back end.
struct GrantSet {
  LogIndex index;
  std::string digest;
  std::vector<Grant> grants;
};

/// Effects of a command beyond the state itself.
struct ApplyResult {
  std::optional<ChangeAnswer> answer;  ///< for ChangeDeclaration and ChangeRoutes
  routing::TableDelta delta;           ///< change of the routing table
};

/// The state machine to which the entries of the log are applied.
class CellState {
 public:
  /// Applies the command at `index`; indexes must grow.
  ApplyResult apply(LogIndex index, const Command& command);
  /// Advances the applied index past a log entry without a command.
  void skip(LogIndex index) { applied_ = index; }

  std::string encode_snapshot() const;
  /// @return the state, or kCorrupt.
  static common::Result<CellState> decode_snapshot(const std::string& bytes);

  LogIndex applied() const { return applied_; }
  /// Returns the index of the last entry that may have changed the owners of keys or the grant
  /// terms.
  LogIndex ownership_changed() const { return ownership_changed_; }
  const std::map<BackendId, BackendRecord>& backends() const { return backends_; }
  const std::map<ServiceId, ServiceRecord>& services() const { return services_; }
  const std::map<std::string, DeclarationRecord>& declarations(DeclarationKind kind) const;
  const BackendRecord* find_backend(BackendId id) const;
  const ServiceRecord* find_service(const common::ServiceKey& key) const;
  /// Returns true if the back end must receive no new requests.
  bool is_draining(const BackendRecord& backend) const;
  /// Returns the shards with a planned move in progress.
  const std::set<common::ShardRef>& moving() const { return moving_; }
  /// Returns the shard, or nullptr.
  const ShardRecord* find_shard(const common::ShardRef& ref) const;
  const std::set<common::MachineName>& drained_machines() const { return drained_; }
  const std::set<common::ZoneName>& evacuated_zones() const { return evacuated_zones_; }
  /// Returns true if the back end's zone is evacuated.
  bool is_evacuated(const BackendRecord& backend) const {
    return evacuated_zones_.contains(backend.zone);
  }
  const GrantTerms& grant_terms() const { return grant_terms_; }
  const config::RouteConfiguration& routes() const { return routes_; }
  const std::map<ServiceId, RoutedServiceRecord>& routed_services() const {
    return routed_services_;
  }
  /// Returns the range with exactly these keys and this fence, or nullptr.
  const RangeRecord* find_range(ServiceId service, const KeyRange& keys, Epoch fence) const;
  /// Returns the service of the route configuration, or nullptr.
  const RoutedServiceRecord* find_routed_service(const std::string& name) const;
  /// Returns the back end last registered with this incarnation, or nullptr.
  const BackendRecord* find_incarnation(const common::Incarnation& incarnation) const;
  /// Returns true if the back end owns any keys, including keys that are moving.
  bool owns_keys(BackendId id) const;
  /// Returns the back ends with fenced grants that are registered with this address and not known
  /// to have ended. At most one of them is running: the order in which they were registered does
  /// not tell which, as the first heartbeat of an earlier one may arrive after its successor's.
  std::vector<BackendId> candidates_at(const std::string& address) const;
  /// Returns true if more than one back end is registered with this address. Fast, as it is asked
  /// for every back end in each plan.
  bool is_shared_address(const std::string& address) const {
    return shared_addresses_.contains(address);
  }
  /// Returns true if this incarnation must not be registered (again): it has deregistered, or was
  /// removed after it left or ended.
  bool has_departed(const common::Incarnation& incarnation) const;
  GrantSet grants_of(BackendId id) const;
  /// Returns the whole routing table.
  routing::TableDelta table_snapshot() const;

 private:
  void apply_command(LogIndex index, const ChangeDeclaration& change, ApplyResult& result);
  void apply_command(LogIndex index, const RegisterBackend& command, ApplyResult& result);
  void apply_command(LogIndex index, const DrainMachine& command, ApplyResult& result);
  void apply_command(LogIndex index, const MarkLeaving& command, ApplyResult& result);
  void apply_command(LogIndex index, const ApplyPlan& plan, ApplyResult& result);
  void apply_command(LogIndex index, const ChangeRoutes& command, ApplyResult& result);
  void apply_command(LogIndex index, const ApplyRangePlan& plan, ApplyResult& result);
  void apply_command(LogIndex index, const SetGrantTerms& command, ApplyResult& result);
  void apply_command(LogIndex index, const EvacuateZone& command, ApplyResult& result);
  void apply_command(LogIndex index, const SetWarmth& command, ApplyResult& result);
  void set_warmth(BackendId id, bool cold, ApplyResult& result);

  /// Returns the result of a change without applying it.
  ChangeAnswer evaluate_change(LogIndex index, const ChangeDeclaration& change) const;
  common::Result<void> validate(const ChangeDeclaration& change) const;
  common::Result<void> validate_template(const config::Template& declaration) const;
  common::Result<void> validate_tenant(const config::Tenant& tenant,
                                       const config::Template& declaration) const;
  void remember_answer(const common::ChangeId& id, const ChangeAnswer& answer);
  void rebuild_tenant(LogIndex index, const std::string& name, ApplyResult& result);
  void put_service(LogIndex index, const config::ServiceConfig& service, ApplyResult& result);
  void retire_service(ServiceRecord& service, ApplyResult& result);
  void erase_if_released(ServiceId id);
  std::optional<config::Template> find_template(const std::string& name) const;

  void lose_backend(LogIndex index, BackendId id, ApplyResult& result);
  void assign(LogIndex index, const ShardAssignment& assignment, ApplyResult& result);
  void begin_move(const MoveIntent& move, ApplyResult& result);
  ShardRecord* mutable_shard(const common::ShardRef& ref);
  void set_owner(LogIndex index, common::ShardRef ref, ShardRecord& record, BackendId owner);

  void adopt_routes(LogIndex index, config::RouteConfiguration next, ApplyResult& result);
  void put_routed_service(LogIndex index, const config::RoutedService& service,
                          ApplyResult& result);
  void insert_backend(BackendRecord record);
  bool erase_backend(BackendId id);
  /// Updates whether the address is shared, after a back end was added to it or removed.
  void note_address_use(const std::string& address);
  void remember_departure(const common::Incarnation& incarnation);
  void add_routes_snapshot(routing::TableDelta& table) const;

  routing::BackendRoute backend_route(const BackendRecord& backend) const;
  static routing::ServiceRoute service_route(const ServiceRecord& service);
  static routing::ShardRoute shard_route(ServiceId service, ShardNumber shard,
                                         const ShardRecord& record);

  LogIndex applied_;
  LogIndex ownership_changed_;
  std::map<std::string, DeclarationRecord> templates_;
  std::map<std::string, DeclarationRecord> tenants_;
  std::map<common::ChangeId, ChangeAnswer> answers_;
  std::deque<common::ChangeId> answer_order_;
  std::map<BackendId, BackendRecord> backends_;
  // Derived from the back ends.
  std::unordered_map<common::Incarnation, BackendId> incarnations_;
  std::set<std::pair<std::string, BackendId>> backends_by_address_;
  std::set<std::string> shared_addresses_;  ///< with more than one back end; few at any time
  std::set<common::MachineName> drained_;
  std::set<common::ZoneName> evacuated_zones_;
  std::map<ServiceId, ServiceRecord> services_;
  std::map<common::ServiceKey, ServiceId> service_ids_;
  std::set<common::ShardRef> moving_;  ///< derived from the services
  std::uint64_t next_service_ = 1;

  GrantTerms grant_terms_;
  config::RouteConfiguration routes_;
  /// Digests of all accepted changes by version. Never pruned, so that a resend of any of them is
  /// acknowledged again.
  std::map<std::uint64_t, std::uint64_t> taken_changes_;
  std::map<ServiceId, RoutedServiceRecord> routed_services_;
  std::map<std::string, ServiceId> routed_ids_;
  std::deque<common::Incarnation> departed_;  ///< oldest first
  std::set<common::Incarnation> departed_set_;
};

}  // namespace planktray::ownership
