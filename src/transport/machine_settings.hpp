#pragma once
/// Settings that state the limits of the machine on which a process runs.

#include <CLI/CLI.hpp>

#include "config/machine_limits.hpp"

namespace planktray::transport {

/// Adds the limits of the machine. A resource without a stated limit is unlimited.
void add_machine_limits(CLI::App& app, config::MachineLimits& machine);

}  // namespace planktray::transport
