#include "controller/controller_process.hpp"

#include <algorithm>
#include <random>
#include <tuple>
#include <utility>

#include "limits/connection_limits.hpp"
#include "transport/json_messages.hpp"
#include "transport/logging.hpp"
#include "transport/machine_settings.hpp"
#include "transport/settings.hpp"

namespace planktray::controller {
namespace {

using transport::boot_time_now;
using transport::log_error;
using transport::log_event;

constexpr std::size_t kMaxOperatorBody = 4 * 1024 * 1024;
constexpr unsigned kStatusBodyTooLarge = 413;
constexpr unsigned kStatusUnavailable = 503;
/// When a caller whose request did not fit may come again, in seconds.
constexpr const char* kRetryAfterSeconds = "1";
constexpr std::size_t kConnectionsPerBackend = 8;
/// Interval of the `leader_load` log lines of some 300 bytes each.
constexpr common::Duration kLoadLogInterval = std::chrono::seconds(1);
/// Interval of the samples of idle time. The loop's turns are shorter by far while it has time
/// left.
constexpr common::Duration kIdleSampleInterval = std::chrono::milliseconds(250);
/// How often connections to controllers that are no members any more are closed: each of them
/// costs two attempts to reconnect a second.
constexpr common::Duration kPeerReview = std::chrono::milliseconds(5000);
/// Maximum lease requests in flight to one machine, so that they do not pile up while it is frozen.
constexpr int kMaxLeasesInFlight = 4;

common::RandomEngine seeded_engine() {
  std::random_device device;
  return common::RandomEngine((static_cast<std::uint64_t>(device()) << 32U) | device());
}

transport::HttpClientOptions client_options() {
  transport::HttpClientOptions options;
  options.connections_per_server = kConnectionsPerBackend;
  return options;
}

/// Answers a request whose body is not read.
void answer_unread(transport::HttpExchange& exchange, transport::UnreadReason reason) {
  if (reason == transport::UnreadReason::kNoMemory) {
    return exchange.respond_json(kStatusUnavailable,
                                 transport::error_json("no memory for the request", "read request"),
                                 {{"Retry-After", kRetryAfterSeconds}});
  }
  exchange.respond_json(kStatusBodyTooLarge,
                        transport::error_json("no call takes such a body", "read request"));
}

}  // namespace

ControllerProcess::ControllerProcess(ControllerSettings settings)
    : settings_(std::move(settings)),
      alarm_([this] { tick(); }),
      memory_(limits::connection_memory(settings_.machine.memory_bytes)) {}

common::Result<void> ControllerProcess::open_data_folder() {
  auto disk = transport::FileDisk::open(settings_.data_folder);
  if (!disk.has_value()) {
    return tl::unexpected(disk.error());
  }
  disk_ = std::move(*disk);
  store_ = std::make_unique<storage::LogStore>(*disk_);
  common::RandomEngine random = seeded_engine();
  std::optional<storage::Identity> founder;
  if (settings_.first_start) {
    founder = founder_identity(settings_.options.cell, settings_.founders,
                               settings_.options.peer_address);
  }
  auto state = store_->open(settings_.options.cell, random, founder);
  if (!state.has_value()) {
    return tl::unexpected(state.error());
  }
  core_ = std::make_unique<ControllerCore>(settings_.options, store_->identity().replica,
                                           std::move(*state), random, boot_time_now());
  if (core_->unreadable_state().has_value()) {
    return tl::unexpected(*core_->unreadable_state());
  }
  core_->set_seeds(settings_.peers);
  worker_ = std::make_unique<transport::StorageWorker>(
      *store_, [this](const auto& persisted) { on_persisted(persisted); },
      [this](const common::Error& error) {
        disk_is_failing_ = true;
        log_error("data_folder_refuses", error);
      });
  return {};
}

transport::HttpServerOptions ControllerProcess::server_options(std::size_t max_connections) {
  transport::HttpServerOptions options = transport::options_with_body_limit(kMaxOperatorBody);
  options.memory = &memory_;
  options.max_connections = max_connections;
  return options;
}

common::Result<void> ControllerProcess::open_sockets() {
  const limits::ControllerConnections connections =
      limits::controller_connections(transport::descriptor_limit(settings_.machine));
  auto socket = transport::ZmqSocket::bind(
      context_, settings_.options.peer_address,
      [this](const std::string& identity, const auto& message) { on_message(identity, message); },
      transport::is_consensus_message);
  if (!socket.has_value()) {
    return tl::unexpected(socket.error());
  }
  server_socket_ = std::move(*socket);
  http_client_ = std::make_unique<transport::HttpClient>(client_options());
  api_ = std::make_unique<OperatorApi>(*core_, metrics_, [this] { flush(); });
  api_->on_metrics = [this] { update_metrics(); };
  if (settings_.make_control) {
    control_ = settings_.make_control(*core_, [this] { flush(); });
    orders_ = std::make_unique<OrderSender>(
        settings_.orders, *control_,
        [this](ownership::OrderId id, const ownership::OrderReply& reply) {
          const ActivityMeter::Span span(meter_, Activity::kOrders);
          core_->on_order_reply(boot_time_now(), id, reply);
          flush();
        });
    auto control = transport::HttpServer::listen(
        settings_.control_address, server_options(connections.control),
        [this](const transport::ExchangePointer& exchange) {
          const ActivityMeter::Span span(meter_, Activity::kControl);
          control_->handle(exchange);
        });
    if (!control.has_value()) {
      return tl::unexpected(control.error());
    }
    control_server_ = std::move(*control);
    control_server_->check_heads(
        [this](const transport::HttpMessage& head) {
          return std::min(control_->largest_body(head), kMaxOperatorBody);
        },
        [](const transport::ExchangePointer& exchange, transport::UnreadReason reason) {
          answer_unread(*exchange, reason);
        });
  }
  auto server = transport::HttpServer::listen(
      settings_.operator_listen_address(), server_options(connections.operators),
      [this](const transport::ExchangePointer& exchange) { api_->handle(exchange); });
  if (!server.has_value()) {
    return tl::unexpected(server.error());
  }
  http_server_ = std::move(*server);
  return {};
}

common::Result<void> ControllerProcess::start() {
  transport::return_free_memory();
  if (auto opened = open_data_folder(); !opened) {
    return opened;
  }
  if (auto opened = open_sockets(); !opened) {
    return opened;
  }
  if (!store_->identity().founders.members.empty() && core_->raft().membership().members.empty()) {
    if (auto created = core_->create_cell(boot_time_now(), store_->identity().founders); !created) {
      return created;
    }
  }
  log_promise_changes(0);
  log_event("started", {{"replica", std::to_string(core_->raft().self().value)},
                        {"applied", std::to_string(core_->state().applied().value)}});
  return {};
}

int ControllerProcess::run() {
  logged_totals_ = load_totals();
  tick();
  loop_.every(kLoadLogInterval, [this] { log_load(); });
  sampled_at_ = boot_time_now();
  loop_.every(kIdleSampleInterval, [this] { sample_idle_time(); });
  loop_.every(kPeerReview, [this] {
    forget_gone_peers();
    limit_report_.log_changes({control_server_.get(), http_server_.get()});
  });
  if (!settings_.platform_url.empty()) {
    poll_platform();
    loop_.every(settings_.platform_interval, [this] { poll_platform(); });
  }
  loop_.on_terminate([this] {
    log_event("stopping", {});
    loop_.quit();
  });
  settings_watch_ = std::make_unique<transport::SettingsWatch>(loop_, settings_.settings_path,
                                                               [this] { reload(); });
  loop_.run();
  return exit_code_;
}

void ControllerProcess::reload() {
  if (!settings_.reload) {
    return;
  }
  const auto fresh = settings_.reload();
  if (!fresh.has_value()) {
    return log_error("settings_refused", fresh.error());
  }
  // Only these settings apply to a running process. All others take effect at its next start.
  core_->set_seeds(fresh->peers);
  log_event("settings_reloaded", {{"peers", std::to_string(fresh->peers.size())}});
}

void ControllerProcess::tick() {
  const ActivityMeter::Span span(meter_, Activity::kDecisions);
  core_->tick(boot_time_now());
  flush();
}

void ControllerProcess::flush() {
  if (flushing_) {
    return;  // the loop of the outer call processes the new output
  }
  flushing_ = true;
  for (ControllerOutput output = core_->take_output(); !output.empty();
       output = core_->take_output()) {
    execute(output);
  }
  flushing_ = false;
  if (core_->unreadable_state().has_value()) {
    log_error("state_unreadable", *core_->unreadable_state());
    exit_code_ = transport::kExitFailure;
    return loop_.quit();
  }
  log_leadership_change();
  alarm_.set(core_->next_due(boot_time_now()));
}

void ControllerProcess::execute(ControllerOutput& output) {
  if (!output.persist.empty()) {
    worker_->submit(std::move(output.persist));
  }
  for (const consensus::RaftMessage& message : output.peer_messages) {
    send_peer(message);
  }
  send_joins(output);
  if (output.heartbeat_report.has_value()) {
    send_to_leader(transport::WireMessage(*output.heartbeat_report));
  }
  if (output.holder_heartbeats.has_value()) {
    send_to_leader(transport::WireMessage(*output.holder_heartbeats));
  }
  for (const OutgoingAnswers& answers : output.relayed_answers) {
    send_to_member(answers.to, transport::WireMessage(answers.message));
  }
  for (const ownership::OutgoingLease& lease : output.leases) {
    send_lease(lease);
  }
  for (const ownership::OutgoingRelease& release : output.releases) {
    send_release(release);
  }
  if (orders_ != nullptr) {
    const ActivityMeter::Span span(meter_, Activity::kOrders);
    for (const ownership::GrantOrder& order : output.grants) {
      orders_->send(order);
    }
    for (const ownership::ReleaseOrder& order : output.key_releases) {
      orders_->send(order);
    }
  }
  for (const OutgoingTable& table : output.tables) {
    send_table(table);
  }
  for (const OutgoingControllers& controllers : output.controllers) {
    const auto identity = router_identities_.find(controllers.router);
    if (identity != router_identities_.end()) {
      server_socket_->send(identity->second.identity, transport::WireMessage(controllers.list));
    }
  }
  if (output.announcement.has_value()) {
    for (const auto& [router, peer] : router_identities_) {
      server_socket_->send(peer.identity, transport::WireMessage(*output.announcement));
    }
  }
  for (const routing::BackendRoute& backend : output.changed_backends) {
    if (!backend_change_limit_.allows(boot_time_now())) {
      continue;
    }
    log_event("backend_changed", {{"instance_seen", backend.incarnation.value},
                                  {"backend", std::to_string(backend.id.value)},
                                  {"service", backend.pool.value},
                                  {"peer", backend.address},
                                  {"draining", backend.draining ? "yes" : "no"},
                                  {"ended", backend.ended ? "yes" : "no"}});
  }
  log_key_moves(output);
  for (const routing::CrashSuspect& blocked : output.blocked_requests) {
    log_event("request_blocked", {{"digest", std::to_string(blocked.digest)},
                                  {"crashes", std::to_string(blocked.crashes)}});
  }
  for (const Completion& completion : output.completions) {
    api_->complete(completion);
    if (control_ != nullptr) {
      control_->complete(completion);
    }
  }
}

void ControllerProcess::log_key_moves(const ControllerOutput& output) {
  const auto keys_text = [](const ownership::KeyRange& keys) {
    return std::to_string(keys.first) + "-" + std::to_string(keys.last);
  };
  const common::TimePoint now = boot_time_now();
  for (const KeysMoving& moving : output.keys_moving) {
    if (key_move_limit_.allows(now)) {
      log_event("keys_moving", {{"service", moving.service.value},
                                {"keys", keys_text(moving.keys)},
                                {"from", moving.from.value},
                                {"to", moving.to.value},
                                {"cause", std::string(to_string(moving.cause))}});
    }
  }
  for (const KeysAssigned& given : output.keys_assigned) {
    if (key_move_limit_.allows(now)) {
      const auto gap = given.without_owner;
      log_event(
          "keys_given",
          {{"service", given.service.value},
           {"keys", keys_text(given.keys)},
           {"to", given.to.value},
           {"without_owner_ms",
            gap.has_value() ? std::to_string(*gap / std::chrono::milliseconds(1)) : "unknown"}});
    }
  }
}

void ControllerProcess::on_persisted(const common::Result<std::uint64_t>& persisted) {
  if (!persisted.has_value()) {
    // The contents of the folder are uncertain, and a replica that cannot persist must not respond.
    log_error("data_folder_failed", persisted.error());
    exit_code_ = transport::kExitFailure;
    loop_.quit();
    return;
  }
  if (std::exchange(disk_is_failing_, false)) {
    log_event("data_folder_back", {});
  }
  core_->on_persisted(boot_time_now(), *persisted);
  flush();
}

void ControllerProcess::send_lease(const ownership::OutgoingLease& lease) {
  int& in_flight = leases_in_flight_[lease.machine];
  if (in_flight >= kMaxLeasesInFlight) {
    return;
  }
  ++in_flight;
  ++leases_sent_;
  transport::HttpRequest request;
  request.method = "PUT";
  request.address = lease.address;
  request.target = "/planktray/v1/lease";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = transport::to_json(lease.request);
  request.timeout = settings_.lease_timeout;
  http_client_->send(request, [this, machine = lease.machine,
                               backend = lease.backend](const transport::HttpResponse& response) {
    --leases_in_flight_[machine];
    if (!response.is_whole()) {
      ++lease_failures_;
      return;
    }
    const auto reply =
        transport::parse_lease_reply(response.status, response.text(), machine.value);
    if (!reply.has_value()) {
      ++lease_failures_;
      return;
    }
    core_->on_lease_reply(boot_time_now(), machine, backend, *reply);
    flush();
  });
}

void ControllerProcess::send_release(const ownership::OutgoingRelease& release) {
  transport::HttpRequest request;
  request.method = "PUT";
  request.address = release.address;
  request.target = "/planktray/v1/release";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = transport::to_json(release.request);
  request.timeout = std::chrono::milliseconds(release.request.wait_ms) + settings_.lease_timeout;
  http_client_->send(request, [this, backend = release.backend,
                               address = release.address](const transport::HttpResponse& response) {
    common::Result<ownership::ReleaseReply> reply =
        response.is_whole()
            ? transport::parse_release_reply(response.status, response.text(), address)
            : tl::unexpected(response.error);
    if (reply.has_value()) {
      core_->on_release_reply(boot_time_now(), backend, *reply);
    } else {
      core_->on_release_failure(backend);
    }
    flush();
  });
}

void ControllerProcess::send_table(const OutgoingTable& table) {
  const ActivityMeter::Span span(meter_, Activity::kTables);
  const auto identity = router_identities_.find(table.router);
  if (identity != router_identities_.end()) {
    server_socket_->send(identity->second.identity, transport::WireMessage(table.update));
  }
}

void ControllerProcess::poll_platform() {
  transport::HttpRequest request;
  std::tie(request.address, request.target) = transport::split_url(settings_.platform_url);
  request.timeout = settings_.platform_interval;
  http_client_->send(request, [this](const transport::HttpResponse& response) {
    common::Result<membership::MachineList> list =
        response.is_whole() ? transport::parse_machine_list(response.text(), settings_.platform_url)
                            : tl::unexpected(response.error);
    if (list.has_value() != platform_list_available_) {
      platform_list_available_ = list.has_value();
      if (platform_list_available_) {
        log_event("platform_list_back", {{"peer", settings_.platform_url}});
      } else {
        log_error("platform_list_lost", list.error());
      }
    }
    if (list.has_value()) {
      core_->on_machine_list(boot_time_now(), std::move(*list));
      flush();
    }
  });
}

void ControllerProcess::log_leadership_change() {
  const bool is_leader = core_->raft().is_leader();
  if (is_leader != was_leader_) {
    was_leader_ = is_leader;
    log_event(is_leader ? "became_leader" : "lost_leadership",
              {{"term", std::to_string(core_->raft().term().value)}});
  }
}

}  // namespace planktray::controller
