#pragma once
/// Settings of a process: a TOML file and command-line flags, parsed and validated by CLI11;
/// unknown names are rejected.

#include <CLI/CLI.hpp>
#include <chrono>
#include <functional>
#include <iostream>
#include <string>

#include "common/time.hpp"
#include "transport/http_server.hpp"

namespace planktray::transport {

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitBadSettings = 2;

/// Validator for "IP:port".
inline std::string check_endpoint(const std::string& value) {
  const auto parsed = parse_endpoint(value);
  return parsed.has_value() ? std::string() : value + ": " + parsed.error().message;
}

/// Adds a setting in milliseconds with its range; the default is the current value of `target`.
inline void add_milliseconds(CLI::App& app, const std::string& name, common::Duration& target,
                             std::int64_t low, std::int64_t high, const std::string& help) {
  const auto initial = std::chrono::duration_cast<std::chrono::milliseconds>(target).count();
  app.add_option_function<std::int64_t>(
         name, [&target](std::int64_t value) { target = std::chrono::milliseconds(value); }, help)
      ->default_val(initial)
      ->run_callback_for_default(false)
      ->check(CLI::Range(low, high));
}

/// Adds `--settings FILE` and `--check-settings`.
inline void add_settings_file(CLI::App& app, bool& check_only) {
  app.set_config("--settings", "", "Settings file; a flag of the same name wins");
  app.allow_config_extras(CLI::config_extras_mode::error);
  app.add_flag("--check-settings", check_only, "Check the settings and end");
}

/// Rereads the settings from the file and the flags that the process was started with.
/// @return kInvalid with the invalid setting.
template <typename Settings>
common::Result<Settings> read_settings(const std::function<void(CLI::App&, Settings&)>& add,
                                       int argc, char** argv) {
  Settings settings;
  CLI::App app;
  add(app, settings);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return common::fail(common::ErrorCode::kInvalid, "read settings", "", error.what());
  }
  return settings;
}

/// Returns the settings file given on a parsed command line, or "".
inline std::string settings_path(const CLI::App& app) {
  const CLI::Option* option = app.get_config_ptr();
  return option == nullptr ? "" : option->as<std::string>();
}

/// Parses the command line; prints an error message on failure. @return an exit code, or -1 to
/// continue.
inline int parse_settings(CLI::App& app, int argc, char** argv, const bool& check_only) {
  try {
    app.parse(argc, argv);
  } catch (const CLI::CallForHelp& help) {
    return app.exit(help);
  } catch (const CLI::ParseError& error) {
    std::cerr << "settings: " << error.what() << "\n";
    return kExitBadSettings;
  }
  if (check_only) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  return -1;
}

}  // namespace planktray::transport
