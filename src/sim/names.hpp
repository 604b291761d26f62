#pragma once
/// Tables of values and the names they have on the command line.

#include <string>
#include <string_view>
#include <vector>

#include "common/error.hpp"

namespace planktray::sim {

template <typename T>
struct Named {
  std::string_view name;
  T value;
};

/// @return the value's name, or "".
template <typename Table, typename T>
std::string_view name_in(const Table& table, T value) {
  for (const auto& item : table) {
    if (item.value == value) {
      return item.name;
    }
  }
  return "";
}

/// Every value, in the order of the table.
template <typename Table>
auto values_of(const Table& table) {
  std::vector<decltype(table.front().value)> values;
  values.reserve(table.size());
  for (const auto& item : table) {
    values.push_back(item.value);
  }
  return values;
}

/// @param what the table holds, for the error.
/// @return kInvalid with the names that there are.
template <typename Table>
auto parse_name(const Table& table, const std::string& name, const std::string& what)
    -> common::Result<decltype(table.front().value)> {
  std::string names;
  for (const auto& item : table) {
    if (item.name == name) {
      return item.value;
    }
    names += " " + std::string(item.name);
  }
  return common::fail(common::ErrorCode::kInvalid, "read " + what, "",
                      "\"" + name + "\" is none of:" + names);
}

}  // namespace planktray::sim
