#include "slopes.hpp"

#include <filesystem>
#include <optional>

#include "cell_fixture.hpp"
#include "measure.hpp"
#include "ownership/lease_manager.hpp"
#include "ownership/planner.hpp"
#include "router/core/router_core.hpp"
#include "standin/core/backend_core.hpp"
#include "storage/log_store.hpp"
#include "transport/file_disk.hpp"
#include "transport/json_messages.hpp"

namespace planktray::bench {
namespace {

using common::LogIndex;
using common::TimePoint;
using std::chrono::milliseconds;

constexpr std::uint32_t kRequests = 200'000;
constexpr std::uint32_t kDeltas = 2'000;
constexpr int kRenewalRounds = 20;

std::string at_size(const CellSize& size) {
  return std::to_string(size.shards) + " shards, " + std::to_string(size.backends) + " back ends";
}

TimePoint at(std::int64_t value) { return common::from_microseconds(value * 1000); }

class Bench {
 public:
  explicit Bench(CellSize size) : size_(size), state_(make_cell(size, cost_)) {}

  std::vector<Slope> run() {
    add("controller: heap per back end", cost_.backend_bytes, "bytes");
    add("controller: heap per shard", cost_.shard_bytes, "bytes");
    add("controller: apply a registration", cost_.register_us, "us");
    add("controller: apply an assignment", cost_.assign_us, "us");
    measure_snapshot();
    measure_grants();
    measure_renewals();
    measure_planner();
    measure_configuration_change();
    measure_router();
    return std::move(slopes_);
  }

 private:
  void add(const std::string& name, double value, const std::string& unit) {
    slopes_.push_back({name, at_size(size_), value, unit});
  }

  void measure_snapshot() {
    const Meter encode;
    const std::string bytes = state_.encode_snapshot();
    add("controller: snapshot size", static_cast<double>(bytes.size()), "bytes");
    add("controller: encode a snapshot", encode.microseconds() / 1000, "ms");
    const Meter decode;
    const auto restored = ownership::CellState::decode_snapshot(bytes);
    add("controller: load a snapshot", decode.microseconds() / 1000, "ms");
  }

  void measure_grants() {
    const common::BackendId first = state_.backends().begin()->first;
    const Meter meter;
    const ownership::GrantSet grants = state_.grants_of(first);
    add("controller: make one grant set", meter.microseconds(), "us");
    ownership::LeaseRequest request;
    request.has_grants = true;
    request.grants = grants.grants;
    add("lease request with the whole set", static_cast<double>(transport::to_json(request).size()),
        "bytes of JSON");
  }

  /// Measures rounds of renewals with JSON requests and replies, without sockets.
  void measure_renewals() {
    ownership::LeaseManager leases(common::CellName("cell-1"), ownership::LeaseOptions());
    const Meter memory;
    leases.begin_term(at(0), common::Term(1), state_);
    std::map<common::BackendId, standin::LeaseHolder> holders;
    for (const auto& [id, backend] : state_.backends()) {
      holders.emplace(id, standin::LeaseHolder(backend.incarnation));
    }
    std::uint64_t renewals = 0;
    double bytes = 0;
    double manager_us = 0;
    double holder_us = 0;
    for (int round = 0; round < kRenewalRounds; ++round) {
      const TimePoint now = at(1 + 80 * round);
      std::vector<ownership::OutgoingLease> out;
      std::vector<ownership::OutgoingRelease> releases;
      const Meter collect;
      leases.collect(now, state_, membership::MachineList(), out, releases);
      const bool steady = round > 2;
      manager_us += steady ? collect.microseconds() : 0;
      for (const ownership::OutgoingLease& lease : out) {
        const Meter encode;
        const std::string request = transport::to_json(lease.request);
        manager_us += steady ? encode.microseconds() : 0;
        const Meter hold;
        ownership::LeaseReply reply;
        const auto parsed = transport::parse_lease_request(request, "bench");
        standin::LeaseHolder& holder = holders.at(lease.backend);
        reply.status = holder.on_lease(now, *parsed);
        reply.incarnation = holder.incarnation();
        reply.clock_us = common::to_microseconds(now);
        reply.grants_digest = holder.digest();
        const std::string answer = transport::to_json(reply);
        holder_us += steady ? hold.microseconds() : 0;
        const Meter receive;
        const auto read = transport::parse_lease_reply(200, answer, "bench");
        leases.on_lease_reply(now, lease.machine, lease.backend, *read);
        manager_us += steady ? receive.microseconds() : 0;
        renewals += steady ? 1 : 0;
        bytes += steady ? static_cast<double>(request.size() + answer.size()) : 0;
      }
    }
    const auto count = static_cast<double>(renewals);
    add("controller: one renewal and its answer, without HTTP", manager_us / count, "us");
    add("back end: one renewal, without HTTP", holder_us / count, "us");
    add("renewal and answer, bodies", bytes / count, "bytes");
  }

  void measure_planner() {
    ownership::Planner planner{ownership::PlannerOptions()};
    ownership::LoadView loads;
    const std::set<ownership::HeldShard> released;
    const ownership::PlannerInput input{state_, loads, {}, released, true};
    const Meter meter;
    const auto plan = planner.plan(at(1000), input);
    add("controller: one balancing plan", meter.microseconds() / 1000, "ms");
  }

  void measure_configuration_change() {
    config::Tenant tenant;
    tenant.name = common::TenantName("tenant");
    tenant.template_name = common::TemplateName("large");
    tenant.targets[common::ServiceName("keyed")] = size_.backends;
    ownership::CellState copy = state_;
    const Meter meter;
    const auto result =
        copy.apply(LogIndex(copy.applied().value + 1),
                   ownership::ChangeDeclaration{
                       static_cast<std::uint8_t>(ownership::DeclarationKind::kTenant), "tenant",
                       common::Revision(1), common::ChangeId("next"), config::to_json(tenant)});
    add("controller: apply a configuration change", meter.microseconds(), "us");
    add("router: bytes of a configuration change",
        static_cast<double>(common::encode(result.delta).size()), "bytes");
  }

  void measure_router() {
    router::RouterOptions options;
    options.name = common::RouterName("router");
    std::optional<router::RouterCore> core;
    core.emplace(options, common::RandomEngine(1), at(0));
    routing::TableUpdate update;
    update.echo_clock_us = 1;
    update.current_index = state_.applied();
    update.deltas = {state_.table_snapshot()};
    add("router: table snapshot on the wire", static_cast<double>(common::encode(update).size()),
        "bytes");
    const Meter install;
    core->on_table_update(at(1), update);
    add("router: install a table", install.microseconds() / 1000, "ms");
    add("router: heap per shard", install.bytes() / size_.shards, "bytes");
    core->take_output();
    measure_requests(*core);
    measure_deltas(*core);
  }

  void measure_requests(router::RouterCore& core) {
    const common::ServiceKey service{common::TenantName("tenant"), common::ServiceName("keyed")};
    std::vector<std::string> keys;
    for (std::uint32_t i = 0; i < kRequests; ++i) {
      keys.push_back("key-" + std::to_string(i));
    }
    const Meter meter;
    for (std::uint32_t i = 0; i < kRequests; ++i) {
      core.on_request(at(2), {i + 1, service, keys[i], "GET", 1000});
      for (const router::Forward& forward : core.take_output().forwards) {
        core.on_attempt_done(at(2), forward.attempt, {routing::AttemptEnd::kAnswered, {}});
      }
      core.take_output();
    }
    add("router: decide one request, start to answer", meter.microseconds() / kRequests, "us");
    const auto* found = core.table().find_service(service);
    const Meter lookups;
    std::uint64_t sum = 0;
    for (const std::string& key : keys) {
      const auto shard = routing::shard_of_key(key, found->route.config.parameters);
      sum += core.table().find_service(service)->shards[shard.value].owner.value;
    }
    add("router: look one owner up", lookups.microseconds() / kRequests + (sum == 0 ? 1 : 0), "us");
  }

  void measure_deltas(router::RouterCore& core) {
    std::uint64_t index = state_.applied().value;
    double bytes = 0;
    std::vector<routing::TableUpdate> updates;
    for (std::uint32_t i = 0; i < kDeltas; ++i) {
      routing::TableUpdate update;
      update.base_index = LogIndex(index);
      update.current_index = LogIndex(++index);
      routing::TableDelta delta;
      delta.from = update.base_index;
      delta.to = update.current_index;
      delta.shards = {{state_.services().begin()->first, common::ShardNumber(i % size_.shards),
                       state_.backends().begin()->first, common::Epoch(index), false}};
      update.deltas = {delta};
      bytes += static_cast<double>(common::encode(update).size());
      updates.push_back(std::move(update));
    }
    const Meter meter;
    for (const routing::TableUpdate& update : updates) {
      core.on_table_update(at(3), update);
      core.take_output();
    }
    add("router: install one shard's move", meter.microseconds() / kDeltas, "us");
    add("router: bytes of one shard's move", bytes / kDeltas, "bytes");
  }

  CellSize size_;
  CellCost cost_;
  ownership::CellState state_;
  std::vector<Slope> slopes_;
};

/// Measures append and sync on the local file system, with 1 and 64 entries per sync.
std::vector<Slope> measure_log() {
  std::vector<Slope> slopes;
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() / "planktray-bench-log";
  std::filesystem::remove_all(folder);
  auto disk = transport::FileDisk::open(folder.string());
  if (!disk.has_value()) {
    return slopes;
  }
  storage::LogStore store(**disk);
  common::RandomEngine random(1);
  if (!store.open(common::CellName("cell"), random).has_value()) {
    return slopes;
  }
  std::uint64_t index = 0;
  for (const std::uint32_t group : {1U, 64U}) {
    constexpr std::uint32_t kSyncs = 200;
    const auto began = std::chrono::steady_clock::now();
    const Meter meter;
    for (std::uint32_t i = 0; i < kSyncs; ++i) {
      consensus::PersistRequest request;
      for (std::uint32_t j = 0; j < group; ++j) {
        request.entries.push_back({LogIndex(++index), common::Term(1), 1, std::string(200, 'x')});
      }
      (void)store.persist({request});
    }
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - began;
    const std::string size = std::to_string(group) + " entries of 200 bytes a sync";
    slopes.push_back(
        {"log: append and sync, elapsed", size, took.count() / kSyncs / group, "us an entry"});
    slopes.push_back({"log: append and sync, processor", size,
                      meter.microseconds() / kSyncs / group, "us an entry"});
  }
  std::filesystem::remove_all(folder);
  return slopes;
}

}  // namespace

std::vector<Slope> measure_slopes() {
  std::vector<Slope> all;
  const std::vector<CellSize> sizes = {
      {125, 1'000}, {125, 10'000}, {3'000, 100'000}, {125, 8'400}, {3'000, 200'000}};
  for (const CellSize& size : sizes) {
    const std::vector<Slope> slopes = Bench(size).run();
    all.insert(all.end(), slopes.begin(), slopes.end());
  }
  const std::vector<Slope> log = measure_log();
  all.insert(all.end(), log.begin(), log.end());
  return all;
}

}  // namespace planktray::bench
