#include "soak/crowds.hpp"

#include <utility>

#include "soak/operator.hpp"
#include "soak/usage.hpp"

namespace planktray::soak {
namespace {

constexpr std::size_t kMebibyte = std::size_t{1} << 20U;
constexpr std::size_t kMemoryMb = 64;
constexpr std::uint64_t kDescriptors = 400;
constexpr Duration kInterval = std::chrono::milliseconds(500);
constexpr std::size_t kMaxBatches = 12;
constexpr std::size_t kPiece = 64 * 1024;
/// Below the limit of the soak's configuration.
constexpr std::size_t kBody = 1'000'000;
constexpr std::size_t kPieces = kBody / kPiece;

}  // namespace

Crowds::Crowds(const Processes& processes, std::size_t clients, std::uint64_t seed)
    : processes_(processes), clients_(clients), random_(seed) {}

FleetSettings Crowds::fleet_settings(std::size_t clients) {
  if (clients == 0) {
    return {};
  }
  const std::string lines = "memory-mb = " + std::to_string(kMemoryMb) +
                            "\ndescriptors = " + std::to_string(kDescriptors) + "\n";
  return {lines, lines, kDescriptors};
}

void Crowds::send(TimePoint now) {
  if (clients_ == 0 || now < next_batch_) {
    return;
  }
  next_batch_ = now + kInterval;
  if (batches_.size() == kMaxBatches) {
    batches_.pop_front();
  }
  const std::vector<Process>& all = processes_.all();
  const Process& process = all[common::uniform(random_, 0, all.size() - 1)];
  batches_.push_back(std::make_unique<crowd::Crowd>());
  batches_.back()->add(process.address, clients_, next_script());
}

crowd::Script Crowds::next_script() {
  const std::string host = Operator::kHost;
  constexpr std::uint64_t kKinds = 5;
  switch (common::uniform(random_, 0, kKinds - 1)) {
    case 0:
      return {};
    case 1:
      return {"GET /safe/x HTTP/1.1\r\nHost: " + host + "\r\n", std::string(4000, 'a'), 1};
    case 2:
      return {crowd::chunked_head("POST", host, "/nowhere/x"), crowd::chunk_of(kPiece), kPieces};
    case 3:
      return {crowd::head_with_length("POST", host, Operator::kUnsafePath, kBody),
              std::string(kPiece, 'x'), kPieces};
    default:
      return {crowd::chunked_head("POST", host, Operator::kSafePath), crowd::chunk_of(kPiece),
              kPieces};
  }
}

void Crowds::check_memory(std::vector<std::string>& violations) const {
  for (const Process& process : processes_.all()) {
    const std::size_t peak = process.pid > 0 ? peak_memory(process.pid) : 0;
    if (clients_ > 0 && peak > kMemoryMb * kMebibyte) {
      violations.push_back("MEMORY " + process.name + " took " + std::to_string(peak / kMebibyte) +
                           " MiB");
    }
  }
}

}  // namespace planktray::soak
