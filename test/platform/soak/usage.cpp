#include "soak/usage.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace planktray::soak {
namespace {

constexpr std::size_t kBytesPerKibibyte = 1024;

}  // namespace

std::size_t peak_memory(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) {
      return std::strtoull(line.c_str() + line.find(':') + 1, nullptr, 10) * kBytesPerKibibyte;
    }
  }
  return 0;
}

std::size_t open_descriptors(pid_t pid) {
  std::error_code error;
  std::size_t count = 0;
  for (std::filesystem::directory_iterator entry("/proc/" + std::to_string(pid) + "/fd", error);
       !error && entry != std::filesystem::directory_iterator(); entry.increment(error)) {
    ++count;
  }
  return count;
}

}  // namespace planktray::soak
