/// Reachability checks over real sockets.

#include "transport/reach_check.hpp"

#include <doctest/doctest.h>

#include <optional>

#include "transport/event_loop.hpp"
#include "transport/http_server.hpp"

namespace planktray::transport {
namespace {

using std::chrono::milliseconds;

constexpr const char* kAddress = "127.0.0.1:19891";

Reach reach_of(const std::string& address) {
  EventLoop loop;
  ReachChecker checker(milliseconds(1), milliseconds(300));
  std::optional<Reach> reach;
  checker.check(address, [&](Reach found) {
    reach = found;
    loop.quit();
  });
  CHECK_FALSE(reach.has_value());  // check() never calls back directly
  loop.run();
  return reach.value();
}

TEST_CASE("an address with a listener is distinguished from one without") {
  CHECK(reach_of(kAddress) == Reach::kRefused);
  {
    const auto server =
        HttpServer::listen(kAddress, options_with_body_limit(0),
                           [](const ExchangePointer& exchange) { exchange->respond(200, {}, ""); });
    REQUIRE(server.has_value());
    CHECK(reach_of(kAddress) == Reach::kListens);
  }
  CHECK(reach_of(kAddress) == Reach::kRefused);
  CHECK(reach_of("nowhere") == Reach::kUnknown);
}

TEST_CASE("a destroyed checker does not call back") {
  EventLoop loop;
  bool called = false;
  {
    ReachChecker checker(milliseconds(1), milliseconds(300));
    checker.check(kAddress, [&](Reach) { called = true; });
  }
  Alarm stop([&] { loop.quit(); });
  stop.set(boot_time_now() + milliseconds(30));
  loop.run();
  CHECK_FALSE(called);
}

}  // namespace
}  // namespace planktray::transport
