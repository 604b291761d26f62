#pragma once
/// A crowd of clients that send most of a request, or do not read its answer, and keep their
/// connections open.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "transport/tcp_stream.hpp"

namespace planktray::crowd {

/// What each client of a crowd does on its connection.
struct Script {
  std::string head;   ///< sent first
  std::string piece;  ///< sent after it, `pieces` times
  std::size_t pieces = 0;
  bool reads = true;  ///< whether it reads what it is sent
};

class Crowd {
 public:
  Crowd() = default;
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;
  ~Crowd();

  /// Connects `clients` clients to `address`.
  void add(const std::string& address, std::size_t clients, const Script& script);
  /// True if each client has sent its script, or has lost its connection.
  bool has_sent() const;

 private:
  struct Client {
    std::shared_ptr<transport::TcpStream> stream;
    std::shared_ptr<const Script> script;
    std::size_t pieces_sent = 0;
    bool has_finished = false;
  };
  static void send_piece(Client& client);

  std::vector<std::unique_ptr<Client>> clients_;
};

/// Returns the head of a request that states no length: its body comes in chunks.
std::string chunked_head(const std::string& method, const std::string& host,
                         const std::string& path);
/// Returns the head of a request whose body has this many bytes.
std::string head_with_length(const std::string& method, const std::string& host,
                             const std::string& path, std::size_t body_bytes);
/// Returns one chunk with this many bytes.
std::string chunk_of(std::size_t bytes);

}  // namespace planktray::crowd
