#pragma once
/// Declaration files of operators: TOML files with one template or tenant each.

#include <string>

#include "common/error.hpp"
#include "ownership/commands.hpp"

namespace planktray::cli {

/// A validated declaration and its file.
struct DeclarationFile {
  std::string path;
  ownership::DeclarationKind kind = ownership::DeclarationKind::kTemplate;
  std::string name;
  std::string json;  ///< the document in the format of the controllers' HTTP interface
};

/// Reads and validates a file. Errors contain "file:line" as the peer and the field in the message.
common::Result<DeclarationFile> read_declaration_file(const std::string& path);

}  // namespace planktray::cli
