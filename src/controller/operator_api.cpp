#include "controller/operator_api.hpp"

#include <charconv>
#include <nlohmann/json.hpp>
#include <sstream>

#include "common/json_text.hpp"
#include "transport/event_loop.hpp"

namespace planktray::controller {
namespace {

using nlohmann::json;
using ownership::DeclarationKind;
using transport::ExchangePointer;
using transport::HttpExchange;

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusConflict = 409;
constexpr unsigned kStatusUnavailable = 503;

std::vector<std::string> split_path(const std::string& path) {
  std::vector<std::string> parts;
  std::istringstream stream(path);
  std::string part;
  while (std::getline(stream, part, '/')) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

common::TimePoint now() { return transport::boot_time_now(); }

common::Result<common::ReplicaId> parse_replica(const std::string& text) {
  common::ReplicaId id;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id.value, 16);
  if (error != std::errc() || end != text.data() + text.size()) {
    return common::fail(common::ErrorCode::kInvalid, "read members", "", "bad replica id " + text);
  }
  return id;
}

void refuse(HttpExchange& exchange, common::ErrorCode code, const std::string& step,
            const std::string& message) {
  exchange.respond_error({code, step, "", message});
}

/// Parses the body as a JSON object. Answers 400 and returns false if it is not one.
bool parse_body(HttpExchange& exchange, json& body) {
  body = json::parse(exchange.body(), nullptr, false);
  if (body.is_object()) {
    return true;
  }
  refuse(exchange, common::ErrorCode::kInvalid, "read request", "the body must be a JSON object");
  return false;
}

}  // namespace

OperatorApi::OperatorApi(ControllerCore& core, transport::Metrics& metrics,
                         std::function<void()> flush)
    : core_(core), metrics_(metrics), flush_(std::move(flush)) {}

void OperatorApi::handle(const ExchangePointer& exchange) {
  const std::vector<std::string> parts = split_path(exchange->path());
  const std::string_view method = exchange->method();
  const std::string first = parts.empty() ? "" : parts[0];
  const std::string second = parts.size() > 1 ? parts[1] : "";
  const bool is_get = method == "GET";
  if (first == "metrics" && is_get) {
    return exchange->respond_text(kStatusOk, "text/plain; version=0.0.4", metrics_text());
  }
  if (first == "healthz" && is_get) {
    return exchange->respond_text(kStatusOk, "text/plain", "ok\n");
  }
  if (first == "readyz" && is_get) {
    const bool ready = core_.raft().leader().value != 0;
    return exchange->respond_text(ready ? kStatusOk : kStatusUnavailable, "text/plain",
                                  ready ? "ready\n" : "no leader is known\n");
  }
  if (first == "v1" && parts.size() == 3 && (second == "templates" || second == "tenants")) {
    const auto kind = second == "templates" ? DeclarationKind::kTemplate : DeclarationKind::kTenant;
    return handle_declaration(exchange, kind, parts[2]);
  }
  if (first == "v1" && parts.size() == 2 && is_get) {
    if (second == "identity") {
      return exchange->respond_json(kStatusOk, identity_json());
    }
    if (second == "status") {
      return exchange->respond_json(kStatusOk, status_json());
    }
    if (second == "members") {
      return exchange->respond_json(kStatusOk, members_json());
    }
    if (second == "evacuations") {
      return read(exchange,
                  [this](HttpExchange& out) { out.respond_json(kStatusOk, evacuations_json()); });
    }
    if (second == "sites") {
      return read(exchange,
                  [this](HttpExchange& out) { out.respond_json(kStatusOk, sites_json()); });
    }
  }
  if (first == "v1" && second == "assignments" && parts.size() == 4 && is_get) {
    const common::ServiceKey service{common::TenantName(parts[2]), common::ServiceName(parts[3])};
    return read(exchange, [this, service](HttpExchange& out) { render_assignments(out, service); });
  }
  if (first == "v1" && method == "POST") {
    if (second == "drain" && parts.size() == 3) {
      return handle_drain(exchange, parts[2]);
    }
    if (second == "evacuations" && parts.size() == 3) {
      return handle_evacuation(exchange, parts[2]);
    }
    if (second == "moves" && parts.size() == 2) {
      return handle_move(exchange);
    }
    if (second == "members" && parts.size() == 2) {
      return handle_members(exchange);
    }
    if (second == "cell" && parts.size() == 2) {
      return handle_create(exchange);
    }
  }
  refuse(*exchange, common::ErrorCode::kNotFound, "route request", "no such resource");
}

// ---------------------------------------------------------------- declarations

void OperatorApi::handle_declaration(const ExchangePointer& exchange, DeclarationKind kind,
                                     const std::string& name) {
  if (!config::is_valid_name(name)) {
    return refuse(*exchange, common::ErrorCode::kInvalid, "read name", "not a valid name");
  }
  if (exchange->method() == "GET") {
    return read(exchange,
                [this, kind, name](HttpExchange& out) { render_declaration(out, kind, name); });
  }
  if (exchange->method() == "PUT" || exchange->method() == "DELETE") {
    return change(exchange, kind, name);
  }
  refuse(*exchange, common::ErrorCode::kInvalid, "route request", "the method is not supported");
}

void OperatorApi::change(const ExchangePointer& exchange, DeclarationKind kind,
                         const std::string& name) {
  json body;
  if (!parse_body(*exchange, body)) {
    return;
  }
  ownership::ChangeDeclaration change;
  change.kind = static_cast<std::uint8_t>(kind);
  change.name = name;
  const bool withdraws = exchange->method() == "DELETE";
  const bool complete = body.contains("replaces") && body["replaces"].is_number_unsigned() &&
                        body.contains("change_id") && body["change_id"].is_string() &&
                        !body["change_id"].get<std::string>().empty() &&
                        (withdraws || body.contains("declaration"));
  if (!complete) {
    return refuse(*exchange, common::ErrorCode::kInvalid, "read change",
                  "replaces (number), change_id (text) and declaration are needed");
  }
  change.replaces = common::Revision(body["replaces"].get<std::uint64_t>());
  change.change_id = common::ChangeId(body["change_id"].get<std::string>());
  if (!withdraws) {
    change.document = common::json_text(body["declaration"]);
  }
  core_.change_declaration(now(), add_pending(exchange), std::move(change));
  flush_();
}

void OperatorApi::render_declaration(HttpExchange& exchange, DeclarationKind kind,
                                     const std::string& name) const {
  const auto& records = core_.state().declarations(kind);
  const auto found = records.find(name);
  if (found == records.end()) {
    return refuse(exchange, common::ErrorCode::kNotFound, "get declaration",
                  name + " does not exist");
  }
  const ownership::DeclarationRecord& record = found->second;
  json body = {{"name", name},
               {"revision", record.revision.value},
               {"withdrawn", record.withdrawn},
               {"change_id", record.change_id.value},
               {"index", record.index.value}};
  if (!record.withdrawn) {
    body["declaration"] = json::parse(record.document);
  }
  exchange.respond_json(kStatusOk, common::json_text(body));
}

// ---------------------------------------------------------------- other commands

void OperatorApi::handle_drain(const ExchangePointer& exchange, const std::string& machine) {
  json body = json::object();
  if (!exchange->body().empty() && !parse_body(*exchange, body)) {
    return;
  }
  ownership::DrainMachine drain;
  drain.machine = common::MachineName(machine);
  const auto draining = body.find("draining");
  if (draining != body.end() && !draining->is_boolean()) {
    return refuse(*exchange, common::ErrorCode::kInvalid, "read drain",
                  "draining must be true or false");
  }
  drain.draining = draining == body.end() || draining->get<bool>();
  core_.drain_machine(now(), add_pending(exchange), std::move(drain));
  flush_();
}

void OperatorApi::handle_evacuation(const ExchangePointer& exchange, const std::string& zone) {
  json body = json::object();
  if (!exchange->body().empty() && !parse_body(*exchange, body)) {
    return;
  }
  const auto evacuated = body.find("evacuated");
  if (evacuated != body.end() && !evacuated->is_boolean()) {
    return refuse(*exchange, common::ErrorCode::kInvalid, "read evacuation",
                  "evacuated must be true or false");
  }
  const bool starts = evacuated == body.end() || evacuated->get<bool>();
  core_.evacuate_zone(now(), add_pending(exchange), {common::ZoneName(zone), starts});
  flush_();
}

void OperatorApi::handle_move(const ExchangePointer& exchange) {
  json body;
  if (!parse_body(*exchange, body)) {
    return;
  }
  common::ServiceKey service;
  common::ShardNumber shard;
  common::MachineName to;
  try {
    service.tenant.value = body.at("tenant").get<std::string>();
    service.service.value = body.at("service").get<std::string>();
    shard.value = common::json_integer<std::uint32_t>(body.at("shard"));
    to.value = body.at("to").get<std::string>();
  } catch (const json::exception& error) {
    return refuse(*exchange, common::ErrorCode::kInvalid, "read move", error.what());
  }
  core_.move_shard(now(), add_pending(exchange), service, shard, to);
  flush_();
}

void OperatorApi::handle_members(const ExchangePointer& exchange) {
  json body;
  if (!parse_body(*exchange, body)) {
    return;
  }
  const auto name_in = [&body](const char* field) {
    const auto found = body.find(field);
    return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
  };
  const std::string added = name_in("add");
  const std::string removed = name_in("remove");
  if (added.empty() == removed.empty()) {
    return refuse(*exchange, common::ErrorCode::kInvalid, "change members",
                  "exactly one of add and remove is needed");
  }
  const auto result =
      added.empty() ? core_.remove_member(now(), removed) : core_.allow_member(now(), added);
  if (result.has_value()) {
    exchange->respond_json(kStatusOk, "{}");
  } else {
    exchange->respond_error(result.error());
  }
  flush_();
}

void OperatorApi::handle_create(const ExchangePointer& exchange) {
  json body;
  if (!parse_body(*exchange, body)) {
    return;
  }
  consensus::Membership membership;
  try {
    for (const json& item : body.at("members")) {
      consensus::Member member;
      const auto id = parse_replica(item.at("replica").get<std::string>());
      if (!id.has_value()) {
        return exchange->respond_error(id.error());
      }
      member.id = *id;
      member.name = item.at("name").get<std::string>();
      member.peer_address = item.at("peer_address").get<std::string>();
      member.operator_address = item.at("operator_address").get<std::string>();
      membership.members.push_back(std::move(member));
    }
  } catch (const json::exception& error) {
    return refuse(*exchange, common::ErrorCode::kInvalid, "create cell", error.what());
  }
  const auto created = core_.create_cell(now(), membership);
  if (created.has_value()) {
    exchange->respond_json(kStatusOk, "{}");
  } else {
    exchange->respond_error(created.error());
  }
  flush_();
}

// ---------------------------------------------------------------- pending requests

OperatorRequestId OperatorApi::add_pending(const ExchangePointer& exchange, Render render) {
  const OperatorRequestId id = core_.new_request();
  pending_[id] = {exchange, std::move(render)};
  return id;
}

void OperatorApi::read(const ExchangePointer& exchange, Render render) {
  core_.read(now(), add_pending(exchange, std::move(render)));
  flush_();
}

void OperatorApi::complete(const Completion& completion) {
  const OperatorRequestId id =
      std::visit([](const auto& alternative) { return alternative.request; }, completion);
  const auto found = pending_.find(id);
  if (found == pending_.end()) {
    return;
  }
  const PendingRequest pending = std::move(found->second);
  pending_.erase(found);
  HttpExchange& exchange = *pending.exchange;
  if (const auto* read_done = std::get_if<ReadCompleted>(&completion)) {
    if (read_done->confirmed.has_value()) {
      pending.render(exchange);
    } else {
      exchange.respond_error(read_done->confirmed.error());
    }
    return;
  }
  if (const auto* command = std::get_if<CommandCompleted>(&completion)) {
    if (command->index.has_value()) {
      exchange.respond_json(kStatusOk, common::json_text(json{{"index", command->index->value}}));
    } else {
      exchange.respond_error(command->index.error());
    }
    return;
  }
  const auto& answer = std::get<ChangeCompleted>(completion).answer;
  if (!answer.has_value()) {
    return exchange.respond_error(answer.error());
  }
  switch (answer->change_status()) {
    case ownership::ChangeStatus::kAccepted:
      exchange.respond_json(kStatusOk, common::json_text(json{{"revision", answer->revision.value},
                                                              {"index", answer->index.value}}));
      break;
    case ownership::ChangeStatus::kConflict:
      exchange.respond_json(kStatusConflict,
                            common::json_text(json{{"error", answer->message},
                                                   {"step", "accept change"},
                                                   {"peer", core_.options().name},
                                                   {"winner",
                                                    {{"revision", answer->revision.value},
                                                     {"change_id", answer->winner.value}}}}));
      break;
    case ownership::ChangeStatus::kInvalid:
      refuse(exchange, common::ErrorCode::kInvalid, "accept change", answer->message);
      break;
  }
}

}  // namespace planktray::controller
