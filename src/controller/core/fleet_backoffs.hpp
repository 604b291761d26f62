#pragma once
/// Owners of keys that have asked at least half of the routers to back off. Their keys move to
/// other owners, as long as enough of those remain. The state is not replicated: routers report
/// backoffs to a new leader.

#include <map>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "routing/table_messages.hpp"

namespace planktray::controller {

struct FleetBackoffsOptions {
  /// Fraction of the routers that must have been asked to back off.
  double router_share = 0.5;
  /// Shorter remaining backoffs move no keys: a move interrupts their callers for about 0.8 s.
  common::Duration minimum_remaining = std::chrono::milliseconds(1500);
  /// A router whose last hello is older than this is not counted.
  common::Duration memory = std::chrono::milliseconds(2000);
};

class FleetBackoffs {
 public:
  explicit FleetBackoffs(FleetBackoffsOptions options) : options_(options) {}

  void begin_term();
  /// Replaces the router's reports of back ends that have asked it to back off.
  void on_hello(common::TimePoint now, const routing::RouterHello& hello);
  /// Recomputes the avoided owners and removes expired ones. Visits all reports, so it should run
  /// a few times a second rather than for each hello.
  void update(common::TimePoint now);
  /// True if the owner's keys should move to other owners.
  bool is_avoided(common::TimePoint now, common::BackendId owner) const;
  bool empty() const { return avoided_until_.empty(); }

 private:
  struct Router {
    common::TimePoint last_hello;
    /// When the backoffs end, by the back end that asked for them.
    std::map<common::BackendId, common::TimePoint> backoff_ends;
  };

  FleetBackoffsOptions options_;
  std::map<common::RouterName, Router> routers_;
  std::map<common::BackendId, common::TimePoint> avoided_until_;
};

}  // namespace planktray::controller
