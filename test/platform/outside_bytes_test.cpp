/// Bytes from outside: whatever callers, back ends and operators send, each reader returns a value
/// or an error, and each answer that quotes what was sent can be encoded.

#include <doctest/doctest.h>

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "common/json_text.hpp"
#include "config/declaration.hpp"
#include "platform/answer_headers.hpp"
#include "platform/configuration_codec.hpp"
#include "platform/duration_text.hpp"
#include "platform/heartbeat_codec.hpp"
#include "platform/request_dialect.hpp"
#include "router/relay_codec.hpp"
#include "transport/http_message.hpp"
#include "transport/json_messages.hpp"

namespace planktray::platform {
namespace {

constexpr std::uint64_t kSeeds = 4000;

const std::string kHeartbeat =
    R"({"address":"10.0.0.1:80","information":{"service":"s","version":"v1","zone":"z","slots":3},)"
    R"("status":{"state":"ready","sequence":4,"cold_remaining":"0ms"},"holds":[[0,9,3]],)"
    R"("released":[[10,19,"h"]]})";
const std::string kConfiguration =
    R"({"version":7,"base_version":5,"resources":[{"resource_kind":"routes","metadata":)"
    R"({"name":"r"},"specification":{"host":"h.example","path_prefix":"/a/","kind":"safe",)"
    R"("timeout":"800ms","objective_latency":"300ms","priority":2,"traffic_split":)"
    R"([{"service":"s","weight":90}],"max_attempts":2}},{"resource_kind":"services","metadata":)"
    R"({"name":"s"},"specification":{"health_check_path":"/health","max_connections":130,)"
    R"("protocol":"h1","tls":false,"sharded":true,"warmup":"3s"}},{"resource_kind":"limits",)"
    R"("metadata":{},"specification":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
    R"("header_timeout":"3000ms","idle_timeout":"15000ms"}}]})";
const std::string kPatch =
    R"({"version":9,"base_version":7,"upsert":{"resources":[]},"remove":{"routes":["r-old"]}})";
const std::string kRequest =
    "POST /a/b HTTP/1.1\r\nHost: h\r\nX-Planktray-Request-Id: 1\r\nX-Planktray-Shard-Key: 7\r\n"
    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
const std::string kResponse =
    "HTTP/1.1 200 OK\r\nX-Planktray-Server-Load: 3,1,8\r\nRetry-After: 0.5\r\nContent-Length: "
    "2\r\n\r\nok";

/// Damages valid bytes in one to four places.
class Damage {
 public:
  explicit Damage(std::uint64_t seed) : random_(seed) {}

  std::string apply(std::string bytes) {
    for (std::size_t i = below(4) + 1; i > 0; --i) {
      damage_once(bytes);
    }
    return bytes;
  }

 private:
  std::size_t below(std::size_t limit) {
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random_);
  }
  void damage_once(std::string& bytes) {
    static const std::vector<std::string> kInserted = {"\xe9",
                                                       "\xff\xfe",
                                                       "\xed\xa0\x80",
                                                       std::string(1, '\0'),
                                                       "-1",
                                                       "1e300",
                                                       "1.5",
                                                       "null",
                                                       "[]",
                                                       "{}",
                                                       "18446744073709551616",
                                                       "true",
                                                       "\"",
                                                       "\\ud800",
                                                       "\r\n",
                                                       "[[[[[[[[",
                                                       "99999999999999999999999999s",
                                                       "%zz",
                                                       "\x1b",
                                                       ""};
    const std::size_t place = below(bytes.size() + 1);
    switch (below(4)) {
      case 0:
        bytes.insert(place, kInserted[below(kInserted.size())]);
        break;
      case 1:
        bytes.resize(place);
        break;
      case 2:
        bytes.replace(place, below(8), kInserted[below(kInserted.size())]);
        break;
      default:
        if (place < bytes.size()) {
          bytes[place] = static_cast<char>(below(256));
        }
        break;
    }
  }

  std::mt19937_64 random_;
};

/// Encodes the error as answers do, and checks that a reader of JSON accepts the text.
void check_encodable(const common::Error& error) {
  const std::string text =
      common::json_text({{"error", error.message}, {"step", error.step}, {"peer", error.peer}});
  CHECK_FALSE(nlohmann::json::parse(text, nullptr, false).is_discarded());
}

void feed(transport::HttpRole role, std::string_view bytes) {
  transport::HttpReader reader(role, {4096, 4096});
  while (!bytes.empty() && !reader.has_failed()) {
    const std::size_t taken = reader.feed(bytes);
    if (reader.is_whole()) {
      (void)reader.take();
    } else if (taken == 0) {
      return;
    }
    bytes.remove_prefix(taken);
  }
  reader.finish();
}

// Guards against a byte of a heartbeat that is no UTF-8 and ends each controller that reads it.
TEST_CASE("damaged heartbeats and configurations are read or refused with an encodable error") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Damage damage(seed);
    const auto heartbeat = parse_heartbeat(damage.apply("i-1"), damage.apply(kHeartbeat));
    if (!heartbeat.has_value()) {
      check_encodable(heartbeat.error());
    }
    const auto configuration = parse_configuration(damage.apply(kConfiguration));
    if (!configuration.has_value()) {
      check_encodable(configuration.error());
    }
    const auto patch = parse_patch(damage.apply(kPatch));
    if (!patch.has_value()) {
      check_encodable(patch.error());
    }
    (void)parse_duration(damage.apply("1500ms"));
  }
}

TEST_CASE("damaged requests and answers end no reader") {
  const PlatformDialect dialect;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Damage damage(seed);
    feed(transport::HttpRole::kRequest, damage.apply(kRequest));
    feed(transport::HttpRole::kResponse, damage.apply(kResponse));
    transport::HttpResponse response;
    response.status = 503;
    for (const char* name : {"X-Planktray-Server-Load", "Retry-After", "X-Planktray-Instance-Id",
                             "X-Planktray-Not-Executed", "Server-Leaving", "Keep-Alive"}) {
      response.headers.emplace_back(name, damage.apply("3,1,8"));
    }
    (void)dialect.classify({}, common::Incarnation("i-1"), response);
    (void)router::decode_relay(common::CellName("c"), response.headers);
    (void)router::decode_statement(response);
  }
}

// Guards against numbers of the wrong kind that are converted to other numbers.
TEST_CASE("a number that does not fit its field is refused") {
  const auto with = [](const std::string& field, const std::string& value) {
    std::string text = kHeartbeat;
    const auto place = text.find("\"" + field + "\":") + field.size() + 3;
    return text.replace(place, text.find_first_of(",}]", place) - place, value);
  };
  REQUIRE(parse_heartbeat("i-1", kHeartbeat).has_value());
  for (const char* value : {"-1", "1.5", "1e300", "4294967296", "true", "\"3\"", "null"}) {
    CAPTURE(value);
    CHECK_FALSE(parse_heartbeat("i-1", with("slots", value)).has_value());
  }
  for (const char* value : {"-1", "1.5", "1e300", "18446744073709551616", "true"}) {
    CAPTURE(value);
    CHECK_FALSE(parse_heartbeat("i-1", with("sequence", value)).has_value());
    std::string keys = kHeartbeat;
    keys.replace(keys.find("[[0,9,3]]"), 9, std::string("[[0,") + value + ",3]]");
    CHECK_FALSE(parse_heartbeat("i-1", keys).has_value());
  }
  std::string endless = kConfiguration;
  endless.replace(endless.find("800ms"), 5, "5000000s");
  CHECK_FALSE(parse_configuration(endless).has_value());
  CHECK_FALSE(parse_patch(R"({"version":9,"base_version":7,"remove":["r"]})").has_value());
}

// Guards against names that are no UTF-8 and end the process or connection that encodes them.
TEST_CASE("messages about names from outside can be encoded") {
  const std::string name = "caf\xe9";
  ownership::LeaseRequest lease;
  lease.incarnation.value = name;
  ownership::ReleaseRequest release;
  release.incarnation.value = name;
  membership::MachineList list;
  membership::Machine machine;
  machine.name.value = name;
  machine.zone.value = name;
  list.add(machine);
  for (const std::string& text :
       {transport::to_json(lease), transport::to_json(release), transport::to_json(list)}) {
    CHECK_FALSE(nlohmann::json::parse(text, nullptr, false).is_discarded());
  }
  ownership::GrantedHoldings holdings;
  holdings.ranges.push_back({{0, 9}, common::Epoch(3), name});
  CHECK_FALSE(
      nlohmann::json::parse(heartbeat_answer(name, &holdings), nullptr, false).is_discarded());
}

}  // namespace
}  // namespace planktray::platform
