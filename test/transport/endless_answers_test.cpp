/// Guards against an answer that never comes and is read until the request's deadline: bytes that
/// are no answer may come without end, in a head or a body, until the caller closes.

#include <doctest/doctest.h>

#include <string>
#include <thread>
#include <vector>

#include "scripted_server.hpp"

namespace planktray::transport {
namespace {

constexpr const char* kMark = "Mark";
constexpr const char* kSeal = "Seal";

/// Bytes that are no answer, as a beginning and what follows it without end.
struct EndlessAnswer {
  const char* name;
  std::string beginning;
  std::string rest;
};

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kBlock(4096, 'a');

std::vector<EndlessAnswer> fast_answers() {
  return {
      {"no HTTP", "", kBlock},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"one header", kOk + "Name: ", kBlock},
      {"headers", kOk, "Name: value\r\n"},
      {"body until close", kOk + "\r\n", kBlock},
      {"chunks", kOk + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + kBlock + "\r\n"},
      {"one chunk", kOk + "Transfer-Encoding: chunked\r\n\r\nfffffff0\r\n", kBlock},
      {"trailers", kOk + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n"},
      {"announced body", kOk + "Content-Length: 99999999999\r\n\r\n", kBlock},
  };
}

/// Kinds whose first bytes, or whose amount, show that no usable answer comes.
std::vector<EndlessAnswer> slow_answers() {
  const std::string other = kOk + "Mark: other\r\n";
  const std::string own = kOk + "Mark: own\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "1000\r\n" + kBlock + "\r\n";
  return {
      {"no HTTP", "", kBlock},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"no mark, until close", kOk + "\r\n", "a"},
      {"another mark, until close", other + "\r\n", "a"},
      {"another mark, chunks", other + chunked, chunk},
      {"another mark, announced", other + "Content-Length: 999999\r\n\r\n", kBlock},
      {"answers to others", "", other + "Content-Length: 1\r\n\r\na"},
      {"a success without its seal, until close", own + "\r\n", "a"},
      {"a success without its seal, chunks", own + chunked, "1\r\na\r\n"},
      {"a success without its seal, announced", own + "Content-Length: 999999\r\n\r\n", "a"},
  };
}

/// Returns a script that writes the answer until the client closes, with a pause between its parts.
Script endless_script(const EndlessAnswer& endless, std::chrono::milliseconds pause) {
  return [&endless, pause](const std::string& /*head*/, const Write& write) {
    bool is_open = write(endless.beginning + endless.rest);
    while (is_open) {
      std::this_thread::sleep_for(pause);
      is_open = write(endless.rest);
    }
  };
}

HttpRequest marked_request(const ScriptedServer& server) {
  HttpRequest request = request_for(server, "GET");
  request.answer_header = kMark;
  request.answer_value = "own";
  request.success_header = kSeal;
  return request;
}

TEST_CASE("bytes that are no answer and do not end are given up before the deadline") {
  for (const EndlessAnswer& endless : fast_answers()) {
    CAPTURE(endless.name);
    ScriptedServer server(endless_script(endless, std::chrono::milliseconds(0)));
    HttpClient client(HttpClientOptions{});
    const HttpResponse response = exchange(client, request_for(server, "GET"));
    CHECK_FALSE(response.is_whole());
    CHECK(response.was_sent);
    CHECK(response.error.code == common::ErrorCode::kCorrupt);
    CHECK(client.connections() == 0);
  }
}

TEST_CASE("bytes that are no answer and come slowly without end are given up before the deadline") {
  for (const EndlessAnswer& endless : slow_answers()) {
    CAPTURE(endless.name);
    ScriptedServer server(endless_script(endless, std::chrono::milliseconds(10)));
    HttpClient client(HttpClientOptions{});
    const HttpResponse response = exchange(client, marked_request(server));
    CHECK_FALSE(response.is_whole());
    CHECK(response.was_sent);
    CHECK(response.error.code == common::ErrorCode::kCorrupt);
    CHECK(client.connections() == 0);
  }
}

TEST_CASE("a slow answer with its mark and seal is read to its end") {
  ScriptedServer server([](const std::string& /*head*/, const Write& write) {
    const std::string part(20'000, 'a');
    write(kOk + "Mark: own\r\nSeal: s\r\nContent-Length: 200000\r\n\r\n");
    for (int i = 0; i < 10; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      write(part);
    }
  });
  HttpClient client(HttpClientOptions{});
  const HttpResponse response = exchange(client, marked_request(server));
  CHECK(response.is_whole());
  CHECK(response.body.size() == 200'000);
}

TEST_CASE("an answer behind late ones to other requests is taken") {
  ScriptedServer server([](const std::string& /*head*/, const Write& write) {
    std::string late = kOk + "Mark: other\r\nContent-Length: 30000\r\n\r\n";
    late.append(30'000, 'a');
    for (int i = 0; i < 3; ++i) {
      write(late);
    }
    write(kOk + "Mark: own\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok");
  });
  HttpClient client(HttpClientOptions{});
  CHECK(exchange(client, marked_request(server)).body == "ok");
}

}  // namespace
}  // namespace planktray::transport
