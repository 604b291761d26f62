#pragma once
/// Owners of keys that most routers have been asked to leave alone: their keys are better off with
/// others, as long as there are enough of these. Volatile: routers tell a new leader what they
/// know.

#include <map>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "routing/table_messages.hpp"

namespace planktray::controller {

struct FleetBackoffsOptions {
  /// Part of the routers that have to be kept away.
  double share = 0.5;
  /// Keys do not move for less: a move costs their callers some 0.8 s.
  common::Duration shortest = std::chrono::milliseconds(1500);
  /// A router that was not heard for this long is not counted.
  common::Duration memory = std::chrono::milliseconds(2000);
};

class FleetBackoffs {
 public:
  explicit FleetBackoffs(FleetBackoffsOptions options) : options_(options) {}

  void begin_term();
  /// Takes what a router says of back ends that want nothing from it.
  void take(common::TimePoint now, const routing::RouterHello& hello);
  /// Works out anew which owners are avoided, and forgets what is over. Goes through all reports,
  /// so it is for a few times a second, and not for each hello.
  void fold(common::TimePoint now);
  /// True where the owner's keys are better off with others.
  bool is_avoided(common::TimePoint now, common::BackendId owner) const;
  bool empty() const { return avoided_until_.empty(); }

 private:
  struct Router {
    common::TimePoint heard;
    std::map<common::BackendId, common::TimePoint>
        ends;  ///< by back ends that want nothing from it
  };

  FleetBackoffsOptions options_;
  std::map<common::RouterName, Router> routers_;
  std::map<common::BackendId, common::TimePoint> avoided_until_;
};

}  // namespace planktray::controller
