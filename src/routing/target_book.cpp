#include "routing/target_book.hpp"

#include <algorithm>
#include <cmath>

namespace planktray::routing {
namespace {

/// A request in flight for this many times its expected work time indicates a slower target.
constexpr double kOverdueFactor = 2.0;

double to_us(Duration value) { return static_cast<double>(value.count()); }

/// Ratio of a request's latency to its work time with `ahead` other requests at the target.
double queue_factor(double ahead, std::uint32_t slots) {
  return 1.0 + std::max(0.0, ahead + 1.0 - slots) / slots;
}

void erase_one(std::multiset<TimePoint>& times, TimePoint time) {
  const auto found = times.find(time);
  if (found != times.end()) {
    times.erase(found);
  }
}

/// Work time of a request with the given latency, without the usual queueing delay at the target.
double usual_work_us(Duration latency, const TargetView& target) {
  const double queued = static_cast<double>(target.outstanding.size()) + target.usual_others;
  return to_us(latency) / queue_factor(queued, target.slots);
}

}  // namespace

void TargetBook::add(BackendId id, std::uint32_t slots, bool is_cold) {
  TargetView& target = targets_[id];
  target.slots = std::max<std::uint32_t>(1, slots);
  target.is_cold = is_cold;
}

void TargetBook::on_sent(TimePoint now, BackendId id) { targets_[id].outstanding.insert(now); }

void TargetBook::on_answered(TimePoint now, BackendId id, TimePoint sent,
                             const std::optional<LoadReport>& report) {
  TargetView& target = targets_[id];
  erase_one(target.outstanding, sent);
  target.samples.sum_us += usual_work_us(now - sent, target);
  ++target.samples.count;
  if (report.has_value()) {
    take_report(now, target, *report);
  }
  // The current load approximates the load at the arrival of the request.
  const double ahead = static_cast<double>(target.outstanding.size()) + target.others;
  const double work = to_us(now - sent) / target.pace / queue_factor(ahead, target.slots);
  add_work_time(now, target, work);
  typical_us_ =
      typical_us_ == 0 ? work : typical_us_ + options_.sample_weight / 4 * (work - typical_us_);
  target.block = FailureBlock();
}

void TargetBook::on_given_up(TimePoint now, BackendId id, TimePoint sent) {
  TargetView& target = targets_[id];
  erase_one(target.outstanding, sent);
  const double lower_bound_us = usual_work_us(now - sent, target);
  // A shorter time is no sample: the answer may have arrived in the usual time.
  if (lower_bound_us <= work_time_us(now, target)) {
    return;
  }
  target.samples.sum_us += lower_bound_us;
  ++target.samples.count;
  add_work_time(now, target, lower_bound_us);
}

void TargetBook::add_work_time(TimePoint now, TargetView& target, double work_us) {
  const double present = work_time_us(now, target);
  target.work_time_us = present + options_.sample_weight * (work_us - present);
  target.learned_at = now;
}

void TargetBook::take_report(TimePoint now, TargetView& target, const LoadReport& report) {
  constexpr double kPercent = 100.0;
  const double seen = static_cast<double>(report.running) + report.waiting;
  target.others = std::max(0.0, seen - static_cast<double>(target.outstanding.size()));
  target.usual_others += 2 * options_.sample_weight * (target.others - target.usual_others);
  target.pace = std::max(report.work_time_percent.value_or(100U), 1U) / kPercent;
  target.reported_at = now;
  ++target.samples.reports;
  target.samples.waiting += report.waiting;
  target.slots = report.slots > 0 ? report.slots : target.slots;
  typical_load_.others += options_.sample_weight / 4 * (target.others - typical_load_.others);
  typical_load_.pace += options_.sample_weight / 4 * (target.pace - typical_load_.pace);
  typical_load_at_ = now;
}

void TargetBook::on_refused(BackendId id, const LoadReport& report) {
  WorkSamples& samples = targets_[id].samples;
  ++samples.reports;
  samples.waiting += report.waiting;
}

TargetBook::LoadEstimate TargetBook::estimate_load(TimePoint now, const TargetView& target) const {
  const double half_lives = to_us(now - target.reported_at) / to_us(options_.report_half_life);
  const double kept = std::exp2(-half_lives);
  const Duration decay_time =
      std::max<Duration>(Duration(0), now - typical_load_at_ - options_.typical_load_hold);
  const double typical_kept =
      std::exp2(-to_us(decay_time) / to_us(options_.typical_load_half_life));
  const LoadEstimate usual{typical_load_.others * typical_kept,
                           1.0 + (typical_load_.pace - 1.0) * typical_kept};
  return {usual.others + kept * (target.others - usual.others),
          usual.pace + kept * (target.pace - usual.pace)};
}

void TargetBook::on_ended(BackendId id, TimePoint sent) {
  erase_one(targets_[id].outstanding, sent);
}

void TargetBook::block(TimePoint now, BackendId id) {
  targets_[id].block.extend(now, options_.minimum_block, options_.maximum_block);
}

bool TargetBook::is_blocked(TimePoint now, BackendId id) const {
  const auto found = targets_.find(id);
  return found != targets_.end() && found->second.block.is_active(now);
}

std::size_t TargetBook::outstanding(BackendId id) const {
  const auto found = targets_.find(id);
  return found == targets_.end() ? 0 : found->second.outstanding.size();
}

const TargetView* TargetBook::find(BackendId id) const {
  const auto found = targets_.find(id);
  return found == targets_.end() ? nullptr : &found->second;
}

double TargetBook::work_time_us(TimePoint now, const TargetView& target) const {
  const double typical = typical_us_ > 0 ? typical_us_ : to_us(options_.initial_time);
  double time = typical;
  if (target.work_time_us > 0) {
    const double half_lives = to_us(now - target.learned_at) / to_us(options_.work_time_half_life);
    const double kept = std::exp2(-half_lives);
    time = kept * target.work_time_us + (1.0 - kept) * typical;
  } else if (target.is_cold) {
    time *= options_.cold_factor;
  }
  return time;
}

Duration TargetBook::expected_latency(TimePoint now, BackendId id) const {
  const auto found = targets_.find(id);
  if (found == targets_.end()) {
    return options_.initial_time;
  }
  const TargetView& target = found->second;
  const LoadEstimate present = estimate_load(now, target);
  double time = work_time_us(now, target) * present.pace;
  if (!target.outstanding.empty()) {
    const double overdue = to_us(now - *target.outstanding.begin());
    time = overdue > kOverdueFactor * time ? overdue : time;
  }
  const double ahead = static_cast<double>(target.outstanding.size()) + present.others;
  return Duration(static_cast<Duration::rep>(time * queue_factor(ahead, target.slots)));
}

}  // namespace planktray::routing
