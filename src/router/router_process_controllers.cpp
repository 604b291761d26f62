/// The part of RouterProcess for its connections to controllers and what they send.

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "router/router_process.hpp"
#include "transport/logging.hpp"

namespace planktray::router {
namespace {

using transport::boot_time_now;
using transport::log_event;

/// Updates that took at least this long from their sender until they were applied are logged: about
/// ten round trips between controllers and routers, and a fifth of the shortest promised time.
constexpr common::Duration kLateUpdate = std::chrono::milliseconds(400);

}  // namespace

void RouterProcess::on_controller_list(const routing::ControllerList& list) {
  core_.on_controller_list(boot_time_now(), list);
  connect_controllers();
  flush();
}

std::size_t RouterProcess::connect_controllers() {
  std::size_t added = 0;
  for (const std::string& address : core_.controllers()) {
    if (controllers_.contains(address)) {
      continue;
    }
    if (auto connected = connect_controller(address); !connected) {
      transport::log_error("controller_refused", connected.error());
      continue;
    }
    ++added;
    log_event("controller_learnt", {{"peer", address}});
  }
  return added;
}

void RouterProcess::close_unused_connections() {
  const std::vector<std::string> used = core_.controllers();
  std::erase_if(controllers_, [&](const auto& item) {
    const bool is_used = std::find(used.begin(), used.end(), item.first) != used.end();
    if (!is_used) {
      closed_controllers_ += item.second->counters();
      log_event("controller_gone", {{"peer", item.first}});
    }
    return !is_used;
  });
}

void RouterProcess::on_table_update(const routing::TableUpdate& update, const std::string& from) {
  const common::TimePoint now = boot_time_now();
  const common::Duration age = core_.freshness().age(now).value_or(common::Duration(0));
  core_.on_table_update(now, update, from);
  flush();
  const common::Duration delay = now - common::from_microseconds(update.as_of_clock_us);
  if (update.as_of_clock_us > 0 && delay >= kLateUpdate) {
    request_log_.table_late(
        {now, from, delay, age, core_.table().index(), loop_.take_longest_turn()});
  }
}

common::Result<void> RouterProcess::connect_controller(const std::string& address) {
  if (controllers_.contains(address)) {
    return {};
  }
  auto socket = transport::ZmqSocket::connect(
      context_, address, "router/" + settings_.options.name.value,
      [this, address](const std::string& /*identity*/, const auto& message) {
        if (const auto* update = std::get_if<routing::TableUpdate>(&message.value)) {
          on_table_update(*update, address);
        } else if (const auto* list = std::get_if<routing::ControllerList>(&message.value)) {
          on_controller_list(*list);
        }
      });
  if (!socket.has_value()) {
    return tl::unexpected(socket.error());
  }
  controllers_[address] = std::move(*socket);
  return {};
}

}  // namespace planktray::router
