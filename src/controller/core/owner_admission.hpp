#pragma once
/// Admission control for owners of keys, by the leader. Requests for a key can go to its owner
/// only, and once the queue there is longer than the shortest deadlines allow, only callers with
/// longer deadlines are served. From the queue lengths that all routers report, the leader computes
/// for each owner the fraction of the requests for its keys that may be sent, the same at each
/// router. The state is not replicated: a new leader receives the queue lengths with the first
/// hellos.

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "routing/table_messages.hpp"

namespace planktray::controller {

struct OwnerAdmissionOptions {
  /// Target queue length in waiting requests per slot of the owner.
  double queue_per_slot = 1.5;
  /// From this many waiting requests per slot on, the owner runs at its capacity.
  double busy_per_slot = 0.5;
  /// An owner is crowded from this many waiting requests per slot on.
  double crowded_per_slot = 2.0;
  /// Time in which a queue is to return to its target length. Longer than the feedback delay from
  /// an answer through the leader to all routers (1 to 2 s), since queues would oscillate
  /// otherwise.
  common::Duration settle_time = std::chrono::milliseconds(2000);
  /// Half-life of the smoothed measurements.
  common::Duration half_life = std::chrono::milliseconds(600);
  /// Fraction that is always admitted: an owner that gets no requests is not reported on.
  double minimum_share = 0.05;
  /// An owner without a report for this long is removed.
  common::Duration memory = std::chrono::milliseconds(4000);
  /// Maximum number of crowded owners published to routers.
  std::size_t maximum_published = routing::kMaxCrowdedOwners;
};

class OwnerAdmission {
 public:
  explicit OwnerAdmission(OwnerAdmissionOptions options) : options_(options) {}

  void begin_term(common::TimePoint now);
  void add_reports(common::TimePoint now, const std::vector<routing::TargetTime>& times);
  /// An owner's demand and size, which its queue reports do not contain.
  struct Owner {
    double demand = 0;  ///< requests per second for its keys, whether sent or not
    std::uint32_t slots = 1;
  };
  /// Recomputes the admitted shares from the reports since the last call.
  void update(common::TimePoint now, const std::function<Owner(common::BackendId)>& owner_of);
  /// The crowded owners to publish. Where there are too many, those with the smallest shares.
  std::vector<routing::AdmittedShare> crowded_owners() const;

 private:
  struct Queue {
    std::uint32_t answered = 0;  ///< requests, since the last update
    std::uint32_t reports = 0;   ///< since the last update
    std::uint32_t waiting = 0;   ///< sum over these reports
    common::TimePoint last_report;
    double length = 0;    ///< waiting requests, smoothed
    double rate = 0;      ///< answers per second, smoothed
    double capacity = 0;  ///< answers per second while requests were waiting
    bool is_crowded = false;
    double admitted_share = 1;
  };
  void update_queue(Queue& queue, double seconds, const Owner& owner) const;

  OwnerAdmissionOptions options_;
  common::TimePoint updated_at_;
  std::map<common::BackendId, Queue> queues_;
};

}  // namespace planktray::controller
