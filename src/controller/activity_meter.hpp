#pragma once
/// Where the processor time of a controller's main loop goes, and how much it carried: totals that
/// the process writes to its log once a second while it leads.

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>

#include "common/time.hpp"

namespace planktray::controller {

/// What the main loop works on. All time that nothing is noted for counts as kOther: accepting,
/// reading and closing connections, timers, and waiting for descriptors.
enum class Activity : std::uint8_t {
  kOther,
  kDecisions,  ///< what ControllerCore does by itself: sweeps, plans, orders to make
  kPeers,      ///< messages of other controllers
  kHellos,     ///< hellos of routers, with the answers to them
  kTables,     ///< encoding and sending tables
  kOrders,     ///< sending orders to back ends, and their replies
  kControl,    ///< heartbeats and calls of operators
};
constexpr std::size_t kActivities = 7;

/// "decisions", "peers" and so on.
std::string_view to_string(Activity activity);

class ActivityMeter {
 public:
  /// Processor time that the calling thread has used so far.
  using Clock = std::function<common::Duration()>;

  explicit ActivityMeter(Clock clock);

  /// Charges the time until its end to an activity; one within another pauses that.
  class Span {
   public:
    Span(ActivityMeter& meter, Activity activity) : meter_(meter), outer_(meter.enter(activity)) {}
    Span(const Span&) = delete;
    Span& operator=(const Span&) = delete;
    ~Span() { meter_.enter(outer_); }

   private:
    ActivityMeter& meter_;
    Activity outer_;
  };

  using Times = std::array<common::Duration, kActivities>;
  /// Time by activity since the last call.
  Times take();

 private:
  /// Charges what has passed to the present activity. @return that activity.
  Activity enter(Activity next);

  Clock clock_;
  common::Duration since_;
  Activity current_ = Activity::kOther;
  Times times_{};
};

}  // namespace planktray::controller
