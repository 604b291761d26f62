#pragma once
/// Structured logging with log4cplus: one key=value line for each change of state, to standard
/// output. Frequent events are counted in metrics instead.

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "common/error.hpp"

namespace planktray::transport {

using LogField = std::pair<std::string_view, std::string>;

/// Sets up logging for this process.
void start_logging(const std::string& program, const std::string& instance);
/// Logs a change of state.
void log_event(std::string_view event, std::initializer_list<LogField> fields);
/// Logs an error with its code, step, peer and message.
void log_error(std::string_view event, const common::Error& error);

}  // namespace planktray::transport
