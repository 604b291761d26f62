#pragma once
/// Settings of the controller, from its settings file or its command line.

#include <CLI/CLI.hpp>
#include <string>

#include "controller/controller_process.hpp"

namespace planktray::controller {

/// Adds the settings that are common to all controllers.
void add_common_settings(CLI::App& app, ControllerSettings& settings);
/// Adds the settings of the product's own deployment: addresses, peers and the machine list.
void add_deployment_settings(CLI::App& app, ControllerSettings& settings);
/// Checks constraints between settings. @return an error message, or an empty string.
std::string validate_settings(const ControllerSettings& settings);

}  // namespace planktray::controller
