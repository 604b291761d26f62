#pragma once
/// A TCP relay that adds latency and can simulate a partition in one or both directions.

#include <gio/gio.h>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "transport/event_loop.hpp"
#include "transport/http_server.hpp"

namespace planktray::standin {

struct RelayLink {
  std::string listen;  ///< "IP:port"
  std::string target;  ///< "IP:port"
};

struct RelaySettings {
  std::string control;  ///< "IP:port" of the control API
  std::vector<RelayLink> links;
  common::Duration delay{0};  ///< added in each direction
};

/// Direction in which a link forwards no bytes. Connections stay open, as in a network partition
/// that sends no resets.
enum class RelayCut : std::uint8_t { kNone, kBoth, kToTarget, kFromTarget };

/// Control API: `PUT /links/N` with {"cut": "none"|"both"|"to-target"|"from-target"}, N from 0.
class RelayProcess {
 public:
  explicit RelayProcess(RelaySettings settings);
  RelayProcess(const RelayProcess&) = delete;
  RelayProcess& operator=(const RelayProcess&) = delete;
  ~RelayProcess();

  common::Result<void> start();
  int run();

 private:
  struct Link;
  struct Pump;
  struct Connection;

  common::Result<void> start_link(const RelayLink& link);
  void on_control(const transport::ExchangePointer& exchange);
  static gboolean on_incoming(GSocketService* service, GSocketConnection* incoming, GObject* source,
                              gpointer link);
  static void on_connected(GObject* client, GAsyncResult* result, gpointer data);
  static void read_more(const std::shared_ptr<Pump>& pump);
  static void on_read(GObject* stream, GAsyncResult* result, gpointer data);
  static void deliver(const std::shared_ptr<Pump>& pump, GBytes* bytes);
  static void on_written(GObject* stream, GAsyncResult* result, gpointer data);

  RelaySettings settings_;
  transport::EventLoop loop_;
  std::unique_ptr<transport::HttpServer> control_;
  std::vector<std::unique_ptr<Link>> links_;
};

}  // namespace planktray::standin
