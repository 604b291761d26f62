#pragma once
/// The rate at which the leader may push table updates to routers, from the time that its main loop
/// has left.
///
/// Each change of the table is a message to every router. A leader without time left must not spend
/// it on them: renewals that it answers too late make keys move, and each move is one more change.
/// The rate falls fast, as a full leader recovers only if work ends, and rises slowly.

#include "common/time.hpp"

namespace planktray::controller {

struct UpdatePacerOptions {
  /// Updates a second however little time is left.
  double lowest_rate = 100;
  /// Below this idle share of the loop's time the rate falls.
  double short_of_time = 0.1;
  /// Above this idle share it rises.
  double has_time = 0.3;
  /// Factors for each sample.
  double decrease = 0.7;
  double increase = 1.1;
};

class UpdatePacer {
 public:
  /// @param highest_rate updates a second of a leader that has time left.
  UpdatePacer(UpdatePacerOptions options, double highest_rate)
      : options_(options), highest_rate_(highest_rate), rate_(highest_rate) {}

  /// Adapts the rate. @param idle_share of the time since the last sample, from 0 to 1.
  void on_sample(double idle_share);
  /// Updates a second, to all routers together.
  double rate() const { return rate_; }

 private:
  UpdatePacerOptions options_;
  double highest_rate_;
  double rate_;
};

}  // namespace planktray::controller
