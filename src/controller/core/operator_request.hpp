#pragma once
/// Identity of a caller's request inside one controller process.

#include <cstdint>

namespace planktray::controller {

/// Number of a request to this process, from an operator or a back end.
using OperatorRequestId = std::uint64_t;

}  // namespace planktray::controller
