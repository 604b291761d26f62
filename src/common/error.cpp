#include "common/error.hpp"

#include <utility>

namespace planktray::common {

std::string_view to_string(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalid:
      return "invalid";
    case ErrorCode::kNotFound:
      return "not-found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kNotLeader:
      return "not-leader";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kCorrupt:
      return "corrupt";
    case ErrorCode::kIo:
      return "io";
  }
  return "unknown";
}

std::string Error::describe() const {
  std::string text(to_string(code));
  text += ": " + message + " (step " + step;
  if (!peer.empty()) {
    text += ", peer " + peer;
  }
  return text + ")";
}

tl::unexpected<Error> fail(ErrorCode code, std::string step, std::string peer,
                           std::string message) {
  return tl::unexpected(Error{code, std::move(step), std::move(peer), std::move(message)});
}

}  // namespace planktray::common
