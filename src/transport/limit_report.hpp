#pragma once
/// Reports what the limits on memory and connections of a process have done: as metrics, and as one
/// log line for an interval in which they did something.

#include <cstdint>
#include <initializer_list>

#include "limits/memory_account.hpp"
#include "transport/http_server.hpp"
#include "transport/metrics.hpp"

namespace planktray::transport {

/// Totals since the start of the process.
struct LimitCounts {
  std::uint64_t unread = 0;       ///< requests refused before their body was read whole
  std::uint64_t revoked = 0;      ///< holders of memory without progress that gave it up
  std::uint64_t evicted = 0;      ///< idle connections closed for new ones
  std::uint64_t turned_away = 0;  ///< new connections closed unread

  bool operator==(const LimitCounts& other) const = default;
};

class LimitReport {
 public:
  explicit LimitReport(const limits::MemoryAccount& memory) : memory_(memory) {}

  /// Logs the totals if they have changed since the last call. Null servers are passed over.
  void log_changes(std::initializer_list<const HttpServer*> servers);
  void add_metrics(Metrics& metrics, std::initializer_list<const HttpServer*> servers) const;

 private:
  LimitCounts count(std::initializer_list<const HttpServer*> servers) const;

  const limits::MemoryAccount& memory_;
  LimitCounts logged_;
};

}  // namespace planktray::transport
