#pragma once
/// Callers of a simulated run: requests arrive open loop, whether or not earlier ones are answered.

#include <string>
#include <vector>

#include "sim/deployment.hpp"
#include "sim/directory.hpp"
#include "sim/environment.hpp"

namespace planktray::sim {

struct CallerOptions {
  double rate = 60;          ///< requests a second
  double write_share = 0.4;  ///< share that may run once at most
  std::uint32_t keys = 400;
  /// Share of keyed requests that goes to the hot key.
  double hot_share = 0.1;
  /// The hot key changes this often; zero: never.
  Duration hot_shift{0};
};

class Callers {
 public:
  Callers(Environment& environment, Directory& directory, HostId host, const Deployment& deployment,
          CallerOptions options);

  /// Sends until stop().
  void start();
  void stop() { running_ = false; }

 private:
  void schedule_next();
  void send_one();
  const ServiceSize& draw_service();
  std::string draw_key();

  Environment& environment_;
  Directory& directory_;
  HostId host_;
  const Deployment& deployment_;
  CallerOptions options_;
  common::RandomEngine random_;
  bool running_ = false;
  std::uint64_t next_request_ = 1;
  std::uint64_t hot_key_ = 0;
  TimePoint next_shift_;
};

}  // namespace planktray::sim
