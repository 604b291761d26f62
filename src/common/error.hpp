#pragma once
/// Errors that carry the step and the peer at which they arose.

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace planktray::common {

enum class ErrorCode {
  kInvalid,      ///< the input can never be accepted as it is
  kNotFound,     ///< the named thing does not exist
  kConflict,     ///< another change came first
  kNotLeader,    ///< another replica has to be asked
  kUnavailable,  ///< it may work later
  kTimeout,      ///< no answer in time; the outcome is not known
  kCorrupt,      ///< stored or received bytes are damaged
  kIo,           ///< a file or socket operation failed
};

/// Name of an error code, as it is printed and sent.
std::string_view to_string(ErrorCode code);

/// A failure: what went wrong, during which step, and with which peer (empty: this process).
struct Error {
  ErrorCode code = ErrorCode::kInvalid;
  std::string step;
  std::string peer;
  std::string message;

  /// One line for logs and terminals.
  std::string describe() const;
};

template <typename T>
using Result = tl::expected<T, Error>;

/// Shorthand for returning a failure from a function with a `Result` type.
tl::unexpected<Error> fail(ErrorCode code, std::string step, std::string peer, std::string message);

}  // namespace planktray::common
