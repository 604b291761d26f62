/// Headers of requests that one router relays to another.

#include "router/relay_codec.hpp"

#include <doctest/doctest.h>

namespace planktray::router {
namespace {

using routing::RelayRefusal;

const common::CellName kCell("cell");

transport::HttpRequest relayed(bool repeatable = true) {
  transport::HttpRequest request;
  request.headers = {{"X-Other", "kept"}, {"planktray-relay-backend", "999"}};
  request.answer_header = "X-Id";
  request.settle_time = std::chrono::milliseconds(3);
  Forward forward;
  forward.attempt = 42;
  forward.backend = common::BackendId(7);
  forward.peer = "127.0.0.1:1";
  forward.repeatable = repeatable;
  forward.table_index = common::LogIndex(5);
  encode_relay(kCell, forward, request);
  return request;
}

transport::HttpResponse response_with(transport::HeaderList headers) {
  transport::HttpResponse response;
  response.status = 200;
  response.headers = std::move(headers);
  return response;
}

TEST_CASE("a relayed request names its back end and what a caller forged is removed") {
  for (const bool repeatable : {true, false}) {
    const transport::HttpRequest request = relayed(repeatable);
    CHECK(request.address == "127.0.0.1:1");
    CHECK(transport::find_header(request.headers, "X-Other") == "kept");
    const auto read = decode_relay(kCell, request.headers);
    REQUIRE(read.has_value());
    CHECK(read->attempt == "42");
    CHECK(read->call.backend == common::BackendId(7));
    CHECK(read->call.table_index == common::LogIndex(5));
    CHECK(read->call.repeatable == repeatable);
    CHECK(request.answer_value == "42");
  }
}

TEST_CASE("what is no relayed request of this cell is refused") {
  const transport::HeaderList proper = relayed().headers;
  CHECK_FALSE(decode_relay(common::CellName("other"), proper).has_value());
  CHECK_FALSE(decode_relay(kCell, {}).has_value());
  for (const char* name :
       {"Planktray-Relay-Attempt", "Planktray-Relay-Backend", "Planktray-Relay-Table"}) {
    for (const std::string value : {"", "x", "-1", "1x", "99999999999999999999999"}) {
      transport::HeaderList damaged = proper;
      for (auto& header : damaged) {
        header.second = header.first == name ? value : header.second;
      }
      const bool is_free_text = std::string(name) == "Planktray-Relay-Attempt";
      const bool is_accepted = is_free_text && !value.empty() && value.size() < 20;
      CHECK(decode_relay(kCell, damaged).has_value() == is_accepted);
    }
  }
}

TEST_CASE("each statement of a peer is read as it was written") {
  RelayStatement answer;
  answer.is_answer = true;
  answer.load = 12;
  auto read = decode_statement(response_with(encode_statement("42", answer)));
  REQUIRE(read.has_value());
  CHECK(read->is_answer);
  CHECK(read->load == 12U);
  for (const RelayRefusal refusal :
       {RelayRefusal::kUnreachable, RelayRefusal::kNoPath, RelayRefusal::kClosed,
        RelayRefusal::kBackoff, RelayRefusal::kTableTooOld, RelayRefusal::kBusy,
        RelayRefusal::kDraining}) {
    RelayStatement statement;
    statement.refusal = refusal;
    read = decode_statement(response_with(encode_statement("42", statement)));
    REQUIRE(read.has_value());
    CHECK(read->refusal == refusal);
    CHECK_FALSE(read->is_answer);
  }
  RelayStatement ended;
  ended.connection_ended = true;
  for (const RelayStatement& unknown : {RelayStatement(), ended}) {
    read = decode_statement(response_with(encode_statement("42", unknown)));
    REQUIRE(read.has_value());
    CHECK(read->refusal == RelayRefusal::kNone);
    CHECK_FALSE(read->is_answer);
    CHECK(read->connection_ended == unknown.connection_ended);
  }
}

// Guards against an answer of something else at a router's address that counts as "not run".
TEST_CASE("an answer without a known statement proves nothing") {
  CHECK_FALSE(decode_statement(response_with({})).has_value());
  for (const char* value : {"", "none", "ANSWERED", "refused"}) {
    CHECK_FALSE(decode_statement(response_with({{"Planktray-Relay-Result", value}})).has_value());
  }
}

TEST_CASE("no header of the relay goes further") {
  transport::HeaderList headers = relayed().headers;
  strip_relay_headers(headers);
  CHECK(headers == transport::HeaderList{{"X-Other", "kept"}});
}

}  // namespace
}  // namespace planktray::router
