/// Crowds of clients that do not behave, against the real programs. Each test states the limits of
/// the machines; the crowd sends or holds more than they allow. After it, while its connections are
/// still open, each process lives, has stayed within the memory and the descriptors of its machine,
/// and answers one ordinary request.

#include "crowd/crowd.hpp"

#include <doctest/doctest.h>

#include <string>

#include "crowd/crowd_fleet.hpp"
#include "platform/names.hpp"

namespace planktray::crowd {
namespace {

constexpr std::size_t kMebibyte = std::size_t{1} << 20U;
constexpr std::size_t kChunk = 64 * 1024;
constexpr std::size_t kBody = 4 * kMebibyte;
/// Sixteen bodies take 64 MiB; the machine of the router has 40.
constexpr std::size_t kClients = 16;

const std::string kHost = soak::Operator::kHost;
const std::string kSafe = std::string(soak::Operator::kSafePath) + "crowd";
const std::string kNoRoute = "/nowhere/crowd";

/// All but the last chunk of a chunked body.
Script unfinished_chunks(const std::string& path, std::size_t chunk) {
  return {chunked_head("POST", kHost, path), chunk_of(chunk), kBody / chunk};
}

/// All but the last byte of a body with a length.
Script unfinished_length(const std::string& path) {
  return {head_with_length("POST", kHost, path, kBody + 1), std::string(kChunk, 'x'),
          kBody / kChunk};
}

void check_router(CrowdFleet& fleet) {
  CHECK(fleet.serves(fleet.ordinary_request()));
  CHECK(fleet.all_alive());
  CHECK(fleet.router().memory_bytes <= fleet.options().memory_mb * kMebibyte);
  CHECK(fleet.router().descriptors < fleet.options().descriptors);
}

void check_controller(CrowdFleet& fleet) {
  CHECK(fleet.controller_answers());
  CHECK(fleet.all_alive());
  CHECK(fleet.controller().memory_bytes <= fleet.options().controller_memory_mb * kMebibyte);
  CHECK(fleet.controller().descriptors < fleet.options().descriptors);
}

void run_crowd(CrowdFleet& fleet, Crowd& crowd, const std::string& address, std::size_t clients,
               const Script& script) {
  crowd.add(address, clients, script);
  CHECK(fleet.run_until([&crowd] { return crowd.has_sent(); }));
  // What the kernel has taken from the crowd still has to be read.
  fleet.run_for(std::chrono::seconds(2));
}

CrowdFleetOptions options_with_seed(std::uint64_t seed) {
  CrowdFleetOptions options;
  options.seed = seed;
  return options;
}

// Guards against bodies that are held without a sum over all connections: the router ran out of
// memory.
TEST_CASE("crowd: unfinished chunked bodies") {
  CrowdFleet fleet(options_with_seed(101));
  REQUIRE(fleet.start());
  Crowd crowd;
  run_crowd(fleet, crowd, fleet.front_address(), kClients, unfinished_chunks(kSafe, kChunk));
  check_router(fleet);
}

TEST_CASE("crowd: unfinished bodies in very small chunks") {
  constexpr std::size_t kSmallChunk = 16;
  CrowdFleet fleet(options_with_seed(102));
  REQUIRE(fleet.start());
  Crowd crowd;
  Script script = unfinished_chunks(kSafe, kSmallChunk);
  constexpr std::size_t kPerPiece = 4096;
  std::string piece;
  for (std::size_t i = 0; i < kPerPiece; ++i) {
    piece += script.piece;
  }
  script.piece = piece;
  script.pieces /= kPerPiece;
  run_crowd(fleet, crowd, fleet.front_address(), kClients, script);
  check_router(fleet);
}

TEST_CASE("crowd: unfinished bodies with a length") {
  CrowdFleet fleet(options_with_seed(103));
  REQUIRE(fleet.start());
  Crowd crowd;
  run_crowd(fleet, crowd, fleet.front_address(), kClients, unfinished_length(kSafe));
  check_router(fleet);
}

// Guards against holding a body whose request is refused by its head in any case.
TEST_CASE("crowd: unfinished bodies on a path without a route") {
  CrowdFleet fleet(options_with_seed(104));
  REQUIRE(fleet.start());
  Crowd crowd;
  run_crowd(fleet, crowd, fleet.front_address(), kClients, unfinished_chunks(kNoRoute, kChunk));
  check_router(fleet);
}

// Guards against several copies of the bodies of requests that wait for a slow target.
TEST_CASE("crowd: whole bodies for targets that do not answer") {
  CrowdFleetOptions options = options_with_seed(105);
  options.limits.route_timeout = "20000ms";
  options.targets.body_of = [](const std::string& path) {
    return path == kSafe ? std::nullopt : std::optional<std::string>("ran");
  };
  CrowdFleet fleet(options);
  REQUIRE(fleet.start());
  Crowd crowd;
  Script script = unfinished_length(kSafe);
  script.head = head_with_length("POST", kHost, kSafe, kBody);
  run_crowd(fleet, crowd, fleet.front_address(), kClients, script);
  check_router(fleet);
}

// Guards against heads whose many small fields take far more memory than their bytes.
TEST_CASE("crowd: unfinished heads with very many fields") {
  constexpr std::size_t kFields = 15'000;
  constexpr std::size_t kManyClients = 60;
  CrowdFleet fleet(options_with_seed(106));
  REQUIRE(fleet.start());
  Crowd crowd;
  std::string fields;
  for (std::size_t i = 0; i < kFields; ++i) {
    fields += "a:\r\n";
  }
  const Script script{"GET " + kSafe + " HTTP/1.1\r\nHost: " + kHost + "\r\n", fields, 1};
  run_crowd(fleet, crowd, fleet.front_address(), kManyClients, script);
  check_router(fleet);
}

// Guards against answers that are kept for as long as a client does not read them.
TEST_CASE("crowd: large answers that are not read") {
  CrowdFleetOptions options = options_with_seed(107);
  options.targets.body_of = [](const std::string& path) {
    constexpr std::size_t kAnswer = 7 * kMebibyte;
    return std::optional<std::string>(path == kSafe ? std::string(kAnswer, 'x') : "ran");
  };
  CrowdFleet fleet(options);
  REQUIRE(fleet.start());
  Crowd crowd;
  Script script;
  script.head =
      "GET " + kSafe + " HTTP/1.1\r\nHost: " + kHost + "\r\nX-Planktray-Request-Id: crowd\r\n\r\n";
  script.reads = false;
  run_crowd(fleet, crowd, fleet.front_address(), kClients, script);
  check_router(fleet);
}

// Guards against idle connections that take every descriptor of the router.
TEST_CASE("crowd: connections to the front that send nothing") {
  constexpr std::size_t kConnections = 600;
  CrowdFleet fleet(options_with_seed(108));
  REQUIRE(fleet.start());
  Crowd crowd;
  run_crowd(fleet, crowd, fleet.front_address(), kConnections, {});
  check_router(fleet);
}

TEST_CASE("crowd: connections to the ready address that send nothing") {
  constexpr std::size_t kConnections = 600;
  CrowdFleet fleet(options_with_seed(109));
  REQUIRE(fleet.start());
  Crowd crowd;
  run_crowd(fleet, crowd, fleet.ready_address(), kConnections, {});
  check_router(fleet);
}

TEST_CASE("crowd: connections to the relay address that send nothing") {
  constexpr std::size_t kConnections = 600;
  CrowdFleet fleet(options_with_seed(110));
  REQUIRE(fleet.start());
  Crowd crowd;
  run_crowd(fleet, crowd, fleet.relay_address(), kConnections, {});
  check_router(fleet);
}

TEST_CASE("crowd: unfinished bodies at the relay address") {
  CrowdFleet fleet(options_with_seed(111));
  REQUIRE(fleet.start());
  Crowd crowd;
  run_crowd(fleet, crowd, fleet.relay_address(), kClients, unfinished_chunks(kSafe, kChunk));
  check_router(fleet);
}

/// Unfinished bodies that, held whole, take more than the memory of a controller.
Script unfinished_change(const std::string& path) {
  constexpr std::size_t kChangeBody = 3 * kMebibyte;
  return {chunked_head("POST", kHost, path), chunk_of(kChunk), kChangeBody / kChunk};
}
constexpr std::size_t kControlClients = 32;

TEST_CASE("crowd: unfinished configurations at the control address") {
  CrowdFleet fleet(options_with_seed(112));
  REQUIRE(fleet.start());
  Crowd crowd;
  run_crowd(fleet, crowd, fleet.control_address(), kControlClients,
            unfinished_change(platform::kPutPath));
  check_controller(fleet);
}

TEST_CASE("crowd: unfinished heartbeats at the control address") {
  CrowdFleet fleet(options_with_seed(113));
  REQUIRE(fleet.start());
  Crowd crowd;
  run_crowd(fleet, crowd, fleet.control_address(), kControlClients,
            unfinished_change(std::string(platform::kInstancesPrefix) + "x" +
                              platform::kHeartbeatSuffix));
  check_controller(fleet);
}

TEST_CASE("crowd: unfinished declarations at the operator address") {
  CrowdFleet fleet(options_with_seed(114));
  REQUIRE(fleet.start());
  Crowd crowd;
  run_crowd(fleet, crowd, fleet.operator_address(), kControlClients,
            unfinished_change("/planktray/v1/templates/x"));
  check_controller(fleet);
}

TEST_CASE("crowd: connections to the control address that send nothing") {
  constexpr std::size_t kConnections = 600;
  CrowdFleet fleet(options_with_seed(115));
  REQUIRE(fleet.start());
  Crowd crowd;
  run_crowd(fleet, crowd, fleet.control_address(), kConnections, {});
  check_controller(fleet);
}

/// What a peer of the internal protocol (ZMTP 3.0, mechanism NULL) sends first.
std::string peer_greeting() {
  using namespace std::string_literals;
  std::string greeting = "\xFF"s + std::string(8, '\0') + "\x7F\x03"s + "\0"s + "NULL"s;
  constexpr std::size_t kGreetingBytes = 64;
  greeting.resize(kGreetingBytes, '\0');
  const std::string ready =
      "\x05READY\x0BSocket-Type\0\0\0\x06"
      "DEALER"s;
  return greeting + "\x04"s + static_cast<char>(ready.size()) + ready;
}

/// The start of a frame of 8 MiB.
std::string large_frame() {
  using namespace std::string_literals;
  return "\x02\0\0\0\0\0\x80\0\0"s;
}

// Guards against frames of unknown peers that are held without a sum over all connections.
TEST_CASE("crowd: unfinished frames at the internal address of a controller") {
  CrowdFleet fleet(options_with_seed(118));
  REQUIRE(fleet.start());
  Crowd crowd;
  constexpr std::size_t kSent = 7 * kMebibyte;
  run_crowd(fleet, crowd, fleet.internal_address(), kClients,
            {peer_greeting() + large_frame(), std::string(kChunk, 'x'), kSent / kChunk});
  check_controller(fleet);
}

// Guards against unknown peers that keep others out by their number.
TEST_CASE("crowd: connections to the internal address of a controller that send nothing") {
  constexpr std::size_t kConnections = 600;
  CrowdFleet fleet(options_with_seed(119));
  REQUIRE(fleet.start());
  Crowd crowd;
  run_crowd(fleet, crowd, fleet.internal_address(), kConnections, {peer_greeting(), "", 0});
  check_controller(fleet);
}

/// The limit of the body in force, and the smallest machine of a router.
constexpr std::size_t kBodyLimit = 64 * kMebibyte;
constexpr std::size_t kSmallMachineMb = 120;

CrowdFleetOptions one_large_request(std::uint64_t seed) {
  CrowdFleetOptions options = options_with_seed(seed);
  options.memory_mb = kSmallMachineMb;
  options.limits.max_body_bytes = kBodyLimit;
  options.limits.route_timeout = "20000ms";
  options.targets.max_body_bytes = kBodyLimit;
  return options;
}

// Guards against a limit of the router's own below the one in force: such a request got 413.
TEST_CASE("crowd: one request as long as the limit allows is served") {
  CrowdFleet fleet(one_large_request(116));
  REQUIRE(fleet.start());
  transport::HttpRequest request = fleet.ordinary_request();
  request.method = "POST";
  request.headers[1].second = "20000";
  request.body = std::string(kBodyLimit, 'x');
  CHECK(fleet.serves(request));
  check_router(fleet);
}

TEST_CASE("crowd: one chunked request as long as the limit allows is served") {
  CrowdFleet fleet(one_large_request(117));
  REQUIRE(fleet.start());
  std::size_t answers = 0;
  const std::string head = chunked_head("POST", kHost, kSafe);
  auto stream = transport::TcpStream::connect(fleet.front_address(), common::Duration(0));
  REQUIRE(stream.has_value());
  std::string answer;
  transport::TcpStream::Handlers handlers;
  handlers.on_data = [&](std::string_view bytes) { answer.append(bytes); };
  handlers.on_end = [](transport::StreamEnd /*end*/) {};
  (*stream)->start(std::move(handlers));
  std::string bytes = head;
  for (std::size_t sent = 0; sent < kBodyLimit; sent += kChunk) {
    bytes += chunk_of(kChunk);
  }
  bytes += "0\r\n\r\n";
  (*stream)->write(bytes);
  fleet.run_until([&] { return answer.find("\r\n\r\n") != std::string::npos; });
  answers += answer.starts_with("HTTP/1.1 200") ? 1 : 0;
  CHECK(answers == 1);
  check_router(fleet);
}

}  // namespace
}  // namespace planktray::crowd
