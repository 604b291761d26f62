#pragma once
/// Errors with the step and the peer at which they occurred.

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace planktray::common {

/// Category of a failure.
enum class ErrorCode {
  kInvalid,      ///< the input is invalid; a retry with the same input fails
  kNotFound,     ///< the named item does not exist
  kConflict,     ///< a concurrent change was accepted first
  kNotLeader,    ///< this replica is not the leader
  kUnavailable,  ///< a later retry may succeed
  kTimeout,      ///< no response before the deadline; the outcome is unknown
  kCorrupt,      ///< stored or received bytes are damaged
  kIo,           ///< a file or socket operation failed
};

/// Name of an error code in printed and transmitted errors.
std::string_view to_string(ErrorCode code);

/// A failure: message, step, and peer (empty: this process).
struct Error {
  ErrorCode code = ErrorCode::kInvalid;
  std::string step;
  std::string peer;
  std::string message;

  /// Single-line description for logs and terminals.
  std::string describe() const;
};

/// A value, or the error that prevented it.
template <typename T>
using Result = tl::expected<T, Error>;

/// Creates a failure to return from a function with a `Result` return type.
tl::unexpected<Error> fail(ErrorCode code, std::string step, std::string peer, std::string message);

}  // namespace planktray::common
