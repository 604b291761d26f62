#pragma once
/// Settings that state the limits of the machine on which a process runs.

#include <CLI/CLI.hpp>
#include <cstddef>

#include "config/machine_limits.hpp"

namespace planktray::transport {

/// Returns how many descriptors this process may open: as many as its machine states, and not more
/// than the system lets it.
std::size_t descriptor_limit(const config::MachineLimits& machine);

/// Sets how the allocator of this process returns memory: large blocks go back to the system as
/// soon as they are free.
void return_free_memory();

/// Adds the limits of the machine. A resource without a stated limit is unlimited.
void add_machine_limits(CLI::App& app, config::MachineLimits& machine);

}  // namespace planktray::transport
