#include "controller/core/owner_admission.hpp"

#include <algorithm>
#include <cmath>

namespace planktray::controller {

void OwnerAdmission::begin_term(common::TimePoint now) {
  queues_.clear();
  updated_at_ = now;
}

void OwnerAdmission::add_reports(common::TimePoint now,
                                 const std::vector<routing::TargetTime>& times) {
  for (const routing::TargetTime& report : times) {
    Queue& queue = queues_[report.backend];
    queue.answered += report.samples;
    queue.reports += report.reports;
    queue.waiting += report.waiting;
    queue.last_report = now;
  }
}

void OwnerAdmission::update(common::TimePoint now,
                            const std::function<Owner(common::BackendId)>& owner_of) {
  const double seconds = std::chrono::duration<double>(now - updated_at_).count();
  if (seconds <= 0) {
    return;
  }
  updated_at_ = now;
  std::erase_if(queues_,
                [&](const auto& item) { return now - item.second.last_report > options_.memory; });
  for (auto& [id, queue] : queues_) {
    update_queue(queue, seconds, owner_of(id));
  }
}

void OwnerAdmission::update_queue(Queue& queue, double seconds, const Owner& owner) const {
  const double half_lives = seconds / std::chrono::duration<double>(options_.half_life).count();
  const double weight = 1.0 - std::exp2(-half_lives);
  if (queue.reports > 0) {
    queue.length += weight * (static_cast<double>(queue.waiting) / queue.reports - queue.length);
  }
  queue.rate += weight * (queue.answered / seconds - queue.rate);
  // With an empty queue the rate shows what was admitted, not the capacity of the owner.
  const bool is_busy = queue.length >= options_.busy_per_slot * owner.slots;
  queue.capacity = is_busy ? queue.rate : std::max(queue.capacity, queue.rate);
  queue.answered = 0;
  queue.reports = 0;
  queue.waiting = 0;
  queue.is_crowded = queue.is_crowded || queue.length >= options_.crowded_per_slot * owner.slots;
  if (!queue.is_crowded || owner.demand <= 0) {
    queue.admitted_share = 1;
    queue.is_crowded = false;
    return;
  }
  const double excess = queue.length - options_.queue_per_slot * owner.slots;
  const double settle_seconds = std::chrono::duration<double>(options_.settle_time).count();
  const double wanted = queue.capacity - excess / settle_seconds;
  queue.admitted_share = std::clamp(wanted / owner.demand, options_.minimum_share, 1.0);
  queue.is_crowded = queue.admitted_share < 1.0 || excess > 0;
}

std::vector<routing::AdmittedShare> OwnerAdmission::crowded_owners() const {
  constexpr double kPermille = 1000.0;
  std::vector<routing::AdmittedShare> owners;
  for (const auto& [id, queue] : queues_) {
    if (queue.admitted_share < 1.0) {
      owners.push_back(
          {id, static_cast<std::uint32_t>(std::lround(queue.admitted_share * kPermille))});
    }
  }
  if (owners.size() > options_.maximum_published) {
    std::sort(owners.begin(), owners.end(),
              [](const auto& a, const auto& b) { return a.permille < b.permille; });
    owners.resize(options_.maximum_published);
  }
  return owners;
}

}  // namespace planktray::controller
