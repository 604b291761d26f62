#pragma once
/// Metrics of a process, stored in a prometheus-cpp registry and served as text at /metrics.

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <map>
#include <string>

namespace planktray::transport {

class Metrics {
 public:
  /// Raises a counter to a total that is counted elsewhere.
  void set_counter(const std::string& name, const std::string& help, std::uint64_t total);
  void set_gauge(const std::string& name, const std::string& help, double value);
  /// Returns a histogram of seconds with buckets from 100 microseconds to 10 seconds.
  prometheus::Histogram& latency_histogram(const std::string& name, const std::string& help);
  /// Returns all metrics in text format, including memory and processor time of the process.
  std::string serialize();

 private:
  prometheus::Registry registry_;
  std::map<std::string, prometheus::Counter*> counters_;
  std::map<std::string, prometheus::Gauge*> gauges_;
};

/// Memory and processor time of this process.
struct ProcessUsage {
  std::uint64_t resident_bytes = 0;
  double cpu_seconds = 0;
};
ProcessUsage process_usage();

}  // namespace planktray::transport
