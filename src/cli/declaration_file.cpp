#include "cli/declaration_file.hpp"

#include <toml++/toml.h>

#include <nlohmann/json.hpp>
#include <regex>
#include <sstream>

#include "config/declaration.hpp"

namespace planktray::cli {
namespace {

using nlohmann::json;

constexpr const char* kStep = "check file";

json to_json(const toml::node& node) {
  if (const auto* table = node.as_table()) {
    json object = json::object();
    for (const auto& [key, value] : *table) {
      object[std::string(key.str())] = to_json(value);
    }
    return object;
  }
  if (const auto* array = node.as_array()) {
    json list = json::array();
    for (const toml::node& item : *array) {
      list.push_back(to_json(item));
    }
    return list;
  }
  if (const auto* integer = node.as_integer()) {
    return integer->get();
  }
  if (const auto* real = node.as_floating_point()) {
    return real->get();
  }
  if (const auto* boolean = node.as_boolean()) {
    return boolean->get();
  }
  if (const auto* text = node.as_string()) {
    return text->get();
  }
  std::ostringstream text;
  node.visit([&text](const auto& value) {
    if constexpr (toml::is_value<decltype(value)>) {
      // Dates and times. No field accepts them, so validation reports the field.
      text << value.get();
    }
  });
  return text.str();
}

/// Returns the line of the field that the error message starts with, or of its nearest parent; 0 if
/// unknown.
std::size_t line_of(const toml::table& root, const std::string& message) {
  const std::string field = message.substr(0, message.find(' '));
  const toml::node* node = &root;
  std::size_t line = 0;
  static const std::regex kPathSegment(R"(([^.\[\]]+)|\[(\d+)\])");
  for (std::sregex_iterator it(field.begin(), field.end(), kPathSegment), end; it != end; ++it) {
    const toml::node* next = nullptr;
    if ((*it)[2].matched && node->is_array()) {
      next = node->as_array()->get(std::stoul((*it)[2].str()));
    } else if ((*it)[1].matched && node->is_table()) {
      next = node->as_table()->get((*it)[1].str());
    }
    if (next == nullptr) {
      break;
    }
    node = next;
    line = node->source().begin.line;
  }
  return line;
}

std::string location(const std::string& path, std::size_t line) {
  return line == 0 ? path : path + ":" + std::to_string(line);
}

}  // namespace

common::Result<DeclarationFile> read_declaration_file(const std::string& path) {
  toml::table root;
  try {
    root = toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    return common::fail(common::ErrorCode::kInvalid, kStep,
                        location(path, error.source().begin.line),
                        std::string(error.description()));
  }
  DeclarationFile file;
  file.path = path;
  file.json = to_json(root).dump();
  const bool is_tenant = root.contains("tenant");
  file.kind =
      is_tenant ? ownership::DeclarationKind::kTenant : ownership::DeclarationKind::kTemplate;
  const auto failed = [&](const common::Error& error) {
    return common::fail(common::ErrorCode::kInvalid, kStep,
                        location(path, line_of(root, error.message)), error.message);
  };
  if (is_tenant) {
    const auto tenant = config::parse_tenant(file.json);
    if (!tenant.has_value()) {
      return failed(tenant.error());
    }
    file.name = tenant->name.value;
    return file;
  }
  const auto declaration = config::parse_template(file.json);
  if (!declaration.has_value()) {
    return failed(declaration.error());
  }
  file.name = declaration->name.value;
  return file;
}

}  // namespace planktray::cli
