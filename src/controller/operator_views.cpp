/// Read-only views of OperatorApi: identity, status, members, sites, assignments, metrics.

#include <charconv>
#include <nlohmann/json.hpp>

#include "common/json_text.hpp"
#include "controller/operator_api.hpp"
#include "transport/containment.hpp"
#include "transport/event_loop.hpp"

namespace planktray::controller {
namespace {

using nlohmann::json;
using transport::HttpExchange;

constexpr unsigned kStatusOk = 200;

common::TimePoint now() { return transport::boot_time_now(); }

std::string replica_text(common::ReplicaId id) {
  char text[17] = {};
  const auto end = std::to_chars(text, text + sizeof(text) - 1, id.value, 16);
  return std::string(text, end.ptr);
}

json member_json(const consensus::Member& member) {
  return {{"replica", replica_text(member.id)},
          {"name", member.name},
          {"peer_address", member.peer_address},
          {"operator_address", member.operator_address},
          {"voter", member.voter}};
}

}  // namespace

std::string OperatorApi::identity_json() const {
  return common::json_text(json{{"cell", core_.options().cell.value},
                                {"replica", replica_text(core_.raft().self())},
                                {"name", core_.options().name},
                                {"peer_address", core_.options().peer_address},
                                {"operator_address", core_.options().operator_address},
                                {"created", !core_.raft().membership().members.empty()}});
}

std::string OperatorApi::status_json() const {
  const consensus::Member* leader = core_.raft().membership().find(core_.raft().leader());
  const auto& state = core_.state();
  std::size_t shards = 0;
  std::size_t unowned = 0;
  for (const auto& [id, service] : state.services()) {
    shards += service.shards.size();
    for (const ownership::ShardRecord& shard : service.shards) {
      unowned += shard.owner.value == 0 ? 1 : 0;
    }
  }
  json backends = json::array();
  for (const auto& [id, backend] : state.backends()) {
    backends.push_back({{"id", id.value},
                        {"machine", backend.machine.value},
                        {"address", backend.address},
                        {"zone", backend.zone.value},
                        {"pool", backend.pool.value},
                        {"incarnation", backend.incarnation.value},
                        {"draining", state.is_draining(backend)},
                        {"evacuated", state.is_evacuated(backend)},
                        {"cold", backend.cold},
                        {"shards", backend.shards.size()}});
  }
  return common::json_text(json{{"cell", core_.options().cell.value},
                                {"name", core_.options().name},
                                {"is_leader", core_.raft().is_leader()},
                                {"is_serving", core_.is_serving(now())},
                                {"leader", leader == nullptr ? "" : leader->operator_address},
                                {"term", core_.raft().term().value},
                                {"commit_index", core_.raft().commit_index().value},
                                {"applied_index", state.applied().value},
                                {"services", state.services().size()},
                                {"shards", shards},
                                {"unowned_shards", unowned},
                                {"moving_shards", state.moving().size()},
                                {"backends", backends}});
}

std::string OperatorApi::members_json() const {
  json members = json::array();
  const auto time = now();
  for (const consensus::Member& member : core_.raft().membership().members) {
    json item = member_json(member);
    const auto last_contact = core_.raft().last_contact(member.id);
    item["match_index"] = core_.raft().match_index(member.id).value;
    item["is_self"] = member.id == core_.raft().self();
    if (last_contact.has_value()) {
      item["silent_ms"] =
          std::chrono::duration_cast<std::chrono::milliseconds>(time - *last_contact).count();
    }
    members.push_back(std::move(item));
  }
  return common::json_text(json{{"members", members},
                                {"is_leader", core_.raft().is_leader()},
                                {"fully_replicated", core_.is_fully_replicated(time)},
                                {"change_pending", core_.raft().membership_change_pending()}});
}

std::string OperatorApi::evacuations_json() const {
  json zones = json::array();
  for (const common::ZoneName& zone : core_.state().evacuated_zones()) {
    zones.push_back(zone.value);
  }
  return common::json_text(json{{"evacuated_zones", zones}});
}

std::string OperatorApi::sites_json() const {
  const auto time = now();
  json routers = json::array();
  for (const RouterView& router : core_.distributor().routers(time)) {
    routers.push_back({{"name", router.name.value},
                       {"address", router.address},
                       {"table_index", router.table_index.value},
                       {"serving", router.serving}});
  }
  json body = {{"routers", routers}, {"applied_index", core_.state().applied().value}};
  const auto in_force = core_.distributor().in_force(time, core_.state());
  body["in_force_index"] = in_force.has_value() ? json(in_force->value) : json(nullptr);
  return common::json_text(body);
}

void OperatorApi::render_assignments(HttpExchange& exchange,
                                     const common::ServiceKey& service) const {
  const ownership::ServiceRecord* record = core_.state().find_service(service);
  if (record == nullptr || record->retired) {
    return exchange.respond_error(
        {common::ErrorCode::kNotFound, "get assignments", "", "no such service"});
  }
  const auto machine_of = [&](common::BackendId id) {
    const ownership::BackendRecord* backend = core_.state().find_backend(id);
    return backend == nullptr ? std::string() : backend->machine.value;
  };
  json targets = json::array();
  for (const common::BackendId id : record->targets) {
    targets.push_back(machine_of(id));
  }
  json shards = json::array();
  for (std::size_t i = 0; i < record->shards.size(); ++i) {
    const ownership::ShardRecord& shard = record->shards[i];
    shards.push_back({{"shard", i},
                      {"owner", machine_of(shard.owner)},
                      {"epoch", shard.epoch.value},
                      {"moving", shard.moving}});
  }
  exchange.respond_json(kStatusOk, common::json_text(json{{"tenant", service.tenant.value},
                                                          {"service", service.service.value},
                                                          {"targets", targets},
                                                          {"shards", shards}}));
}

std::string OperatorApi::metrics_text() {
  const ControllerCounters& counters = core_.counters();
  metrics_.set_counter("planktray_elections_won_total", "Elections won.", counters.elections_won);
  metrics_.set_counter("planktray_entries_applied_total", "Log entries applied.",
                       counters.entries_applied);
  metrics_.set_counter("planktray_changes_accepted_total", "Declarations accepted.",
                       counters.changes_accepted);
  metrics_.set_counter("planktray_changes_refused_total", "Declarations refused.",
                       counters.changes_refused);
  metrics_.set_counter("planktray_backends_registered_total", "Back-end incarnations registered.",
                       counters.backends_registered);
  metrics_.set_counter("planktray_backends_lost_total", "Back-end sessions ended.",
                       counters.backends_lost);
  metrics_.set_counter("planktray_shards_assigned_total", "Shards given to an owner.",
                       counters.shards_assigned);
  metrics_.set_counter("planktray_joins_forwarded_total", "Requests to join sent to the leader.",
                       counters.joins_forwarded);
  metrics_.set_counter("planktray_joins_refused_total", "Requests to join refused as the leader.",
                       counters.joins_refused);
  metrics_.set_counter("planktray_moves_begun_total", "Planned moves begun.", counters.moves_begun);
  metrics_.set_counter("planktray_tables_as_follower_total",
                       "Tables brought to routers that did not hear the leader in time.",
                       counters.tables_as_follower);
  metrics_.set_counter("planktray_news_relayed_total",
                       "Heartbeats and goodbyes with news passed on to the leader.",
                       counters.updates_relayed);
  metrics_.set_counter("planktray_snapshots_taken_total", "Snapshots taken.",
                       counters.snapshots_taken);
  metrics_.set_counter("planktray_contained_exceptions_total",
                       "Exceptions that input from peers has caused.",
                       transport::contained_exceptions());
  metrics_.set_gauge("planktray_is_leader", "1 where this replica leads.",
                     core_.raft().is_leader() ? 1 : 0);
  metrics_.set_gauge("planktray_term", "Election term.",
                     static_cast<double>(core_.raft().term().value));
  metrics_.set_gauge("planktray_commit_index", "Highest committed log index.",
                     static_cast<double>(core_.raft().commit_index().value));
  metrics_.set_gauge("planktray_applied_index", "Highest applied log index.",
                     static_cast<double>(core_.state().applied().value));
  metrics_.set_gauge("planktray_log_entries", "Log entries in memory.",
                     static_cast<double>(core_.raft().log_size()));
  metrics_.set_gauge("planktray_backends", "Registered back ends.",
                     static_cast<double>(core_.state().backends().size()));
  metrics_.set_gauge("planktray_moving_shards", "Planned moves under way.",
                     static_cast<double>(core_.state().moving().size()));
  if (on_metrics) {
    on_metrics();
  }
  return metrics_.serialize();
}

}  // namespace planktray::controller
