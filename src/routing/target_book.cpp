#include "routing/target_book.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace planktray::routing {
namespace {

/// A request that is outstanding for this many times its expected time speaks for a slower target.
constexpr double kOverdueFactor = 2.0;

/// A queue that is expected to be longer than this part of what it holds counts as full: what is
/// known is some hundreds of milliseconds old, and other routers send there, too.
constexpr double kUsableQueue = 0.75;

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
  const double queued = static_cast<double>(target.outstanding.size()) + target.usual_others;
  const double sample = to_us(now - sent) / queue_factor(queued, target.slots);
  target.samples.sum_us += sample;
  ++target.samples.count;
  if (report.has_value()) {
    take_report(now, target, *report);
  }
  // What is there now is about what was there when the request came.
  const double ahead = static_cast<double>(target.outstanding.size()) + target.others;
  const double work = to_us(now - sent) / target.pace / queue_factor(ahead, target.slots);
  const double present = service_time_us(now, target);
  target.time_us = present + options_.weight * (work - present);
  target.learnt_at = now;
  typical_us_ = typical_us_ == 0 ? work : typical_us_ + options_.weight / 4 * (work - typical_us_);
  target.block = Duration(0);
  target.blocked_until = TimePoint();
}

void TargetBook::take_report(TimePoint now, TargetView& target, const LoadReport& report) {
  constexpr double kPercent = 100.0;
  note_load(now, target, report.running, report.waiting);
  target.usual_others += 2 * options_.weight * (target.others - target.usual_others);
  target.pace = std::max(report.work_time_percent.value_or(100U), 1U) / kPercent;
  target.reported_at = now;
  target.slots = report.slots > 0 ? report.slots : target.slots;
  typical_.others += options_.weight / 4 * (target.others - typical_.others);
  typical_.pace += options_.weight / 4 * (target.pace - typical_.pace);
}

void TargetBook::note_load(TimePoint heard, TargetView& target, std::uint32_t running,
                           std::uint32_t waiting) {
  // What was sent after the word is not in it, and counts beside it.
  const auto sent_before = static_cast<double>(
      std::distance(target.outstanding.begin(), target.outstanding.upper_bound(heard)));
  target.others = std::max(0.0, static_cast<double>(running) + waiting - sent_before);
  target.running = running;
  target.waiting = waiting;
  target.load_at = heard;
  longest_queue_ = std::max(longest_queue_, waiting);
}

bool TargetBook::take_room(TimePoint now, const RoomReport& report) {
  const auto found = targets_.find(report.backend);
  const TimePoint heard = now - report.age();
  if (found == targets_.end() || report.age() > kRoomLifetime || heard <= found->second.load_at) {
    return false;
  }
  note_load(heard, found->second, report.running, report.waiting);
  return true;
}

void TargetBook::on_turned_away(TimePoint now, BackendId id,
                                const std::optional<LoadReport>& report) {
  TargetView& target = targets_[id];
  if (report.has_value()) {
    note_load(now, target, report->running, report->waiting);
  }
  const std::uint32_t waiting = report.has_value() ? report->waiting : longest_queue_;
  if (waiting > 0) {
    queue_limit_ = waiting;
  }
}

std::vector<RoomReport> TargetBook::rooms_since(TimePoint now, TimePoint since,
                                                std::size_t most) const {
  std::vector<RoomReport> rooms;
  for (const auto& [id, target] : targets_) {
    if (target.reported_at > since && target.reported_at == target.load_at) {
      RoomReport report{id, target.running, target.waiting};
      report.set_age(now - target.load_at);
      rooms.push_back(report);
    }
  }
  std::sort(rooms.begin(), rooms.end(),
            [](const RoomReport& a, const RoomReport& b) { return a.age_10ms < b.age_10ms; });
  rooms.resize(std::min(rooms.size(), most));
  return rooms;
}

std::optional<Room> TargetBook::room(TimePoint now, BackendId id) const {
  const auto found = targets_.find(id);
  if (found == targets_.end() || now - found->second.load_at > kRoomLifetime) {
    return std::nullopt;
  }
  const TargetView& target = found->second;
  const Belief present = belief(now, target);
  const double turnover_us = service_time_us(now, target) * present.pace / target.slots;
  const auto time_for = [&](double departures) {
    return Duration(static_cast<Duration::rep>(std::max(0.0, departures) * turnover_us));
  };
  Room room;
  room.slots = target.slots;
  room.ahead = static_cast<double>(target.outstanding.size()) + present.others;
  room.expected = projected(now, id);
  room.slot_expected_in = time_for(room.ahead + 1 - target.slots);
  if (queue_limit_.has_value()) {
    const double most = static_cast<double>(target.slots) + kUsableQueue * *queue_limit_;
    room.is_full = room.ahead + 1 > most;
    room.room_expected_in = time_for(room.ahead + 1 - most);
  }
  return room;
}

TargetBook::Belief TargetBook::belief(TimePoint now, const TargetView& target) const {
  const auto kept = [&](TimePoint heard, Duration half) {
    return std::exp2(-to_us(now - heard) / to_us(half));
  };
  const double kept_others = kept(target.load_at, options_.queue_half);
  const double kept_pace = kept(target.reported_at, options_.report_half);
  return {typical_.others + kept_others * (target.others - typical_.others),
          typical_.pace + kept_pace * (target.pace - typical_.pace)};
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

Duration TargetBook::projected(TimePoint now, BackendId id) const {
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
