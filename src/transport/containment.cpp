#include "transport/containment.hpp"

#include <string>

#include "common/error.hpp"
#include "transport/logging.hpp"

namespace planktray::transport {
namespace {

std::uint64_t& counter() {
  static std::uint64_t count = 0;
  return count;
}

}  // namespace

void record_contained(std::string_view step, std::string_view peer, const std::exception& error) {
  ++counter();
  log_error("input_failed",
            {common::ErrorCode::kInvalid, std::string(step), std::string(peer), error.what()});
}

std::uint64_t contained_exceptions() { return counter(); }

}  // namespace planktray::transport
