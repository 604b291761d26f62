#include "routing/target_book.hpp"

#include <algorithm>
#include <cmath>

namespace planktray::routing {
namespace {

/// A request that is outstanding for this many times its expected time speaks for a slower target.
constexpr double kOverdueFactor = 2.0;

double to_us(Duration value) { return static_cast<double>(value.count()); }

/// How many times longer than its work a request takes where `ahead` others are at the target.
double queue_factor(double ahead, std::uint32_t slots) {
  return 1.0 + std::max(0.0, ahead + 1.0 - slots) / slots;
}

void erase_one(std::multiset<TimePoint>& times, TimePoint time) {
  const auto found = times.find(time);
  if (found != times.end()) {
    times.erase(found);
  }
}

/// Time of work where a request took so long, freed of what is usually queued there.
double usual_work_us(Duration took, const TargetView& target) {
  const double queued = static_cast<double>(target.outstanding.size()) + target.usual_others;
  return to_us(took) / queue_factor(queued, target.slots);
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
  // What is there now is about what was there when the request came.
  const double ahead = static_cast<double>(target.outstanding.size()) + target.others;
  const double work = to_us(now - sent) / target.pace / queue_factor(ahead, target.slots);
  learn(now, target, work);
  typical_us_ = typical_us_ == 0 ? work : typical_us_ + options_.weight / 4 * (work - typical_us_);
  target.block = Duration(0);
  target.blocked_until = TimePoint();
}

void TargetBook::on_given_up(TimePoint now, BackendId id, TimePoint sent) {
  TargetView& target = targets_[id];
  erase_one(target.outstanding, sent);
  const double least = usual_work_us(now - sent, target);
  // A shorter time says nothing: the answer may have been as far off as usual.
  if (least <= service_time_us(now, target)) {
    return;
  }
  target.samples.sum_us += least;
  ++target.samples.count;
  learn(now, target, least);
}

void TargetBook::learn(TimePoint now, TargetView& target, double work_us) {
  const double present = service_time_us(now, target);
  target.time_us = present + options_.weight * (work_us - present);
  target.learnt_at = now;
}

void TargetBook::take_report(TimePoint now, TargetView& target, const LoadReport& report) {
  constexpr double kPercent = 100.0;
  const double seen = static_cast<double>(report.running) + report.waiting;
  target.others = std::max(0.0, seen - static_cast<double>(target.outstanding.size()));
  target.usual_others += 2 * options_.weight * (target.others - target.usual_others);
  target.pace = std::max(report.work_time_percent.value_or(100U), 1U) / kPercent;
  target.reported_at = now;
  ++target.samples.reports;
  target.samples.waiting += report.waiting;
  target.slots = report.slots > 0 ? report.slots : target.slots;
  typical_.others += options_.weight / 4 * (target.others - typical_.others);
  typical_.pace += options_.weight / 4 * (target.pace - typical_.pace);
  typical_at_ = now;
}

void TargetBook::on_refused(BackendId id, const LoadReport& report) {
  WorkSamples& samples = targets_[id].samples;
  ++samples.reports;
  samples.waiting += report.waiting;
}

TargetBook::Belief TargetBook::belief(TimePoint now, const TargetView& target) const {
  const double half_lives = to_us(now - target.reported_at) / to_us(options_.report_half);
  const double kept = std::exp2(-half_lives);
  const Duration unheard =
      std::max<Duration>(Duration(0), now - typical_at_ - options_.typical_hold);
  const double heard = std::exp2(-to_us(unheard) / to_us(options_.typical_half));
  const Belief usual{typical_.others * heard, 1.0 + (typical_.pace - 1.0) * heard};
  return {usual.others + kept * (target.others - usual.others),
          usual.pace + kept * (target.pace - usual.pace)};
}

void TargetBook::on_ended(BackendId id, TimePoint sent) {
  erase_one(targets_[id].outstanding, sent);
}

void TargetBook::block(TimePoint now, BackendId id) {
  TargetView& target = targets_[id];
  target.block = std::clamp(target.block * 2, options_.minimum_block, options_.maximum_block);
  target.blocked_until = std::max(target.blocked_until, now + target.block);
}

bool TargetBook::is_blocked(TimePoint now, BackendId id) const {
  const auto found = targets_.find(id);
  return found != targets_.end() && now < found->second.blocked_until;
}

std::size_t TargetBook::outstanding(BackendId id) const {
  const auto found = targets_.find(id);
  return found == targets_.end() ? 0 : found->second.outstanding.size();
}

const TargetView* TargetBook::find(BackendId id) const {
  const auto found = targets_.find(id);
  return found == targets_.end() ? nullptr : &found->second;
}

double TargetBook::service_time_us(TimePoint now, const TargetView& target) const {
  const double typical = typical_us_ > 0 ? typical_us_ : to_us(options_.initial_time);
  double time = typical;
  if (target.time_us > 0) {
    const double half_lives = to_us(now - target.learnt_at) / to_us(options_.forget_half);
    const double kept = std::exp2(-half_lives);
    time = kept * target.time_us + (1.0 - kept) * typical;
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
  const Belief present = belief(now, target);
  double time = service_time_us(now, target) * present.pace;
  if (!target.outstanding.empty()) {
    const double overdue = to_us(now - *target.outstanding.begin());
    time = overdue > kOverdueFactor * time ? overdue : time;
  }
  const double ahead = static_cast<double>(target.outstanding.size()) + present.others;
  return Duration(static_cast<Duration::rep>(time * queue_factor(ahead, target.slots)));
}

}  // namespace planktray::routing
