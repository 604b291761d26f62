#pragma once
/// The load generator: sends requests at a fixed rate without waiting for responses (open loop),
/// records each with its outcome, and prints latency percentiles.

#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/histogram.hpp"
#include "common/random.hpp"
#include "transport/event_loop.hpp"
#include "transport/http_client.hpp"

namespace planktray::standin {

struct LoadSettings {
  std::vector<std::string> routers;   ///< "IP:port"
  std::vector<std::string> services;  ///< "tenant/service"
  double rate = 100;                  ///< requests per second in total
  common::Duration duration = std::chrono::milliseconds(10'000);
  double write_share = 0.3;  ///< fraction of requests that must run at most once
  std::uint32_t keys = 1000;
  std::uint32_t timeout_ms = 2000;
  std::string record;  ///< file with one line per request; empty: none
  std::uint64_t seed = 1;
  bool as_json = false;
};

class LoadProcess {
 public:
  explicit LoadProcess(LoadSettings settings);

  common::Result<void> start();
  /// @return 0 if no answer carried the ID of another request, otherwise 1.
  int run();

 private:
  struct Call {
    std::string id;
    std::string service;
    std::string method;
    std::string key;
    bool repeatable = false;
    common::TimePoint sent_at;
  };

  void send_due();
  void send_one();
  void on_answer(const Call& call, const transport::HttpResponse& response);
  void report() const;

  LoadSettings settings_;
  common::RandomEngine random_;
  transport::EventLoop loop_;
  transport::HttpClient client_;
  std::ofstream record_;
  common::TimePoint started_;
  std::uint64_t sent_ = 0;
  std::uint64_t finished_ = 0;
  std::uint64_t mismatched_ = 0;
  std::string run_id_;
  std::map<std::string, std::uint64_t> outcomes_;
  common::Histogram latency_;
};

}  // namespace planktray::standin
