#include "transport/metrics.hpp"

#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace planktray::transport {

void Metrics::set_counter(const std::string& name, const std::string& help, std::uint64_t total) {
  prometheus::Counter*& counter = counters_[name];
  if (counter == nullptr) {
    counter = &prometheus::BuildCounter().Name(name).Help(help).Register(registry_).Add({});
  }
  counter->Increment(static_cast<double>(total) - counter->Value());
}

void Metrics::set_gauge(const std::string& name, const std::string& help, double value) {
  prometheus::Gauge*& gauge = gauges_[name];
  if (gauge == nullptr) {
    gauge = &prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add({});
  }
  gauge->Set(value);
}

prometheus::Histogram& Metrics::latency_histogram(const std::string& name,
                                                  const std::string& help) {
  const prometheus::Histogram::BucketBoundaries boundaries = {
      0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025,
      0.05,   0.1,     0.25,   0.5,   1.0,    2.5,   5.0,  10.0};
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry_).Add({}, boundaries);
}

std::string Metrics::serialize() {
  const ProcessUsage usage = process_usage();
  set_gauge("process_resident_memory_bytes", "Resident memory.",
            static_cast<double>(usage.resident_bytes));
  set_gauge("process_cpu_seconds", "Processor time used.", usage.cpu_seconds);
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

ProcessUsage process_usage() {
  ProcessUsage usage;
  std::ifstream statm("/proc/self/statm");
  std::uint64_t total_pages = 0;
  std::uint64_t resident_pages = 0;
  statm >> total_pages >> resident_pages;
  usage.resident_bytes = resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  rusage times{};
  getrusage(RUSAGE_SELF, &times);
  constexpr double kMicro = 1e-6;
  usage.cpu_seconds = static_cast<double>(times.ru_utime.tv_sec + times.ru_stime.tv_sec) +
                      static_cast<double>(times.ru_utime.tv_usec + times.ru_stime.tv_usec) * kMicro;
  return usage;
}

}  // namespace planktray::transport
