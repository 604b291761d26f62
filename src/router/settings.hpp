#pragma once
/// Settings of the router that stand in its settings file or on its command line.

#include <CLI/CLI.hpp>

#include "router/router_process.hpp"

namespace planktray::router {

/// Adds the settings that every router has.
void add_common_settings(CLI::App& app, RouterSettings& settings);
/// Adds those of the product's own deployment: the callers' address and the controllers.
void add_deployment_settings(CLI::App& app, RouterSettings& settings);

}  // namespace planktray::router
