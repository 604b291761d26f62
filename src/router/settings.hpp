#pragma once
/// Settings of the router, from its settings file or its command line.

#include <CLI/CLI.hpp>

#include "router/router_process.hpp"

namespace planktray::router {

/// Adds the settings that are common to all routers.
void add_common_settings(CLI::App& app, RouterSettings& settings);
/// Adds the settings of the product's own deployment: the callers' address and the controllers.
void add_deployment_settings(CLI::App& app, RouterSettings& settings);

}  // namespace planktray::router
