#include "config/declaration.hpp"

#include <doctest/doctest.h>

namespace planktray::config {
namespace {

const std::string kGood =
    R"({"template":"t","service":[{"name":"s","pool":"p","keyed":true,"shards":8,"slots":1,
        "connections":1}]})";

/// Parses with one piece of text exchanged and expects an error that names the field.
void expect_refused(const std::string& old_text, const std::string& new_text,
                    const std::string& field) {
  std::string text = kGood;
  text.replace(text.find(old_text), old_text.size(), new_text);
  const auto parsed = parse_template(text);
  CAPTURE(text);
  REQUIRE_FALSE(parsed.has_value());
  CAPTURE(parsed.error().message);
  CHECK(parsed.error().message.find(field) != std::string::npos);
}

TEST_CASE("a template is read and written back") {
  const auto parsed = parse_template(kGood);
  REQUIRE(parsed.has_value());
  const auto again = parse_template(to_json(*parsed));
  REQUIRE(again.has_value());
  CHECK(again->services == parsed->services);
}

TEST_CASE("bad templates name the field") {
  expect_refused(R"("shards":8)", R"("shards":0)", "shards");
  expect_refused(R"("shards":8)", R"("shards":-8)", "shards");
  expect_refused(R"("shards":8)", R"("shards":99999999)", "shards");
  expect_refused(R"("slots":1)", R"("slots":1,"slotz":1)", "slotz");
  expect_refused(R"("slots":1)", R"("slots":"many")", "slots");
  expect_refused(R"("name":"s")", R"("name":"Not a name!")", "name");
  expect_refused(R"("name":"s",)", "", "name");
}

TEST_CASE("a tenant has to fit its template") {
  const auto declaration = parse_template(kGood);
  REQUIRE(declaration.has_value());
  const auto fits = parse_tenant(R"({"tenant":"a","template":"t","targets":{"s":2}})");
  REQUIRE(fits.has_value());
  CHECK(expand(*declaration, *fits).has_value());
  const auto unknown = parse_tenant(R"({"tenant":"a","template":"t","targets":{"x":2}})");
  REQUIRE(unknown.has_value());
  CHECK_FALSE(expand(*declaration, *unknown).has_value());
}

TEST_CASE("names") {
  CHECK(is_valid_name("hala-a"));
  CHECK_FALSE(is_valid_name(""));
  CHECK_FALSE(is_valid_name("-a"));
  CHECK_FALSE(is_valid_name("a/b"));
  CHECK_FALSE(is_valid_name(std::string(64, 'a')));
}

}  // namespace
}  // namespace planktray::config
