/// planktray: command-line tool for operators.

#include <glib.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "cli/controller_client.hpp"
#include "cli/declaration_file.hpp"
#include "transport/settings.hpp"

namespace {

using nlohmann::json;
using planktray::cli::ControllerClient;
using planktray::cli::ControllerResponse;
using planktray::cli::DeclarationFile;
using planktray::ownership::DeclarationKind;

// Exit codes, also in docs/OPERATIONS.md.
constexpr int kOk = 0;
constexpr int kFailed = 1;
constexpr int kInvalid = 2;
constexpr int kConflict = 3;
constexpr int kNotInForce = 4;

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusConflict = 409;

struct Options {
  std::vector<std::string> controllers = {"127.0.0.1:7201", "127.0.0.1:7202", "127.0.0.1:7203"};
  bool as_json = false;
  int patience_s = 10;
  std::vector<std::string> files;
  bool wait = false;
  int wait_s = 30;
  std::int64_t replaces = -1;
  std::string change_id;
  std::string kind;
  std::string name;
  std::string machine;
  bool undo = false;
  std::string zone;
  std::string tenant;
  std::string service;
  std::uint32_t shard = 0;
  std::string to;
  std::string add;
  std::string remove;
  bool create = false;
};

ControllerClient make_client(const Options& options) {
  return {options.controllers, std::chrono::seconds(options.patience_s)};
}

void print(const Options& options, const json& body, const std::string& text) {
  std::cout << (options.as_json ? body.dump(2) : text) << "\n";
}

int print_error(const Options& options, const planktray::common::Error& error, int exit_code) {
  if (options.as_json) {
    std::cout << json{{"error", error.message}, {"step", error.step}, {"peer", error.peer}}.dump(2)
              << "\n";
  } else {
    std::cerr << (error.peer.empty() ? "" : error.peer + ": ") << error.message << " (step "
              << error.step << ")\n";
  }
  return exit_code;
}

/// Prints a response with a status other than 200.
/// @return the exit code for the status.
int print_rejection(const Options& options, const ControllerResponse& answer) {
  const std::string message =
      answer.body.is_object() ? answer.body.value("error", "refused") : "refused";
  if (options.as_json) {
    std::cout << answer.body.dump(2) << "\n";
  } else {
    std::cerr << message << "\n";
    if (answer.body.is_object() && answer.body.contains("winner")) {
      std::cerr << "winner: revision " << answer.body["winner"]["revision"] << ", change "
                << answer.body["winner"]["change_id"] << "\n";
    }
  }
  if (answer.status == kStatusConflict) {
    return kConflict;
  }
  constexpr unsigned kClientError = 400;
  constexpr unsigned kServerError = 500;
  return answer.status >= kClientError && answer.status < kServerError ? kInvalid : kFailed;
}

std::string new_change_id() {
  char* text = g_uuid_string_random();
  std::string id(text);
  g_free(text);
  return id;
}

std::string resource(DeclarationKind kind, const std::string& name) {
  return (kind == DeclarationKind::kTemplate ? "/v1/templates/" : "/v1/tenants/") + name;
}

int run_check(const Options& options) {
  json results = json::array();
  int exit_code = kOk;
  for (const std::string& path : options.files) {
    const auto file = planktray::cli::read_declaration_file(path);
    if (file.has_value()) {
      results.push_back({{"file", path}, {"name", file->name}, {"valid", true}});
      if (!options.as_json) {
        std::cout << path << ": valid\n";
      }
      continue;
    }
    exit_code = kInvalid;
    results.push_back({{"file", path},
                       {"valid", false},
                       {"at", file.error().peer},
                       {"error", file.error().message}});
    if (!options.as_json) {
      std::cerr << file.error().peer << ": " << file.error().message << "\n";
    }
  }
  if (options.as_json) {
    std::cout << results.dump(2) << "\n";
  }
  return exit_code;
}

/// Returns the revision that a change replaces: the one given in the options, or the current one.
/// 0: no declaration exists.
planktray::common::Result<std::uint64_t> find_revision(ControllerClient& client,
                                                       const Options& options,
                                                       const std::string& path) {
  if (options.replaces >= 0) {
    return static_cast<std::uint64_t>(options.replaces);
  }
  const auto current = client.send("GET", path);
  if (!current.has_value()) {
    return tl::unexpected(current.error());
  }
  return current->status == kStatusOk ? current->body.value("revision", std::uint64_t{0}) : 0;
}

/// Waits until every live router applies the change at `index`.
int wait_in_force(ControllerClient& client, const Options& options, std::uint64_t index) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(options.wait_s);
  while (std::chrono::steady_clock::now() < deadline) {
    const auto sites = client.send("GET", "/v1/sites");
    if (sites.has_value() && sites->status == kStatusOk &&
        sites->body["in_force_index"].is_number() &&
        sites->body["in_force_index"].get<std::uint64_t>() >= index) {
      return kOk;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  std::cerr << "accepted, but not in force at every router after " << options.wait_s << " s\n";
  return kNotInForce;
}

/// Sends a declaration, or withdraws it if `document` is empty.
int send_change(ControllerClient& client, const Options& options, DeclarationKind kind,
                const std::string& name, const std::string& document) {
  const std::string path = resource(kind, name);
  const auto revision = find_revision(client, options, path);
  if (!revision.has_value()) {
    return print_error(options, revision.error(), kFailed);
  }
  json body = {{"replaces", *revision},
               {"change_id", options.change_id.empty() ? new_change_id() : options.change_id}};
  if (!document.empty()) {
    body["declaration"] = json::parse(document);
  }
  const auto answer = client.send(document.empty() ? "DELETE" : "PUT", path, body);
  if (!answer.has_value()) {
    return print_error(options, answer.error(), kFailed);
  }
  if (answer->status != kStatusOk) {
    return print_rejection(options, *answer);
  }
  json result = answer->body;
  result["name"] = name;
  if (options.wait) {
    const int waited = wait_in_force(client, options, result["index"].get<std::uint64_t>());
    if (waited != kOk) {
      return waited;
    }
    result["in_force"] = true;
  }
  print(options, result,
        name + ": revision " + result["revision"].dump() + (options.wait ? ", in force" : ""));
  return kOk;
}

int run_apply(const Options& options) {
  std::vector<DeclarationFile> files;
  for (const std::string& path : options.files) {
    const auto file = planktray::cli::read_declaration_file(path);
    if (!file.has_value()) {
      return print_error(options, file.error(), kInvalid);
    }
    files.push_back(*file);
  }
  if (files.size() > 1 && (options.replaces >= 0 || !options.change_id.empty())) {
    std::cerr << "--replaces and --change-id require a single file\n";
    return kInvalid;
  }
  ControllerClient client = make_client(options);
  for (const DeclarationFile& file : files) {
    const int exit_code = send_change(client, options, file.kind, file.name, file.json);
    if (exit_code != kOk) {
      return exit_code;
    }
  }
  return kOk;
}

int run_withdraw(const Options& options) {
  ControllerClient client = make_client(options);
  const auto kind =
      options.kind == "template" ? DeclarationKind::kTemplate : DeclarationKind::kTenant;
  return send_change(client, options, kind, options.name, "");
}

/// Requests a resource and prints it.
int show(const Options& options, const std::string& path, std::string (*format)(const json&)) {
  ControllerClient client = make_client(options);
  const auto answer = client.send("GET", path);
  if (!answer.has_value()) {
    return print_error(options, answer.error(), kFailed);
  }
  if (answer->status != kStatusOk) {
    return print_rejection(options, *answer);
  }
  print(options, answer->body, format(answer->body));
  return kOk;
}

std::string indented(const json& body) { return body.dump(2); }

std::string format_assignments(const json& body) {
  std::string text = "shard  owner  epoch";
  for (const json& shard : body["shards"]) {
    text += "\n" + shard["shard"].dump() + "  " + shard["owner"].get<std::string>() + "  " +
            shard["epoch"].dump() + (shard["moving"].get<bool>() ? "  moving" : "");
  }
  if (body["shards"].empty()) {
    text = "targets:";
    for (const json& target : body["targets"]) {
      text += " " + target.get<std::string>();
    }
  }
  return text;
}

int run_get(const Options& options) {
  if (options.kind == "assignments") {
    const auto slash = options.name.find('/');
    if (slash == std::string::npos) {
      std::cerr << "the name of assignments must be TENANT/SERVICE\n";
      return kInvalid;
    }
    return show(options, "/v1/assignments/" + options.name, format_assignments);
  }
  const auto kind =
      options.kind == "template" ? DeclarationKind::kTemplate : DeclarationKind::kTenant;
  return show(options, resource(kind, options.name), indented);
}

int run_status(const Options& options) {
  ControllerClient client = make_client(options);
  json all = {{"controllers", json::array()}};
  bool has_leader = false;
  for (const std::string& controller : client.controllers()) {
    const auto status = client.send_to(controller, "GET", "/v1/status");
    json item = {{"address", controller}, {"reachable", status.has_value()}};
    if (status.has_value()) {
      item.update(status->body);
      has_leader = has_leader || status->body.value("is_serving", false);
    } else {
      item["error"] = status.error().message;
    }
    all["controllers"].push_back(item);
  }
  if (has_leader) {
    const auto evacuations = client.send("GET", "/v1/evacuations");
    all["evacuations"] = evacuations.has_value() ? evacuations->body : json();
    const auto sites = client.send("GET", "/v1/sites");
    all["sites"] = sites.has_value() ? sites->body : json();
  }
  std::string text;
  for (const json& item : all["controllers"]) {
    text += item["address"].get<std::string>() + "  ";
    if (!item["reachable"].get<bool>()) {
      text += "unreachable\n";
      continue;
    }
    text += item["name"].get<std::string>() +
            (item["is_serving"].get<bool>() ? "  leader" : "  follower") + "  term " +
            item["term"].dump() + "  applied " + item["applied_index"].dump() + "  back ends " +
            std::to_string(item["backends"].size()) + "  shards " + item["shards"].dump() +
            "  unowned " + item["unowned_shards"].dump() + "  moving " +
            item["moving_shards"].dump() + "\n";
  }
  if (all.contains("sites") && all["sites"].is_object()) {
    for (const json& router : all["sites"]["routers"]) {
      text += "router " + router["name"].get<std::string>() + "  " +
              router["address"].get<std::string>() + "  table " + router["table_index"].dump() +
              (router["serving"].get<bool>() ? "  serving\n" : "  not serving\n");
    }
  }
  if (all.contains("evacuations") && all["evacuations"].is_object()) {
    for (const json& zone : all["evacuations"].value("evacuated_zones", json::array())) {
      text += "zone " + zone.get<std::string>() + "  evacuated\n";
    }
  }
  text += has_leader ? "the cell is serving" : "the cell has no serving leader";
  print(options, all, text);
  return has_leader ? kOk : kFailed;
}

/// Sends a POST request and prints the response, or `success_text` without --json.
int post(const Options& options, const std::string& path, const json& body,
         const std::string& success_text) {
  ControllerClient client = make_client(options);
  const auto answer = client.send("POST", path, body);
  if (!answer.has_value()) {
    return print_error(options, answer.error(), kFailed);
  }
  if (answer->status != kStatusOk) {
    return print_rejection(options, *answer);
  }
  print(options, answer->body, success_text);
  return kOk;
}

int run_drain(const Options& options) {
  return post(options, "/v1/drain/" + options.machine, {{"draining", !options.undo}},
              options.machine + (options.undo ? ": accepts new work again" : ": draining"));
}

int run_evacuate(const Options& options) {
  return post(options, "/v1/evacuations/" + options.zone, {{"evacuated", !options.undo}},
              options.zone + (options.undo ? ": evacuation ended" : ": evacuated"));
}

int run_move(const Options& options) {
  return post(options, "/v1/moves",
              {{"tenant", options.tenant},
               {"service", options.service},
               {"shard", options.shard},
               {"to", options.to}},
              "move started");
}

/// Creates the cell from all configured controllers; each receives the same member list.
int create_cell(const Options& options) {
  ControllerClient client = make_client(options);
  json members = json::array();
  for (const std::string& controller : client.controllers()) {
    const auto identity = client.send_to(controller, "GET", "/v1/identity");
    if (!identity.has_value()) {
      return print_error(options, identity.error(), kFailed);
    }
    members.push_back({{"replica", identity->body["replica"]},
                       {"name", identity->body["name"]},
                       {"peer_address", identity->body["peer_address"]},
                       {"operator_address", identity->body["operator_address"]}});
  }
  for (const std::string& controller : client.controllers()) {
    const auto created = client.send_to(controller, "POST", "/v1/cell", json{{"members", members}});
    if (!created.has_value()) {
      return print_error(options, created.error(), kFailed);
    }
    if (created->status != kStatusOk) {
      return print_rejection(options, *created);
    }
  }
  print(options, json{{"members", members}},
        "cell created with " + std::to_string(members.size()) + " members");
  return kOk;
}

std::string format_members(const json& body) {
  std::string text;
  for (const json& member : body["members"]) {
    text += member["name"].get<std::string>() + "  " + member["replica"].get<std::string>() + "  " +
            member["peer_address"].get<std::string>() +
            (member["voter"].get<bool>() ? "  voter" : "  learner") + "  match " +
            member["match_index"].dump() + "\n";
  }
  return text + (body["fully_replicated"].get<bool>()
                     ? "fully replicated: the loss of any one member loses nothing"
                     : "not fully replicated, or not asked of the leader");
}

int run_members(const Options& options) {
  if (options.create) {
    return create_cell(options);
  }
  if (!options.add.empty()) {
    return post(options, "/v1/members", {{"add", options.add}},
                options.add + ": may join with an empty data folder");
  }
  if (!options.remove.empty()) {
    return post(options, "/v1/members", {{"remove", options.remove}}, options.remove + ": removed");
  }
  ControllerClient client = make_client(options);
  json selected;
  for (const std::string& controller : client.controllers()) {
    const auto members = client.send_to(controller, "GET", "/v1/members");
    if (members.has_value() && (selected.is_null() || members->body.value("is_leader", false))) {
      selected = members->body;
    }
  }
  if (selected.is_null()) {
    return print_error(
        options,
        {planktray::common::ErrorCode::kUnavailable, "list members", "", "no controller responded"},
        kFailed);
  }
  print(options, selected, format_members(selected));
  return kOk;
}

CLI::App* add_command(CLI::App& app, const std::string& name, const std::string& help,
                      const std::string& example) {
  CLI::App* command = app.add_subcommand(name, help);
  command->footer("Example:\n  " + example);
  return command;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "planktray: manages a cell of controllers and its routers.\n\n"
      "Exit codes: 0 success, 1 no controller could process the request, 2 invalid input,\n"
      "3 conflict with another change, 4 accepted but not in force at every router in time.");
  app.require_subcommand(1);
  app.fallthrough();
  Options options;
  app.set_config("--settings", "", "Settings file; a flag of the same name takes precedence");
  app.allow_config_extras(CLI::config_extras_mode::error);
  app.add_option("--controllers", options.controllers,
                 "Operator addresses of the controllers, each IP:port")
      ->delimiter(',')
      ->envname("PLANKTRAY_CONTROLLERS")
      ->check(planktray::transport::check_endpoint);
  app.add_flag("--json", options.as_json, "Print JSON");
  app.add_option("--patience", options.patience_s, "Maximum time to find a leader, in seconds")
      ->check(CLI::Range(1, 3600));

  auto* check = add_command(app, "check", "Validate declaration files without a server",
                            "planktray check deployments/zilina/*.toml");
  check->add_option("files", options.files, "TOML files")->required()->check(CLI::ExistingFile);
  auto* apply = add_command(app, "apply", "Apply declarations",
                            "planktray apply --wait template.toml tenant.toml");
  apply->add_option("files", options.files, "TOML files")->required()->check(CLI::ExistingFile);
  auto* withdraw = add_command(app, "withdraw", "Withdraw a tenant or template",
                               "planktray withdraw tenant zilina --wait");
  withdraw->add_option("kind", options.kind)
      ->required()
      ->check(CLI::IsMember({"tenant", "template"}));
  withdraw->add_option("name", options.name)->required();
  for (CLI::App* command : {apply, withdraw}) {
    command->add_flag("--wait", options.wait,
                      "Wait until the change is in force at every live router");
    command
        ->add_option("--wait-seconds", options.wait_s, "Maximum wait time for --wait, in seconds")
        ->check(CLI::Range(1, 3600));
    command->add_option("--replaces", options.replaces, "Revision that the change replaces")
        ->check(CLI::NonNegativeNumber);
    command->add_option(
        "--change-id", options.change_id,
        "Identity of the change; a resend with the same id gets the original response");
  }
  auto* get = add_command(app, "get", "Show a declaration or the owners of shards",
                          "planktray get assignments zilina/sledovanie");
  get->add_option("kind", options.kind)
      ->required()
      ->check(CLI::IsMember({"tenant", "template", "assignments"}));
  get->add_option("name", options.name)->required();
  add_command(app, "status", "Show controllers and routers", "planktray status");
  auto* drain =
      add_command(app, "drain", "Assign no new work to a machine", "planktray drain sledovanie-3");
  drain->add_option("machine", options.machine)->required();
  drain->add_flag("--undo", options.undo, "Allow new work on the machine again");
  auto* evacuate = add_command(app, "evacuate", "Stop requests to the back ends of a zone",
                               "planktray evacuate hala-a");
  evacuate->add_option("zone", options.zone)->required();
  evacuate->add_flag("--undo", options.undo,
                     "End the evacuation; the back ends get requests again");
  auto* move = add_command(app, "move", "Move one shard to a machine",
                           "planktray move zilina sledovanie 17 sledovanie-3");
  move->add_option("tenant", options.tenant)->required();
  move->add_option("service", options.service)->required();
  move->add_option("shard", options.shard)->required();
  move->add_option("to", options.to)->required();
  auto* members = add_command(app, "members", "Show, create or change the members of the cell",
                              "planktray members --create");
  members->add_flag("--create", options.create, "Create the cell from --controllers (only once)");
  members->add_option("--add", options.add, "Allow a controller with this name to join");
  members->add_option("--remove", options.remove, "Remove the controller with this name");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kOk : kInvalid;
  }
  const std::string command = app.get_subcommands().front()->get_name();
  if (command == "check") {
    return run_check(options);
  }
  if (command == "apply") {
    return run_apply(options);
  }
  if (command == "withdraw") {
    return run_withdraw(options);
  }
  if (command == "get") {
    return run_get(options);
  }
  if (command == "status") {
    return run_status(options);
  }
  if (command == "drain") {
    return run_drain(options);
  }
  if (command == "evacuate") {
    return run_evacuate(options);
  }
  if (command == "move") {
    return run_move(options);
  }
  return run_members(options);
}
