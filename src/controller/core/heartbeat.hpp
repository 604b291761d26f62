#pragma once
/// A heartbeat of a back end that registers itself.

#include <cstdint>
#include <optional>
#include <string>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "ownership/holdings_report.hpp"

namespace planktray::controller {

/// Identifies a request of an operator or a back end within this process.
using OperatorRequestId = std::uint64_t;

struct Heartbeat {
  common::Incarnation incarnation;
  std::string address;  ///< "IP:port"
  std::string service;
  common::ZoneName zone;
  std::uint32_t slots = 0;
  bool draining = false;
  std::uint64_t sequence = 0;
  std::uint32_t cold_ms = 0;  ///< how much longer the back end is slow and can serve few requests
  bool cold_is_unreadable = false;  ///< the heartbeat's cold time could not be parsed
  common::Duration waited{0};       ///< since a controller received it
  /// Present if the back end learns from the answer which keys it holds.
  std::optional<ownership::HoldingsReport> holdings;
};

}  // namespace planktray::controller
