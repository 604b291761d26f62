#include "transport/http_server.hpp"

#include <doctest/doctest.h>

#include "transport/event_loop.hpp"
#include "transport/http_client.hpp"

namespace planktray::transport {
namespace {

using std::chrono::milliseconds;

constexpr const char* kAddress = "127.0.0.1:19873";

TEST_CASE("an answer that is handed over is unfinished until it is written") {
  std::unique_ptr<HttpServer> server;
  std::size_t after_respond = 0;
  auto listening = HttpServer::listen(kAddress, 1024, [&](const ExchangePointer& exchange) {
    exchange->respond(200, "text/plain", std::string(100'000, 'x'));
    after_respond = server->unfinished();
  });
  REQUIRE(listening.has_value());
  server = std::move(*listening);
  CHECK(server->unfinished() == 0);
  EventLoop loop;
  HttpClient client(1);
  HttpRequest request;
  request.url = std::string("http://") + kAddress + "/";
  HttpResponse response;
  client.send(request, [&](const HttpResponse& got) {
    response = got;
    loop.after(milliseconds(20), [&loop] { loop.quit(); });
  });
  loop.run();
  CHECK(response.is_whole());
  CHECK(response.text().size() == 100'000);
  CHECK(after_respond == 1);
  CHECK(server->unfinished() == 0);
}

}  // namespace
}  // namespace planktray::transport
