#include "standin/hollow_process.hpp"

#include "membership/machine_list.hpp"
#include "standin/lease_endpoint.hpp"
#include "transport/json_messages.hpp"
#include "transport/logging.hpp"

namespace planktray::standin {
namespace {

using transport::boot_time_now;

constexpr std::size_t kMaxBody = 64UL * 1024 * 1024;
constexpr common::Duration kTick = std::chrono::milliseconds(10);
/// Raises the default limit of ZeroMQ, which is 1,023.
constexpr int kMaxSockets = 20'000;
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusNotFound = 404;

}  // namespace

common::Result<void> HollowProcess::start() {
  context_.set(zmq::ctxopt::max_sockets, kMaxSockets);
  membership::MachineList list;
  list.version = 1;
  for (int i = 1; i <= settings_.backends; ++i) {
    if (auto added = add_backend(i); !added) {
      return added;
    }
    list.add({common::MachineName("hollow-" + std::to_string(i)), address(settings_.first_port + i),
              common::ZoneName(settings_.zone), common::PoolName(settings_.pool), false});
  }
  machine_list_ = transport::to_json(list);
  auto server = transport::HttpServer::listen(address(settings_.first_port),
                                              transport::options_with_body_limit(kMaxBody),
                                              [this](const transport::ExchangePointer& exchange) {
                                                exchange->respond_json(kStatusOk, machine_list_);
                                              });
  if (!server.has_value()) {
    return tl::unexpected(server.error());
  }
  list_server_ = std::move(*server);
  for (int i = 1; i <= settings_.routers; ++i) {
    if (auto added = add_router(i); !added) {
      return added;
    }
  }
  transport::log_event("started", {{"backends", std::to_string(settings_.backends)},
                                   {"routers", std::to_string(settings_.routers)}});
  return {};
}

common::Result<void> HollowProcess::add_backend(int number) {
  BackendOptions options;
  options.incarnation =
      common::Incarnation("hollow-" + std::to_string(number) + "#" +
                          std::to_string(common::to_microseconds(boot_time_now())));
  Backend& backend = backends_.emplace_back();
  backend.core = std::make_unique<BackendCore>(options);
  auto server = transport::HttpServer::listen(
      address(settings_.first_port + number), transport::options_with_body_limit(kMaxBody),
      [this, &backend](const transport::ExchangePointer& exchange) { answer(backend, exchange); });
  if (!server.has_value()) {
    return tl::unexpected(server.error());
  }
  backend.server = std::move(*server);
  return {};
}

common::Result<void> HollowProcess::add_router(int number) {
  router::RouterOptions options;
  options.cell = common::CellName(settings_.cell);
  options.name = common::RouterName("hollow-router-" + std::to_string(number));
  options.zone = common::ZoneName(settings_.zone);
  Router& router = routers_.emplace_back();
  router.core = std::make_unique<router::RouterCore>(
      options, common::RandomEngine(static_cast<std::uint64_t>(number)), boot_time_now());
  for (const std::string& controller : settings_.controllers) {
    auto socket = transport::ZmqSocket::connect(
        context_, controller, "router/" + options.name.value,
        [&router](const std::string& /*identity*/, const transport::WireMessage& message) {
          if (const auto* update = std::get_if<routing::TableUpdate>(&message.value)) {
            router.core->on_table_update(boot_time_now(), *update);
          }
        });
    if (!socket.has_value()) {
      return tl::unexpected(socket.error());
    }
    router.controllers.push_back(std::move(*socket));
  }
  return {};
}

void HollowProcess::answer(Backend& backend, const transport::ExchangePointer& exchange) {
  if (exchange->path() != "/planktray/v1/lease") {
    return exchange->respond_json(kStatusNotFound, R"({"error":"hollow"})");
  }
  answer_lease(*backend.core, exchange);
}

void HollowProcess::tick_routers() {
  for (Router& router : routers_) {
    router.core->tick(boot_time_now());
    const router::RouterOutput output = router.core->take_output();
    if (output.hello.has_value()) {
      for (const auto& controller : router.controllers) {
        controller->send(transport::WireMessage(*output.hello));
      }
    }
  }
}

int HollowProcess::run() {
  loop_.every(kTick, [this] { tick_routers(); });
  loop_.on_terminate([this] { loop_.quit(); });
  loop_.run();
  return 0;
}

}  // namespace planktray::standin
