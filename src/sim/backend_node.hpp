#pragma once
/// A back end in the simulator: the stand-in's BackendCore with virtual network and work time.
/// It also tells the history which shards it would accept work for.

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sim/directory.hpp"
#include "sim/environment.hpp"
#include "standin/core/backend_core.hpp"

namespace planktray::sim {

struct BackendSettings {
  common::MachineName machine;
  std::string address;
  common::ZoneName zone;
  common::PoolName pool;
  std::string service;
  std::uint32_t slots = 1;
  Duration service_time{0};
};

/// What a router gets back for one attempt.
struct WorkReply {
  bool broken = false;  ///< the connection closed before a whole answer came
  std::optional<routing::Refusal> refusal;
  std::string answer_to;  ///< the request id that the answer carries
  bool whole = true;
};

class BackendNode {
 public:
  using WorkReplyHandler = std::function<void(const WorkReply&)>;
  using ReleaseHandler = std::function<void(const ownership::ReleaseReply&)>;

  BackendNode(Environment& environment, Directory& directory, HostId host,
              BackendSettings settings);

  void start();
  void kill();
  /// Drains, then stops when nothing is left to do.
  void stop_as_planned();
  /// Begins to lie about its state and load.
  void set_lying(bool lying) { lying_ = lying; }

  /// A connection is accepted by the machine even while the process is stopped.
  /// @return the life of the process that it belongs to.
  std::uint64_t accept_connection() { return host().generation(); }
  /// Work on an open connection; `reply` runs here, once at most.
  void receive_work(std::uint64_t connection, const standin::WorkOrder& order,
                    WorkReplyHandler reply);
  ownership::LeaseReply receive_lease(const ownership::LeaseRequest& request);
  void receive_release(const ownership::ReleaseRequest& request, ReleaseHandler reply);

  /// Compares what it holds with what the history was last told.
  void observe_holdings(GapCause cause);

  Host& host() { return environment_.network.host(host_); }
  HostId host_id() const { return host_; }
  const BackendSettings& settings() const { return settings_; }
  bool is_up() { return host().is_alive(); }
  bool is_stopping() const { return stopping_; }
  /// True where it would accept work for this shard.
  bool holds(const std::string& shard) const { return held_.contains(shard); }

 private:
  struct Work {
    std::string request;
    std::string shard;
    common::Epoch epoch;
    TimePoint accepted;
    WorkReplyHandler reply;
  };

  void flush();
  void finish(const standin::WorkDone& done);
  void check_stop();
  void stop_now();
  void drop_connections();
  Duration work_time();

  Environment& environment_;
  Directory& directory_;
  HostId host_;
  BackendSettings settings_;
  std::optional<standin::BackendCore> core_;
  bool stopping_ = false;
  bool lying_ = false;
  TimePoint last_work_;
  std::uint64_t next_id_ = 1;
  std::map<standin::WorkId, Work> work_;
  std::map<standin::ReleaseId, ReleaseHandler> releases_;
  std::map<std::string, std::uint64_t> held_;  ///< shard to epoch, as the history knows it
  std::pair<bool, std::uint64_t> observed_{false, 0};
  std::string last_request_;
};

/// "tenant/service/number".
std::string shard_name(const common::ServiceKey& service, common::ShardNumber shard);

}  // namespace planktray::sim
