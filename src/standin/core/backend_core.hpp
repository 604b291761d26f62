#pragma once
/// A back end as the product expects one: it holds leases and grants in its own clock, refuses what
/// it may not run, runs at most `slots` requests at once, and drains. Shared by the stand-in
/// process and the simulator.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/time.hpp"
#include "ownership/lease_messages.hpp"
#include "routing/outcome.hpp"

namespace planktray::standin {

using common::Duration;
using common::TimePoint;

/// Where a shard is named by its service.
using ShardName = std::pair<common::ServiceKey, common::ShardNumber>;

/// The holder's side of the lease protocol.
class LeaseHolder {
 public:
  explicit LeaseHolder(common::Incarnation incarnation) : incarnation_(std::move(incarnation)) {}

  ownership::LeaseStatus on_lease(TimePoint now, const ownership::LeaseRequest& request);
  /// Ends the named epochs for good. @return false for a stale term or another incarnation.
  bool on_release(const ownership::ReleaseRequest& request);
  /// @return why work on this shard must be refused now; nothing where it may run.
  std::optional<routing::Refusal> check(TimePoint now, const ShardName& shard,
                                        common::Epoch epoch) const;
  bool has_lease(TimePoint now) const;
  /// Shards that work would be accepted for now.
  std::vector<std::pair<ShardName, common::Epoch>> held(TimePoint now) const;

  const common::Incarnation& incarnation() const { return incarnation_; }
  const std::string& digest() const { return digest_; }
  /// Grows whenever grants or releases change, for observers.
  std::uint64_t version() const { return version_; }

 private:
  common::Incarnation incarnation_;
  common::Term highest_term_;
  TimePoint expires_{};
  common::LogIndex grants_index_;
  std::string digest_;
  std::map<ShardName, common::Epoch> grants_;
  std::map<ShardName, common::Epoch> released_;
  std::uint64_t version_ = 0;
};

struct BackendOptions {
  common::Incarnation incarnation;
  std::uint32_t slots = 1;
  std::uint32_t queue_limit = 4;
  /// Fault for mutants: runs whatever it is sent.
  bool ignore_fence = false;
  /// Fault for mutants: takes new work while draining.
  bool ignore_drain = false;
};

using WorkId = std::uint64_t;
using ReleaseId = std::uint64_t;

struct WorkOrder {
  common::RequestId request;
  common::Incarnation incarnation;  ///< the one it is meant for
  common::ServiceKey service;
  bool keyed = false;
  common::ShardNumber shard;
  common::Epoch epoch;
  TimePoint deadline;
};

/// The work has a slot; call on_work_finished() when its time has passed.
struct WorkStarted {
  WorkId work;
};
/// The work's effect was made (no refusal), or it did not run.
struct WorkDone {
  WorkId work;
  std::optional<routing::Refusal> refusal;
};
struct ReleaseDone {
  ReleaseId release;
  ownership::ReleaseReply reply;
};

struct BackendOutput {
  std::vector<WorkStarted> started;
  std::vector<WorkDone> done;
  std::vector<ReleaseDone> releases;
};

class BackendCore {
 public:
  explicit BackendCore(BackendOptions options);

  ownership::LeaseReply on_lease(TimePoint now, const ownership::LeaseRequest& request);
  ownership::LeaseReply describe(TimePoint now) const;
  void on_release(TimePoint now, ReleaseId id, const ownership::ReleaseRequest& request);
  void on_work(TimePoint now, WorkId id, WorkOrder order);
  void on_work_finished(TimePoint now, WorkId id);
  /// The router closed the connection. Work that runs already goes on.
  void on_work_cancelled(WorkId id);
  void tick(TimePoint now);
  void begin_drain() { draining_ = true; }

  bool is_draining() const { return draining_; }
  bool is_idle() const { return running_.empty() && queue_.empty(); }
  std::uint32_t running() const { return static_cast<std::uint32_t>(running_.size()); }
  std::uint32_t queued() const { return static_cast<std::uint32_t>(queue_.size()); }
  const LeaseHolder& holder() const { return holder_; }
  BackendOutput take_output() { return std::exchange(output_, {}); }

 private:
  struct PendingRelease {
    ReleaseId id;
    std::vector<ownership::HeldShard> shards;
    TimePoint answer_by;
  };

  std::optional<routing::Refusal> check(TimePoint now, const WorkOrder& order) const;
  void start_queued(TimePoint now);
  void answer_releases(TimePoint now);
  bool runs_on(const ShardName& shard) const;

  BackendOptions options_;
  LeaseHolder holder_;
  bool draining_ = false;
  std::map<WorkId, WorkOrder> running_;
  std::deque<std::pair<WorkId, WorkOrder>> queue_;
  std::vector<PendingRelease> releases_;
  BackendOutput output_;
};

}  // namespace planktray::standin
