#pragma once
/// JSON documents that hold text and numbers from outside.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace planktray::common {

/// Encodes a document. Bytes of its strings that are no UTF-8 are replaced: callers' paths and
/// bodies appear in error messages, and nlohmann::json::dump() throws on such strings.
inline std::string json_text(const nlohmann::json& document) {
  return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Returns an integer of a document.
/// @throws nlohmann::json::exception for a value that is no integer or does not fit `Integer`:
///   nlohmann::json::get() converts such a value to some other number.
template <typename Integer>
Integer json_integer(const nlohmann::json& value) {
  using nlohmann::json;
  constexpr int kTypeErrorId = 302;
  constexpr int kOutOfRangeId = 406;
  if (!value.is_number_integer()) {
    throw json::type_error::create(
        kTypeErrorId, std::string("must be an integer, is ") + value.type_name(), &value);
  }
  const bool fits = value.is_number_unsigned() ? std::in_range<Integer>(value.get<std::uint64_t>())
                                               : std::in_range<Integer>(value.get<std::int64_t>());
  if (!fits) {
    throw json::out_of_range::create(kOutOfRangeId, "integer out of range", &value);
  }
  return value.get<Integer>();
}

}  // namespace planktray::common
