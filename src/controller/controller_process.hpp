#pragma once
/// Runs a ControllerCore: connects it to the GLib main loop, ZeroMQ, HTTP and the data folder.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "config/machine_limits.hpp"
#include "controller/activity_meter.hpp"
#include "controller/control_interface.hpp"
#include "controller/core/controller_core.hpp"
#include "controller/founding.hpp"
#include "controller/operator_api.hpp"
#include "controller/order_sender.hpp"
#include "controller/promises.hpp"
#include "limits/memory_account.hpp"
#include "storage/log_store.hpp"
#include "transport/event_loop.hpp"
#include "transport/file_disk.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"
#include "transport/limit_report.hpp"
#include "transport/line_limit.hpp"
#include "transport/metrics.hpp"
#include "transport/settings_watch.hpp"
#include "transport/storage_worker.hpp"
#include "transport/zmq_socket.hpp"

namespace planktray::controller {

struct ControllerSettings {
  ControllerOptions options;
  std::string data_folder;
  config::MachineLimits machine;
  /// "IP:port" of the product's operator API; empty: options.operator_address, which is the address
  /// that other members use.
  std::string operator_listen;
  std::vector<std::string> peers;  ///< ZeroMQ endpoints of the other controllers
  std::string platform_url;        ///< "http://IP:port/machines"
  common::Duration platform_interval = std::chrono::milliseconds(500);
  common::Duration lease_timeout = std::chrono::milliseconds(400);
  /// The whole system starts for the first time: a founder with an empty data folder bootstraps the
  /// cell.
  bool first_start = false;
  std::vector<FoundingAddress> founders;
  /// "IP:port" of the deployment's ControlInterface; used only if `make_control` is set.
  std::string control_address;
  ControlInterfaceFactory make_control;
  OrderSenderOptions orders;
  PromisedTimes promised;

  std::string settings_path;  ///< file whose changes trigger a reload
  /// Reads the settings again; empty: the settings are never reloaded.
  std::function<common::Result<ControllerSettings>()> reload;

  const std::string& operator_listen_address() const {
    return operator_listen.empty() ? options.operator_address : operator_listen;
  }
};

class ControllerProcess {
 public:
  explicit ControllerProcess(ControllerSettings settings);

  /// Opens the data folder and the sockets. @return the first error.
  common::Result<void> start();
  /// Runs until SIGTERM or a failure of the data folder. @return the exit code of the process.
  int run();

 private:
  common::Result<void> open_data_folder();
  common::Result<void> open_sockets();
  transport::HttpServerOptions server_options(std::size_t max_connections);
  void reload();
  void tick();
  void flush();
  void execute(ControllerOutput& output);
  void send_peer(const consensus::RaftMessage& message);
  /// Sends requests to join, those of others to the leader, and the answers to candidates.
  void send_joins(const ControllerOutput& output);
  void send_to_leader(const transport::WireMessage& message);
  /// Sends to another controller; does nothing if it is no member.
  void send_to_member(common::ReplicaId id, const transport::WireMessage& message);
  void send_lease(const ownership::OutgoingLease& lease);
  void send_release(const ownership::OutgoingRelease& release);
  void send_table(const OutgoingTable& table);
  void log_key_moves(const ControllerOutput& output);
  void poll_platform();
  void on_message(const std::string& identity, const transport::WireMessage& message);
  void on_persisted(const common::Result<std::uint64_t>& persisted);
  void log_leadership_change();
  /// Tells the core how much time the main loop has left.
  void sample_idle_time();
  /// Logs the load of the last second.
  void log_load();
  /// Evaluates the promises for this number of routers and logs each one whose state has changed
  /// since the last evaluation.
  void log_promise_changes(std::size_t routers);
  /// Closes connections to controllers that have gone and forgets processes that are silent. Not
  /// called while a message of one of them is handled.
  void forget_gone_peers();
  void update_metrics();
  /// Returns the connection to a controller, creating it if needed; nullptr if that fails.
  transport::ZmqSocket* dealer(const std::string& address);

  ControllerSettings settings_;
  transport::EventLoop loop_;
  transport::Alarm alarm_;
  std::unique_ptr<transport::SettingsWatch> settings_watch_;
  zmq::context_t context_;
  std::unique_ptr<transport::FileDisk> disk_;
  std::unique_ptr<storage::LogStore> store_;
  std::unique_ptr<ControllerCore> core_;
  std::unique_ptr<transport::StorageWorker> worker_;
  transport::Metrics metrics_;
  std::unique_ptr<OperatorApi> api_;
  std::unique_ptr<ControlInterface> control_;
  std::unique_ptr<OrderSender> orders_;
  limits::MemoryAccount memory_;  ///< of all connections of operators and back ends
  transport::LimitReport limit_report_{memory_};
  std::unique_ptr<transport::HttpServer> http_server_;
  std::unique_ptr<transport::HttpServer> control_server_;
  std::unique_ptr<transport::HttpClient> http_client_;
  std::unique_ptr<transport::ZmqSocket> server_socket_;
  std::map<std::string, std::unique_ptr<transport::ZmqSocket>> dealers_;
  transport::SocketCounters closed_dealers_;  ///< sums of the dealers that were closed
  /// The sender of messages to the server socket.
  struct PeerIdentity {
    std::string identity;  ///< of its ZeroMQ socket
    common::TimePoint last_message;
  };
  std::map<common::ReplicaId, PeerIdentity> replica_identities_;
  std::map<common::RouterName, PeerIdentity> router_identities_;
  /// Replacing a service moves hundreds of ranges within some seconds.
  transport::LineLimit key_move_limit_{{.lines_per_second = 20, .burst = 100}};
  /// A candidate repeats its request until it is a member.
  transport::LineLimit join_limit_{{.lines_per_second = 1, .burst = 20}};
  /// Thousands of back ends register when a large fleet starts.
  transport::LineLimit backend_change_limit_{{.lines_per_second = 50, .burst = 200}};
  std::map<common::MachineName, int> leases_in_flight_;
  std::uint64_t lease_failures_ = 0;
  std::uint64_t leases_sent_ = 0;
  ActivityMeter meter_{transport::thread_time_used};
  /// Totals since the start of the process; `leader_load` logs their increase.
  struct LoadTotals {
    common::Duration processor{0};
    ControllerCounters core;
    OrderSender::Counters orders;
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t accepted = 0;
    std::uint64_t abandoned = 0;
    std::uint64_t gone_unread = 0;
    common::Duration idle{0};
  };
  LoadTotals logged_totals_;  ///< as of the last interval
  common::Duration sampled_idle_{0};
  common::TimePoint sampled_at_;
  LoadTotals load_totals() const;
  std::set<std::string> violated_promises_;  ///< names, as last logged
  bool was_leader_ = false;
  bool platform_list_available_ = true;
  bool flushing_ = false;
  bool disk_is_failing_ = false;
  int exit_code_ = 0;
};

}  // namespace planktray::controller
