#include "routing/shared_list.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace planktray::routing {
namespace {

using Names = SharedList<std::string>;

Names many_names() {
  std::vector<std::string> names;
  names.reserve(1000);
  for (int i = 0; i < 1000; ++i) {
    names.push_back("back-end-" + std::to_string(i));
  }
  return Names(std::move(names));
}

TEST_CASE("a large list is compressed only for receivers that can read it") {
  Names list = many_names();
  const std::string plain = common::encode(list);
  list.set_compressible(true);
  const std::string compressed = common::encode(list);
  CHECK(compressed.size() < plain.size() / 2);
  list.set_compressible(false);
  CHECK(common::encode(list) == plain);
  for (const std::string& bytes : {plain, compressed}) {
    const auto read = common::decode<Names>(bytes, "read", "test");
    REQUIRE(read.has_value());
    REQUIRE(read->size() == 1000);
    CHECK((*read)[999] == "back-end-999");
  }
}

TEST_CASE("a small list is never compressed") {
  Names list = {"one", "two"};
  const std::string plain = common::encode(list);
  list.set_compressible(true);
  CHECK(common::encode(list) == plain);
}

TEST_CASE("damaged or oversized compressed lists are errors") {
  Names list = many_names();
  list.set_compressible(true);
  std::string damaged = common::encode(list);
  damaged[damaged.size() / 2] = static_cast<char>(damaged[damaged.size() / 2] ^ 0x55);
  CHECK_FALSE(common::decode<Names>(damaged, "read", "test").has_value());
  const std::string bytes = common::compress(std::string(1000, 'x'));
  CHECK(common::decompress(bytes, 1000) == std::string(1000, 'x'));
  CHECK_FALSE(common::decompress(bytes, 999).has_value());
  CHECK_FALSE(common::decompress("0000", 1000).has_value());
  CHECK_FALSE(common::decompress("zzzzzzzz", 1000).has_value());
  CHECK(common::decompress(common::compress(""), 0) == "");
}

}  // namespace
}  // namespace planktray::routing
