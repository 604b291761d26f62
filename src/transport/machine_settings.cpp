#include "transport/machine_settings.hpp"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <string>
#include <utility>

namespace planktray::transport {
namespace {

/// Larger blocks are mapped each by itself.
constexpr int kMappedBlockBytes = 512 * 1024;
/// Free bytes at the end of the heap that are kept for later use.
constexpr int kFreeHeapBytes = 2 * 1024 * 1024;
constexpr double kBitsPerMegabit = 1e6;
constexpr std::size_t kBytesPerMebibyte = std::size_t{1} << 20U;
/// Upper bound of all limits, far beyond any machine.
constexpr double kMaxLimit = 1e6;
/// Slower links, in Mbit/s, are too slow for requests.
constexpr double kMinLinkRate = 0.1;

}  // namespace

std::size_t descriptor_limit(const config::MachineLimits& machine) {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  const std::size_t system = limit.rlim_cur;
  return machine.descriptors == 0 ? system : std::min<std::size_t>(system, machine.descriptors);
}

void return_free_memory() {
  mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kFreeHeapBytes);
}

void add_machine_limits(CLI::App& app, config::MachineLimits& machine) {
  const auto add = [&app](const std::string& name, const std::string& help, auto take) {
    return app.add_option_function<double>(name, std::move(take), help);
  };
  add("--link-mbps", "Rate of the machine's link in each direction, in Mbit/s; 0: not stated",
      [&machine](double value) { machine.link_bits_per_second = value * kBitsPerMegabit; })
      ->check(CLI::Range(kMinLinkRate, kMaxLimit) | CLI::Range(0.0, 0.0));
  add("--memory-mb", "Memory that the process may take, in MiB; bounds what its connections hold",
      [&machine](double value) {
        machine.memory_bytes = static_cast<std::size_t>(value * kBytesPerMebibyte);
      })
      ->check(CLI::Range(0.0, kMaxLimit));
  add("--processor-share", "Share of a core that the process gets; not enforced yet",
      [&machine](double value) { machine.processor_share = value; })
      ->check(CLI::Range(0.0, kMaxLimit));
  app.add_option("--descriptors", machine.descriptors,
                 "File descriptors that the process may open; bounds its connections");
}

}  // namespace planktray::transport
