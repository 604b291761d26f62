#include "controller/activity_meter.hpp"

namespace planktray::controller {

std::string_view to_string(Activity activity) {
  switch (activity) {
    case Activity::kOther:
      return "other";
    case Activity::kDecisions:
      return "decisions";
    case Activity::kPeers:
      return "peers";
    case Activity::kHellos:
      return "hellos";
    case Activity::kTables:
      return "tables";
    case Activity::kOrders:
      return "orders";
    case Activity::kControl:
      return "control";
  }
  return "other";
}

ActivityMeter::ActivityMeter(Clock clock) : clock_(std::move(clock)), since_(clock_()) {}

Activity ActivityMeter::enter(Activity next) {
  const common::Duration now = clock_();
  times_[static_cast<std::size_t>(current_)] += now - since_;
  since_ = now;
  return std::exchange(current_, next);
}

ActivityMeter::Times ActivityMeter::take() {
  enter(current_);
  return std::exchange(times_, Times{});
}

}  // namespace planktray::controller
