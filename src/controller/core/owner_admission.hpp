#pragma once
/// The leader's bound on the queues of owners of keys. An owner cannot be passed by, and a queue
/// that grows longer than the callers with the least time can bear serves only the others. From
/// what all routers report of an owner's queue follows the part of the requests for its keys that
/// may be sent, the same at each router. Volatile: a new leader hears of the queues with the first
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
  /// A queue is kept at this many requests for each slot of the owner.
  double queue_per_slot = 1.5;
  /// With this many waiting requests for each slot, an owner answers as many as it can.
  double busy_per_slot = 0.5;
  /// An owner is crowded from this many waiting requests for each slot on.
  double crowded_per_slot = 2.0;
  /// Time in which a queue is to come back to what is kept. Longer than the way from an answer over
  /// the leader to all routers (1 to 2 s), or queues swing.
  common::Duration settle_time = std::chrono::milliseconds(2000);
  /// After this time what was seen of an owner counts half.
  common::Duration half_life = std::chrono::milliseconds(600);
  /// Part that is admitted in any case: without requests nothing is heard of the owner.
  double least_part = 0.05;
  /// An owner of which nothing was heard for this long is forgotten.
  common::Duration memory = std::chrono::milliseconds(4000);
  /// Crowded owners told to routers at most.
  std::size_t most_told = routing::kMaxCrowdedOwners;
};

class OwnerAdmission {
 public:
  explicit OwnerAdmission(OwnerAdmissionOptions options) : options_(options) {}

  void begin_term(common::TimePoint now);
  void add_reports(common::TimePoint now, const std::vector<routing::TargetTime>& times);
  /// What the leader knows of an owner besides.
  struct Owner {
    double demand = 0;  ///< requests a second for its keys, whether they are sent or not
    std::uint32_t slots = 1;
  };
  /// Works the parts out anew from what came since the last call.
  void update(common::TimePoint now, const std::function<Owner(common::BackendId)>& owner_of);
  /// The crowded owners, those with the smallest parts first where there are too many.
  std::vector<routing::AdmittedShare> crowded_owners() const;

 private:
  struct Queue {
    std::uint32_t answered = 0;  ///< since the last fold, as the next two
    std::uint32_t reports = 0;
    std::uint32_t waiting = 0;
    common::TimePoint heard;
    double length = 0;    ///< smoothed requests that wait
    double rate = 0;      ///< smoothed answers a second
    double capacity = 0;  ///< answers a second while requests waited
    bool is_crowded = false;
    double part = 1;
  };
  void update_queue(Queue& queue, double seconds, const Owner& owner) const;

  OwnerAdmissionOptions options_;
  common::TimePoint updated_at_;
  std::map<common::BackendId, Queue> queues_;
};

}  // namespace planktray::controller
