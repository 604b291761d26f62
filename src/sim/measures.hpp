#pragma once
/// The users' three measures of a run (imbalance, churn, unavailable time), with latency and
/// outcomes beside them.

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/histogram.hpp"
#include "common/time.hpp"
#include "routing/outcome.hpp"

namespace planktray::sim {

using common::Duration;
using common::TimePoint;

/// Why a shard had no owner for a while.
enum class GapCause : std::uint8_t { kMove, kLoss, kLapse };
inline constexpr std::size_t kGapCauses = 3;
std::string_view to_string(GapCause cause);

class Measures {
 public:
  /// From here on things are counted; a run's start is left out.
  void begin(TimePoint now);
  void end(TimePoint now) { ended_ = now; }

  void on_sent() { sent_ += counting_ ? 1 : 0; }
  void on_told(routing::Outcome outcome, Duration latency);
  void on_executed(TimePoint now, const std::string& service, const std::string& machine);
  void on_hold_ended(TimePoint now, const std::string& shard, GapCause cause);
  void on_hold_began(TimePoint now, const std::string& shard, const std::string& incarnation);
  void on_change_in_force(Duration took) {
    if (counting_) {
      in_force_.add(took);
    }
  }
  /// Tells how many targets a service has, for loads that are zero.
  void set_targets(const std::string& service, std::size_t targets) { targets_[service] = targets; }

  /// Largest load of a target over the mean, one value for each second and service.
  std::vector<double> imbalance(const std::string& service) const;
  Duration elapsed() const { return ended_ - began_; }
  const common::Histogram& gaps(GapCause cause) const {
    return gaps_[static_cast<std::size_t>(cause)];
  }
  Duration gap_total(GapCause cause) const { return gap_totals_[static_cast<std::size_t>(cause)]; }
  std::uint64_t owner_changes() const { return owner_changes_; }
  std::uint64_t sent() const { return sent_; }
  std::uint64_t told(routing::Outcome outcome) const {
    return told_[static_cast<std::size_t>(outcome)];
  }
  const common::Histogram& latency() const { return latency_; }
  const common::Histogram& in_force() const { return in_force_; }
  std::vector<std::string> services() const;

 private:
  struct ShardView {
    std::string last_owner;
    TimePoint free_since;
    GapCause cause = GapCause::kLapse;
    bool is_free = false;
  };
  using SecondLoads = std::map<std::string, std::uint32_t>;  ///< by machine

  bool counting_ = false;
  TimePoint began_;
  TimePoint ended_;
  std::uint64_t sent_ = 0;
  std::array<std::uint64_t, 3> told_{};
  common::Histogram latency_;
  common::Histogram in_force_;
  std::array<common::Histogram, kGapCauses> gaps_;
  std::array<Duration, kGapCauses> gap_totals_{};
  std::uint64_t owner_changes_ = 0;
  std::map<std::string, ShardView> shards_;
  std::map<std::string, std::size_t> targets_;
  std::map<std::string, std::map<std::int64_t, SecondLoads>> loads_;
};

}  // namespace planktray::sim
