#include "config/declaration.hpp"

#include <doctest/doctest.h>

namespace planktray::config {
namespace {

const std::string kValidTemplate =
    R"({"template":"t","service":[{"name":"s","pool":"p","keyed":true,"shards":8,"slots":1,
        "connections":1}]})";

/// Replaces `old_text` in the valid template and expects an error that names the field.
void expect_rejected(const std::string& old_text, const std::string& new_text,
                     const std::string& field) {
  std::string text = kValidTemplate;
  text.replace(text.find(old_text), old_text.size(), new_text);
  const auto parsed = parse_template(text);
  CAPTURE(text);
  REQUIRE_FALSE(parsed.has_value());
  CAPTURE(parsed.error().message);
  CHECK(parsed.error().message.find(field) != std::string::npos);
}

TEST_CASE("a template survives serialization and parsing") {
  const auto parsed = parse_template(kValidTemplate);
  REQUIRE(parsed.has_value());
  const auto reparsed = parse_template(to_json(*parsed));
  REQUIRE(reparsed.has_value());
  CHECK(reparsed->services == parsed->services);
}

TEST_CASE("errors of invalid templates name the field") {
  expect_rejected(R"("shards":8)", R"("shards":0)", "shards");
  expect_rejected(R"("shards":8)", R"("shards":-8)", "shards");
  expect_rejected(R"("shards":8)", R"("shards":99999999)", "shards");
  expect_rejected(R"("slots":1)", R"("slots":1,"slotz":1)", "slotz");
  expect_rejected(R"("slots":1)", R"("slots":"many")", "slots");
  expect_rejected(R"("name":"s")", R"("name":"Not a name!")", "name");
  expect_rejected(R"("name":"s",)", "", "name");
}

TEST_CASE("a tenant may use only the services of its template") {
  const auto declaration = parse_template(kValidTemplate);
  REQUIRE(declaration.has_value());
  const auto valid = parse_tenant(R"({"tenant":"a","template":"t","targets":{"s":2}})");
  REQUIRE(valid.has_value());
  CHECK(expand(*declaration, *valid).has_value());
  const auto unknown = parse_tenant(R"({"tenant":"a","template":"t","targets":{"x":2}})");
  REQUIRE(unknown.has_value());
  CHECK_FALSE(expand(*declaration, *unknown).has_value());
}

TEST_CASE("names consist of at most 63 lower-case letters, digits and inner hyphens") {
  CHECK(is_valid_name("hala-a"));
  CHECK_FALSE(is_valid_name(""));
  CHECK_FALSE(is_valid_name("-a"));
  CHECK_FALSE(is_valid_name("a/b"));
  CHECK_FALSE(is_valid_name(std::string(64, 'a')));
}

}  // namespace
}  // namespace planktray::config
