#pragma once
/// Declarations as operators write them: TOML files with a template or a tenant each.

#include <string>

#include "common/error.hpp"
#include "ownership/commands.hpp"

namespace planktray::cli {

struct DeclarationFile {
  std::string path;
  ownership::DeclarationKind kind = ownership::DeclarationKind::kTemplate;
  std::string name;
  std::string json;  ///< the document as controllers take it
};

/// Reads and fully checks a file. Errors carry "file:line" as peer and name the field.
common::Result<DeclarationFile> read_declaration_file(const std::string& path);

}  // namespace planktray::cli
