#include "crowd/crowd.hpp"

#include <array>
#include <charconv>

#include "common/time.hpp"

namespace planktray::crowd {
namespace {

using transport::StreamEnd;
using transport::TcpStream;

std::string request_line(const std::string& method, const std::string& host,
                         const std::string& path) {
  return method + " " + path + " HTTP/1.1\r\nHost: " + host +
         "\r\nX-Planktray-Request-Id: crowd\r\nX-Planktray-Deadline-Ms: 20000\r\n";
}

}  // namespace

Crowd::~Crowd() {
  for (const auto& client : clients_) {
    client->stream->close();
  }
}

void Crowd::add(const std::string& address, std::size_t clients, const Script& script) {
  const auto shared = std::make_shared<const Script>(script);
  for (std::size_t i = 0; i < clients; ++i) {
    auto stream = TcpStream::connect(address, common::Duration(0));
    if (!stream.has_value()) {
      continue;  // refused at once: as good as a connection that was closed
    }
    clients_.push_back(std::make_unique<Client>());
    Client& client = *clients_.back();
    client.stream = std::move(*stream);
    client.script = shared;
    TcpStream::Handlers handlers;
    handlers.on_connected = [&client] {
      if (!client.script->reads) {
        client.stream->pause_reading();
      }
    };
    handlers.on_data = [](std::string_view /*bytes*/) {};
    handlers.on_drained = [&client] { send_piece(client); };
    handlers.on_end = [&client](StreamEnd /*end*/) { client.has_finished = true; };
    client.stream->start(std::move(handlers));
    if (shared->head.empty()) {
      client.has_finished = true;
    } else {
      client.stream->write(shared->head);
    }
  }
}

void Crowd::send_piece(Client& client) {
  if (client.pieces_sent == client.script->pieces) {
    client.has_finished = true;
    return;
  }
  ++client.pieces_sent;
  client.stream->write(client.script->piece);
}

bool Crowd::has_sent() const {
  for (const auto& client : clients_) {
    if (!client->has_finished) {
      return false;
    }
  }
  return true;
}

std::string chunked_head(const std::string& method, const std::string& host,
                         const std::string& path) {
  return request_line(method, host, path) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string head_with_length(const std::string& method, const std::string& host,
                             const std::string& path, std::size_t body_bytes) {
  return request_line(method, host, path) + "Content-Length: " + std::to_string(body_bytes) +
         "\r\n\r\n";
}

std::string chunk_of(std::size_t bytes) {
  constexpr int kHexadecimal = 16;
  std::array<char, 20> size{};
  const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes, kHexadecimal);
  return std::string(size.data(), end.ptr) + "\r\n" + std::string(bytes, 'x') + "\r\n";
}

}  // namespace planktray::crowd
