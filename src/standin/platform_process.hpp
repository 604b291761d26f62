#pragma once
/// The platform's machine list, served with a configurable delay.

#include <deque>
#include <memory>
#include <string>
#include <utility>

#include "membership/machine_list.hpp"
#include "transport/event_loop.hpp"
#include "transport/http_server.hpp"

namespace planktray::standin {

struct PlatformSettings {
  std::string address;
  std::string file;         ///< initial machine list, JSON
  common::Duration lag{0};  ///< delay until a change becomes visible
};

/// `GET /machines`; `PUT /machines/NAME` with {"state": "live"|"leaving"} or a complete machine.
class PlatformProcess {
 public:
  explicit PlatformProcess(PlatformSettings settings) : settings_(std::move(settings)) {}

  common::Result<void> start();
  int run();

 private:
  void on_http(const transport::ExchangePointer& exchange);
  void change(const transport::ExchangePointer& exchange, const std::string& name);
  const membership::MachineList& visible();

  PlatformSettings settings_;
  transport::EventLoop loop_;
  std::unique_ptr<transport::HttpServer> server_;
  /// Versions, each with the time from which it is served; the last one is current.
  std::deque<std::pair<common::TimePoint, membership::MachineList>> versions_;
};

}  // namespace planktray::standin
