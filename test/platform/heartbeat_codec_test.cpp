#include "platform/heartbeat_codec.hpp"

#include <doctest/doctest.h>

namespace planktray::platform {
namespace {

using ownership::KeyRange;

std::string heartbeat_with(const std::string& fields) {
  return R"({"address":"10.0.0.1:80",)" + fields +
         R"("information":{"service":"s","zone":"z","slots":3},)"
         R"("status":{"state":"ready","sequence":4,"cold_remaining":"1500ms"}})";
}

TEST_CASE("a heartbeat without rows reports no holdings") {
  const auto heartbeat = parse_heartbeat("life", heartbeat_with(""));
  REQUIRE(heartbeat.has_value());
  CHECK_FALSE(heartbeat->holdings.has_value());
  CHECK(heartbeat->sequence == 4);
  CHECK(heartbeat->cold_ms == 1500);
}

TEST_CASE("a heartbeat reports held and released keys, also if the lists are empty") {
  const auto empty = parse_heartbeat("life", heartbeat_with(R"("holds":[],"released":[],)"));
  REQUIRE(empty.has_value());
  REQUIRE(empty->holdings.has_value());
  CHECK(empty->holdings->held.empty());
  const auto full = parse_heartbeat(
      "life", heartbeat_with(R"("holds":[[0,4095,7]],"released":[[4096,8191,"5c0e"]],)"));
  REQUIRE(full.has_value());
  REQUIRE(full->holdings.has_value());
  REQUIRE(full->holdings->held.size() == 1);
  CHECK(full->holdings->held[0].keys == KeyRange{0, 4095});
  CHECK(full->holdings->held[0].fence.value == 7);
  REQUIRE(full->holdings->released.size() == 1);
  CHECK(full->holdings->released[0].keys == KeyRange{4096, 8191});
  CHECK(full->holdings->released[0].handover == "5c0e");
}

TEST_CASE("a heartbeat with an invalid cold time is accepted and marked") {
  const auto with = [](const std::string& cold) {
    return parse_heartbeat("life",
                           R"({"address":"a:1","information":{"service":"s","zone":"z","slots":3},)"
                           R"("status":{"state":"ready","sequence":4)" +
                               cold + "}}");
  };
  for (const char* cold :
       {R"(,"cold_remaining":"soon")", R"(,"cold_remaining":3)", R"(,"cold_remaining":null)"}) {
    CAPTURE(cold);
    const auto heartbeat = with(cold);
    REQUIRE(heartbeat.has_value());
    CHECK(heartbeat->cold_is_unreadable);
    CHECK(heartbeat->cold_ms == 0);
  }
  CHECK_FALSE(with("")->cold_is_unreadable);
  CHECK_FALSE(with(R"(,"cold_remaining":"0ms")")->cold_is_unreadable);
  CHECK(with(R"(,"cold_remaining":"0.4ms")")->cold_ms == 1);  // not warm yet
}

TEST_CASE("invalid rows make the whole heartbeat invalid") {
  for (const char* rows :
       {R"("holds":7,)", R"("holds":[7],)", R"("holds":[[0,1]],)", R"("holds":[[5,4,7]],)",
        R"("holds":[[0,65536,7]],)", R"("holds":[[-1,5,7]],)", R"("holds":[[0,5,"x"]],)",
        R"("released":[[0,5,7]],)", R"("released":{},)", R"("holds":[["0",5,7]],)"}) {
    CAPTURE(rows);
    const auto heartbeat = parse_heartbeat("life", heartbeat_with(rows));
    REQUIRE_FALSE(heartbeat.has_value());
    CHECK(heartbeat.error().code == common::ErrorCode::kInvalid);
    CHECK(heartbeat.error().peer == "life");
  }
}

TEST_CASE("an answer lists all keys that the back end is to hold, or has no list") {
  CHECK(heartbeat_answer("10.0.0.9:80", nullptr) == R"({"heartbeat_address":"10.0.0.9:80"})");
  ownership::GrantedHoldings holdings;
  holdings.hold_time = std::chrono::milliseconds(2610);
  CHECK(heartbeat_answer("a", &holdings) ==
        R"({"heartbeat_address":"a","hold_time":"2610ms","holds":[]})");
  holdings.ranges.push_back({{0, 4095}, common::Epoch(7), "5c0e"});
  CHECK(heartbeat_answer("a", &holdings) ==
        R"({"heartbeat_address":"a","hold_time":"2610ms","holds":[[0,4095,7,"5c0e"]]})");
}

}  // namespace
}  // namespace planktray::platform
