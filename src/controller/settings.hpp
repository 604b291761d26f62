#pragma once
/// Settings of the controller that stand in its settings file or on its command line.

#include <CLI/CLI.hpp>
#include <string>

#include "controller/controller_process.hpp"

namespace planktray::controller {

/// Adds the settings that every controller has.
void add_common_settings(CLI::App& app, ControllerSettings& settings);
/// Adds those of the product's own deployment: addresses, peers and the machine list.
void add_deployment_settings(CLI::App& app, ControllerSettings& settings);
/// Checks what depends on several settings. @return a message, or nothing.
std::string validate_settings(const ControllerSettings& settings);

}  // namespace planktray::controller
