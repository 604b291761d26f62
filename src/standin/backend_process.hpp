#pragma once
/// A back end process: serves BackendCore over HTTP and records executed requests in a ledger.

#include <fstream>
#include <memory>
#include <string>
#include <unordered_map>

#include "common/random.hpp"
#include "standin/core/backend_core.hpp"
#include "transport/event_loop.hpp"
#include "transport/http_server.hpp"
#include "transport/metrics.hpp"

namespace planktray::standin {

struct BackendSettings {
  std::string name;
  std::string address;
  std::string ledger;  ///< file with one line per executed request; empty: none
  std::uint32_t slots = 2;
  std::uint32_t queue_limit = 8;
  common::Duration service_time =
      std::chrono::milliseconds(5);   ///< mean of an exponential distribution
  common::Duration network_delay{0};  ///< added before the work and before the response
  common::Duration drain_timeout = std::chrono::milliseconds(30'000);
};

class BackendProcess {
 public:
  explicit BackendProcess(BackendSettings settings);

  common::Result<void> start();
  int run();

 private:
  struct Work {
    transport::ExchangePointer exchange;
    WorkOrder order;
  };

  void on_http(const transport::ExchangePointer& exchange);
  void on_release(const transport::ExchangePointer& exchange);
  void on_work(const transport::ExchangePointer& exchange);
  void flush();
  void start_work(WorkId id);
  void end_work(const WorkDone& done);
  void write_ledger(const WorkOrder& order);
  void later(std::function<void()> action);
  common::Duration draw_service_time();
  std::string metrics_text();

  BackendSettings settings_;
  common::RandomEngine random_;
  BackendCore core_;
  transport::EventLoop loop_;
  transport::Metrics metrics_;
  std::unique_ptr<transport::HttpServer> server_;
  std::ofstream ledger_;
  std::unordered_map<WorkId, Work> work_;
  std::unordered_map<ReleaseId, transport::ExchangePointer> releases_;
  std::uint64_t next_id_ = 1;
  std::uint64_t executed_ = 0;
  std::uint64_t refused_ = 0;
  bool stopping_ = false;
  common::TimePoint
      last_work_;  ///< time of the last request, or of the start of the drain if later
  common::TimePoint stop_by_;
};

}  // namespace planktray::standin
