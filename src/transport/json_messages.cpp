#include "transport/json_messages.hpp"

#include <functional>
#include <nlohmann/json.hpp>

#include "common/json_text.hpp"
#include "transport/http_server.hpp"

namespace planktray::transport {
namespace {

/// Error id, outside the JSON library's own ids, for exceptions thrown here.
constexpr int kInvalidRangeId = 900;

using nlohmann::json;
using ownership::BackendState;
using ownership::LeaseStatus;

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusConflict = 409;

template <typename T>
common::Result<T> parse(std::string_view body, const char* step, const std::string& peer,
                        const std::function<T(const json&)>& read) {
  try {
    return read(json::parse(body));
  } catch (const json::exception& error) {
    return common::fail(common::ErrorCode::kInvalid, step, peer, error.what());
  }
}

const char* state_name(BackendState state) {
  switch (state) {
    case BackendState::kCold:
      return "cold";
    case BackendState::kDraining:
      return "draining";
    case BackendState::kReady:
      break;
  }
  return "ready";
}

BackendState state_of(const std::string& name) {
  if (name == "cold") {
    return BackendState::kCold;
  }
  return name == "draining" ? BackendState::kDraining : BackendState::kReady;
}

const char* reason_name(LeaseStatus status) {
  switch (status) {
    case LeaseStatus::kStaleTerm:
      return "stale_term";
    case LeaseStatus::kWrongIncarnation:
      return "wrong_incarnation";
    case LeaseStatus::kGrantsNeeded:
      return "grants_needed";
    case LeaseStatus::kAccepted:
      break;
  }
  return "";
}

LeaseStatus status_of_reason(const std::string& reason) {
  if (reason == "wrong_incarnation") {
    return LeaseStatus::kWrongIncarnation;
  }
  return reason == "grants_needed" ? LeaseStatus::kGrantsNeeded : LeaseStatus::kStaleTerm;
}

json held_to_json(const std::vector<ownership::HeldShard>& shards) {
  json list = json::array();
  for (const ownership::HeldShard& held : shards) {
    list.push_back({{"tenant", held.service.tenant.value},
                    {"service", held.service.service.value},
                    {"shard", held.shard.value},
                    {"epoch", held.epoch.value}});
  }
  return list;
}

common::ServiceKey read_service(const json& value) {
  return {common::TenantName(value.at("tenant").get<std::string>()),
          common::ServiceName(value.at("service").get<std::string>())};
}

std::vector<ownership::HeldShard> read_held(const json& list) {
  std::vector<ownership::HeldShard> shards;
  for (const json& item : list) {
    shards.push_back({read_service(item),
                      common::ShardNumber(common::json_integer<std::uint32_t>(item.at("shard"))),
                      common::Epoch(common::json_integer<std::uint64_t>(item.at("epoch")))});
  }
  return shards;
}

/// @throws json::exception for a shard range that is not valid for any service.
ownership::Grant read_grant(const json& item) {
  ownership::Grant grant;
  grant.service = read_service(item);
  grant.first.value = common::json_integer<std::uint32_t>(item.at("first_shard"));
  grant.last.value = common::json_integer<std::uint32_t>(item.at("last_shard"));
  grant.epoch.value = common::json_integer<std::uint64_t>(item.at("epoch"));
  if (grant.last < grant.first || grant.last.value >= config::kMaxShardsPerService) {
    throw json::out_of_range::create(kInvalidRangeId, "grants: no such range of shards", &item);
  }
  return grant;
}

}  // namespace

std::string to_json(const ownership::LeaseRequest& request) {
  json body = {{"cell", request.cell.value},
               {"term", request.term.value},
               {"incarnation", request.incarnation.value},
               {"expires_clock_us", request.expires_clock_us},
               {"grants_index", request.grants_index.value},
               {"grants_digest", request.grants_digest}};
  if (request.has_grants) {
    json grants = json::array();
    for (const ownership::Grant& grant : request.grants) {
      grants.push_back({{"tenant", grant.service.tenant.value},
                        {"service", grant.service.service.value},
                        {"first_shard", grant.first.value},
                        {"last_shard", grant.last.value},
                        {"epoch", grant.epoch.value}});
    }
    body["grants"] = std::move(grants);
  }
  return common::json_text(body);
}

common::Result<ownership::LeaseRequest> parse_lease_request(std::string_view body,
                                                            const std::string& peer) {
  return parse<ownership::LeaseRequest>(body, "read lease", peer, [](const json& value) {
    ownership::LeaseRequest request;
    request.cell.value = value.at("cell").get<std::string>();
    request.term.value = common::json_integer<std::uint64_t>(value.at("term"));
    request.incarnation.value = value.at("incarnation").get<std::string>();
    request.expires_clock_us = common::json_integer<std::int64_t>(value.at("expires_clock_us"));
    request.grants_index.value = common::json_integer<std::uint64_t>(value.at("grants_index"));
    request.grants_digest = value.at("grants_digest").get<std::string>();
    request.has_grants = value.contains("grants");
    if (request.has_grants) {
      for (const json& item : value.at("grants")) {
        request.grants.push_back(read_grant(item));
      }
    }
    return request;
  });
}

std::string to_json(const ownership::LeaseReply& reply) {
  json body = {{"incarnation", reply.incarnation.value},
               {"clock_us", reply.clock_us},
               {"grants_digest", reply.grants_digest},
               {"state", state_name(reply.state)},
               {"load",
                {{"running", reply.load.running},
                 {"slots", reply.load.slots},
                 {"queued", reply.load.queued}}}};
  if (reply.status != LeaseStatus::kAccepted) {
    body["reason"] = reason_name(reply.status);
  }
  return common::json_text(body);
}

common::Result<ownership::LeaseReply> parse_lease_reply(unsigned status, std::string_view body,
                                                        const std::string& peer) {
  if (status != kStatusOk && status != kStatusConflict) {
    return common::fail(common::ErrorCode::kUnavailable, "renew lease", peer,
                        "status " + std::to_string(status));
  }
  return parse<ownership::LeaseReply>(body, "read lease answer", peer, [&](const json& value) {
    ownership::LeaseReply reply;
    reply.incarnation.value = value.at("incarnation").get<std::string>();
    reply.clock_us = common::json_integer<std::int64_t>(value.at("clock_us"));
    reply.grants_digest = value.at("grants_digest").get<std::string>();
    reply.state = state_of(value.at("state").get<std::string>());
    const json& load = value.at("load");
    reply.load = {common::json_integer<std::uint32_t>(load.at("running")),
                  common::json_integer<std::uint32_t>(load.at("slots")),
                  common::json_integer<std::uint32_t>(load.at("queued"))};
    if (status == kStatusConflict) {
      reply.status = status_of_reason(value.at("reason").get<std::string>());
    }
    return reply;
  });
}

std::string to_json(const ownership::ReleaseRequest& request) {
  return common::json_text(json{{"cell", request.cell.value},
                                {"term", request.term.value},
                                {"incarnation", request.incarnation.value},
                                {"shards", held_to_json(request.shards)},
                                {"wait_ms", request.wait_ms}});
}

common::Result<ownership::ReleaseRequest> parse_release_request(std::string_view body,
                                                                const std::string& peer) {
  return parse<ownership::ReleaseRequest>(body, "read release", peer, [](const json& value) {
    ownership::ReleaseRequest request;
    request.cell.value = value.at("cell").get<std::string>();
    request.term.value = common::json_integer<std::uint64_t>(value.at("term"));
    request.incarnation.value = value.at("incarnation").get<std::string>();
    request.shards = read_held(value.at("shards"));
    request.wait_ms = common::json_integer<std::uint32_t>(value.at("wait_ms"));
    return request;
  });
}

std::string to_json(const ownership::ReleaseReply& reply, std::int64_t clock_us) {
  return common::json_text(json{{"released", held_to_json(reply.released)},
                                {"running", held_to_json(reply.running)},
                                {"clock_us", clock_us}});
}

common::Result<ownership::ReleaseReply> parse_release_reply(unsigned status, std::string_view body,
                                                            const std::string& peer) {
  if (status != kStatusOk) {
    return ownership::ReleaseReply{};
  }
  return parse<ownership::ReleaseReply>(body, "read release answer", peer, [](const json& value) {
    ownership::ReleaseReply reply;
    reply.accepted = true;
    reply.released = read_held(value.at("released"));
    reply.running = read_held(value.at("running"));
    return reply;
  });
}

std::string to_json(const membership::MachineList& list) {
  json machines = json::array();
  for (const auto& [name, machine] : list.machines) {
    machines.push_back({{"name", name.value},
                        {"address", machine.address},
                        {"zone", machine.zone.value},
                        {"pool", machine.pool.value},
                        {"state", machine.leaving ? "leaving" : "live"}});
  }
  return common::json_text(json{{"version", list.version}, {"machines", machines}});
}

common::Result<membership::MachineList> parse_machine_list(std::string_view body,
                                                           const std::string& peer) {
  auto list =
      parse<membership::MachineList>(body, "read machine list", peer, [](const json& value) {
        membership::MachineList parsed;
        parsed.version = common::json_integer<std::uint64_t>(value.at("version"));
        for (const json& item : value.at("machines")) {
          membership::Machine machine;
          machine.name.value = item.at("name").get<std::string>();
          machine.address = item.at("address").get<std::string>();
          machine.zone.value = item.at("zone").get<std::string>();
          machine.pool.value = item.at("pool").get<std::string>();
          machine.leaving = item.at("state").get<std::string>() == "leaving";
          parsed.add(std::move(machine));
        }
        return parsed;
      });
  if (list.has_value()) {
    for (const auto& [name, machine] : list->machines) {
      if (auto endpoint = parse_endpoint(machine.address); !endpoint.has_value()) {
        return common::fail(common::ErrorCode::kInvalid, "read machine list", peer,
                            name.value + ": " + endpoint.error().message);
      }
    }
  }
  return list;
}

}  // namespace planktray::transport
