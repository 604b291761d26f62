#include "limits/connection_limits.hpp"

#include <algorithm>

namespace planktray::limits {
namespace {

/// Connections that each listener takes, however few descriptors there are.
constexpr std::size_t kLeastConnections = 16;

/// Parts of the descriptors, in sixty-fourths.
constexpr std::size_t kParts = 64;
constexpr std::size_t kCallerParts = 40;
constexpr std::size_t kRelayParts = 8;
constexpr std::size_t kStatusParts = 1;
constexpr std::size_t kControlParts = 48;
constexpr std::size_t kOperatorParts = 2;

std::size_t share(std::size_t descriptors, std::size_t parts) {
  return std::max(kLeastConnections, descriptors * parts / kParts);
}

}  // namespace

RouterConnections router_connections(std::size_t descriptors) {
  return {share(descriptors, kCallerParts), share(descriptors, kRelayParts),
          share(descriptors, kStatusParts)};
}

ControllerConnections controller_connections(std::size_t descriptors) {
  return {share(descriptors, kControlParts), share(descriptors, kOperatorParts)};
}

}  // namespace planktray::limits
