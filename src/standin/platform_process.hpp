#pragma once
/// The platform's list of machines, served with a lag.

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
  std::string file;         ///< JSON list to start from
  common::Duration lag{0};  ///< a change shows this much later
};

/// `GET /machines`; `PUT /machines/NAME` with {"state": "live"|"leaving"} or a whole machine.
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
  /// Versions with the time from which each is seen; the last is the truth.
  std::deque<std::pair<common::TimePoint, membership::MachineList>> versions_;
};

}  // namespace planktray::standin
