/// Property tests of the decoders of external input: each input yields a value or a typed error,
/// never a crash, and encoded messages decode to the same message.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "config/declaration.hpp"
#include "ownership/cell_state.hpp"
#include "ownership/commands.hpp"
#include "transport/json_messages.hpp"
#include "transport/zmq_socket.hpp"

namespace planktray::transport {
namespace {

/// Returns valid bytes with one byte replaced, truncated at a generated position, or extended.
std::string damaged(std::string bytes) {
  const auto place = *rc::gen::inRange<std::size_t>(0, bytes.size());
  switch (*rc::gen::inRange(0, 3)) {
    case 0:
      bytes[place] = *rc::gen::arbitrary<char>();
      return bytes;
    case 1:
      return bytes.substr(0, place);
    default:
      return bytes + *rc::gen::arbitrary<std::string>();
  }
}

WireMessage generated_message() {
  routing::RouterHello hello;
  hello.cell = common::CellName(*rc::gen::arbitrary<std::string>());
  hello.router = common::RouterName(*rc::gen::arbitrary<std::string>());
  hello.clock_us = *rc::gen::arbitrary<std::int64_t>();
  hello.loads = {{common::ServiceId(1), common::ShardNumber(2), 3}};
  return hello;
}

TEST_CASE("an encoded message decodes to the same message") {
  rc::check([] {
    const WireMessage message = generated_message();
    const auto decoded = decode_wire(kProtocolVersion, encode_wire(message), "peer");
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(encode_wire(*decoded) == encode_wire(message));
  });
}

TEST_CASE("another protocol version is rejected with step and peer") {
  const auto decoded = decode_wire("planktray/0", encode_wire(routing::RouterHello()), "peer-1");
  REQUIRE_FALSE(decoded.has_value());
  CHECK(decoded.error().peer == "peer-1");
  CHECK_FALSE(decoded.error().step.empty());
}

TEST_CASE("damaged frames, commands and snapshots never crash a decoder") {
  const std::string message = encode_wire(routing::RouterHello());
  const std::string command =
      common::encode(ownership::Command(ownership::DrainMachine{common::MachineName("m"), true}));
  const std::string snapshot = ownership::CellState().encode_snapshot();
  rc::check([&] {
    (void)decode_wire(kProtocolVersion, damaged(message), "peer");
    (void)common::decode<ownership::Command>(damaged(command), "read command", "peer");
    (void)ownership::CellState::decode_snapshot(damaged(snapshot));
    (void)decode_wire(kProtocolVersion, *rc::gen::arbitrary<std::string>(), "peer");
  });
}

TEST_CASE("a declared array length allocates no memory") {
  // Header of an array of 2^32 - 1 elements; a decoder that trusts it allocates 137 GB.
  const std::string claim("\xdd\xff\xff\xff\xff", 5);
  const auto decoded = decode_wire(kProtocolVersion, claim, "peer-1");
  REQUIRE_FALSE(decoded.has_value());
  CHECK(decoded.error().peer == "peer-1");
  CHECK(decoded.error().message.find("bad_alloc") == std::string::npos);
}

TEST_CASE("damaged JSON is rejected with step and peer") {
  const std::string lease = to_json(ownership::LeaseRequest());
  const std::string reply = to_json(ownership::LeaseReply());
  rc::check([&] {
    for (const auto& parsed : {parse_lease_request(damaged(lease), "peer-1")}) {
      RC_ASSERT(parsed.has_value() || parsed.error().peer == "peer-1");
    }
    (void)parse_lease_reply(200, damaged(reply), "peer-1");
    (void)parse_release_request(*rc::gen::arbitrary<std::string>(), "peer-1");
    (void)parse_release_reply(200, *rc::gen::arbitrary<std::string>(), "peer-1");
    (void)parse_machine_list(*rc::gen::arbitrary<std::string>(), "peer-1");
    (void)config::parse_template(*rc::gen::arbitrary<std::string>());
    (void)config::parse_tenant(*rc::gen::arbitrary<std::string>());
  });
}

TEST_CASE("a lease request with an invalid range of shards is rejected") {
  ownership::LeaseRequest request;
  request.has_grants = true;
  request.grants = {{{common::TenantName("t"), common::ServiceName("s")},
                     common::ShardNumber(0),
                     common::ShardNumber(4'000'000'000U),
                     common::Epoch(1)}};
  CHECK_FALSE(parse_lease_request(to_json(request), "peer").has_value());
  request.grants[0].first = common::ShardNumber(9);
  request.grants[0].last = common::ShardNumber(3);
  CHECK_FALSE(parse_lease_request(to_json(request), "peer").has_value());
}

}  // namespace
}  // namespace planktray::transport
