#pragma once
/// Reference behaviour of a back end: holds leases and grants by its own clock, refuses requests
/// that it has no right to run, runs at most `slots` requests concurrently, and drains. Shared by
/// the stand-in process and the simulator.

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

/// A shard identified by its service and number.
using ShardName = std::pair<common::ServiceKey, common::ShardNumber>;

/// The holder's side of the lease protocol.
class LeaseHolder {
 public:
  explicit LeaseHolder(common::Incarnation incarnation) : incarnation_(std::move(incarnation)) {}

  ownership::LeaseStatus on_lease(TimePoint now, const ownership::LeaseRequest& request);
  /// Revokes the listed epochs permanently. @return false for a stale term or another incarnation.
  bool on_release(const ownership::ReleaseRequest& request);
  /// @return the reason to refuse work on this shard at `now`; nullopt if it may run.
  std::optional<routing::Refusal> check(TimePoint now, const ShardName& shard,
                                        common::Epoch epoch) const;
  bool has_lease(TimePoint now) const;
  /// Shards for which work would be accepted at `now`.
  std::vector<std::pair<ShardName, common::Epoch>> held(TimePoint now) const;

  const common::Incarnation& incarnation() const { return incarnation_; }
  const std::string& digest() const { return digest_; }
  /// Increases whenever grants or releases change, so that observers detect changes.
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
  /// Injected fault for mutation tests: runs every request without a fencing check.
  bool ignore_fence = false;
  /// Injected fault for mutation tests: accepts new work while draining.
  bool ignore_drain = false;
};

using WorkId = std::uint64_t;
using ReleaseId = std::uint64_t;

struct WorkOrder {
  common::RequestId request;
  common::Incarnation incarnation;  ///< incarnation that the request is addressed to
  common::ServiceKey service;
  bool keyed = false;
  common::ShardNumber shard;
  common::Epoch epoch;
  TimePoint deadline;
};

/// The work occupies a slot; the caller reports its end with on_work_finished().
struct WorkStarted {
  WorkId work;
};
/// The work took effect (no refusal), or was refused and had no effect.
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
  /// The router closed the connection: drops queued work; running work continues.
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
