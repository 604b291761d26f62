/// Answers of every framing, one after the other on a kept connection.
///
/// Guards against state of one exchange that outlives it: after a HEAD the next answer on the
/// connection came without its body.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "common/random.hpp"
#include "scripted_server.hpp"

namespace planktray::transport {
namespace {

/// One exchange: a request and the answer that the server gives.
struct Row {
  std::string method;
  unsigned status = 200;
  bool is_chunked = false;
  int interim_answers = 0;
  std::string body;

  bool is_bodyless() const { return method == "HEAD" || status == 204 || status == 304; }
  std::string answer() const {
    std::string text;
    for (int i = 0; i < interim_answers; ++i) {
      text +=
          i % 2 == 0 ? "HTTP/1.1 100 Continue\r\n\r\n" : "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n";
    }
    text += "HTTP/1.1 " + std::to_string(status) + " Text\r\n";
    if (is_chunked && !is_bodyless()) {
      return text + "Transfer-Encoding: chunked\r\n\r\n3\r\n" + body.substr(0, 3) + "\r\n" +
             to_hex(body.size() - 3) + "\r\n" + body.substr(3) + "\r\n0\r\nTrailer: x\r\n\r\n";
    }
    // The length of what a GET would get stands in answers without a body, too.
    text += status == 204 ? "\r\n" : "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return is_bodyless() ? text : text + body;
  }

 private:
  static std::string to_hex(std::size_t value) {
    char* text = g_strdup_printf("%zx", value);
    std::string hex = text;
    g_free(text);
    return hex;
  }
};

Row random_row(common::RandomEngine& random) {
  const std::vector<std::string> methods = {"GET", "HEAD", "DELETE", "OPTIONS", "GET", "HEAD"};
  const std::vector<unsigned> statuses = {200, 201, 204, 304, 404, 500};
  Row row;
  row.method = methods[common::uniform(random, 0, methods.size() - 1)];
  row.status = statuses[common::uniform(random, 0, statuses.size() - 1)];
  row.is_chunked = common::chance(random, 0.5);
  row.interim_answers = static_cast<int>(common::uniform(random, 0, 2));
  row.body = std::string(4 + common::uniform(random, 0, 5000), 'a');
  return row;
}

TEST_CASE("answers of every framing arrive whole one after the other on a kept connection") {
  common::RandomEngine random(1);
  Row row;
  ScriptedServer server(
      [&row](const std::string& /*head*/, const Write& write) { write(row.answer()); });
  HttpClient client(HttpClientOptions{});
  constexpr int kExchanges = 600;
  for (int i = 0; i < kExchanges; ++i) {
    row = random_row(random);
    CAPTURE(i);
    CAPTURE(row.method);
    CAPTURE(row.status);
    CAPTURE(row.is_chunked);
    const HttpResponse response = exchange(client, request_for(server, row.method));
    REQUIRE(response.status == row.status);
    REQUIRE(response.body == (row.is_bodyless() ? std::string() : row.body));
  }
  CHECK(client.connections_opened() == 1);
}

TEST_CASE("the answer after one to a HEAD request has its body") {
  Row row{"HEAD", 200, false, 0, "whole body"};
  ScriptedServer server(
      [&row](const std::string& /*head*/, const Write& write) { write(row.answer()); });
  HttpClient client(HttpClientOptions{});
  CHECK(exchange(client, request_for(server, "HEAD")).body.empty());
  row.method = std::string("GET");
  CHECK(exchange(client, request_for(server, "GET")).body == row.body);
  CHECK(client.connections_opened() == 1);
}

// Guards against a status that is none (RFC 9110, 15): 600 and 999 were passed on as answers, and
// after 000 to 099, taken for interim ones, an answer was waited for until the deadline.
TEST_CASE("an answer whose status is none is given up at once") {
  std::string status;
  ScriptedServer server([&status](const std::string& /*head*/, const Write& write) {
    write("HTTP/1.1 " + status + " Text\r\nContent-Length: 0\r\n\r\n");
  });
  HttpClient client(HttpClientOptions{});
  for (const char* none : {"000", "001", "042", "099", "600", "999"}) {
    status = none;
    CAPTURE(status);
    const HttpResponse response = exchange(client, request_for(server, "GET"));
    CHECK_FALSE(response.is_whole());
    CHECK(response.error.code == common::ErrorCode::kCorrupt);
  }
  for (const char* known : {"200", "299", "500", "599"}) {
    status = known;
    CAPTURE(status);
    CHECK(std::to_string(exchange(client, request_for(server, "GET")).status) == status);
  }
}

/// Guards against a request that offers an upgrade and is refused since its body comes later.
TEST_CASE("a request that offers an upgrade is read with its body") {
  HttpReader reader(HttpRole::kRequest, HttpLimits());
  reader.feed(
      "POST / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: x\r\nContent-Length: "
      "5\r\n\r\n");
  CHECK_FALSE(reader.has_failed());
  reader.feed("hello");
  REQUIRE(reader.is_whole());
  CHECK(reader.message().body == "hello");
}

}  // namespace
}  // namespace planktray::transport
