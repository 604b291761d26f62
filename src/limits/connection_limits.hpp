#pragma once
/// Divides the descriptors of a process among those that connect to it. The rest stays free for the
/// process itself: its connections to back ends and controllers, and its files.

#include <cstddef>

namespace planktray::limits {

/// Maximum connections to each listener of a router.
struct RouterConnections {
  std::size_t callers = 0;
  std::size_t relays = 0;
  std::size_t status = 0;
};

/// Maximum connections to each listener of a controller.
struct ControllerConnections {
  std::size_t control = 0;
  std::size_t operators = 0;
};

/// @param descriptors that the process may open.
RouterConnections router_connections(std::size_t descriptors);
ControllerConnections controller_connections(std::size_t descriptors);

}  // namespace planktray::limits
