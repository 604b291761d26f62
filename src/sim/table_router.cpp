#include "sim/table_router.hpp"

#include <utility>

namespace planktray::sim {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(5);

}  // namespace

TableRouter::TableRouter(Environment& environment, HostId host, router::RouterOptions options,
                         std::vector<std::string> seeds, HelloSender send_hello)
    : environment_(environment),
      host_(host),
      options_(std::move(options)),
      seeds_(std::move(seeds)),
      send_hello_(std::move(send_hello)) {}

void TableRouter::start() {
  host().start();
  core_.emplace(options_, common::RandomEngine(environment_.random()), host().clock());
  core_->set_seeds(seeds_);
  tick();
}

void TableRouter::kill() {
  host().kill();
  core_.reset();
}

void TableRouter::receive(const routing::TableUpdate& update, const std::string& from) {
  core_->on_table_update(host().clock(), update, from);
  flush();
}

void TableRouter::receive(const routing::ControllerList& list) {
  core_->on_controller_list(host().clock(), list);
  flush();
}

void TableRouter::tick() {
  core_->tick(host().clock());
  flush();
  host().after(kTick, [this] { tick(); });
}

void TableRouter::flush() {
  const router::RouterOutput output = core_->take_output();
  if (!output.hello.has_value()) {
    return;
  }
  for (const std::string& address : output.hello_to_all ? core_->controllers() : output.hello_to) {
    send_hello_(*this, address, *output.hello);
  }
}

}  // namespace planktray::sim
