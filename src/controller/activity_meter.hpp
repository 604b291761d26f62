#pragma once
/// Measures how a controller's main loop spends its processor time. The process logs the totals
/// once a second while it is the leader.

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>

#include "common/time.hpp"

namespace planktray::controller {

/// Kinds of work of the main loop. Time outside any Span counts as kOther: accepting, reading and
/// closing connections, timers, and waiting for descriptors.
enum class Activity : std::uint8_t {
  kOther,
  kDecisions,  ///< periodic work of ControllerCore: sweeps, plans, new orders
  kPeers,      ///< messages of other controllers
  kHellos,     ///< hellos of routers and the replies to them
  kTables,     ///< encoding and sending tables
  kOrders,     ///< sending orders to back ends, and their replies
  kControl,    ///< heartbeats and operator requests
};
constexpr std::size_t kActivityCount = 7;

/// Returns the name that the log uses, such as "decisions".
std::string_view to_string(Activity activity);

class ActivityMeter {
 public:
  /// Returns the processor time that the calling thread has used so far.
  using Clock = std::function<common::Duration()>;

  explicit ActivityMeter(Clock clock);

  /// Charges its lifetime to an activity. A nested span pauses the outer one.
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

  using Times = std::array<common::Duration, kActivityCount>;
  /// Returns the time by activity since the last call.
  Times take();

 private:
  /// Charges the time since the last call to the current activity and makes `next` the current one.
  /// @return the previous activity.
  Activity enter(Activity next);

  Clock clock_;
  common::Duration since_;
  Activity current_ = Activity::kOther;
  Times times_{};
};

}  // namespace planktray::controller
