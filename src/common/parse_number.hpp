#pragma once
/// Numbers in text from other processes.

#include <charconv>
#include <string_view>
#include <system_error>

namespace planktray::common {

/// Parses the whole text as a number. @return false if it is not one.
template <typename Number>
bool parse_number(std::string_view text, Number& number) {
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  return error == std::errc() && rest == end;
}

}  // namespace planktray::common
