#pragma once
/// Text of JSON documents that may hold strings from outside.

#include <nlohmann/json.hpp>
#include <string>

namespace planktray::transport {

/// Encodes a document. Bytes of its strings that are no UTF-8 are replaced: callers' paths and
/// bodies appear in error messages, and nlohmann::json::dump() throws on such strings.
inline std::string json_text(const nlohmann::json& document) {
  return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace planktray::transport
