#include "sim/repeat_audit.hpp"

#include <algorithm>

namespace planktray::sim {
namespace {

constexpr common::Duration kSlot = std::chrono::milliseconds(100);

}  // namespace

RepeatAudit::Slot& RepeatAudit::slot_at(common::TimePoint now, std::size_t service) {
  const std::int64_t number = now.time_since_epoch() / kSlot;
  first_slot_ = first_slot_ < 0 ? number : first_slot_;
  std::vector<Slot>& slots = services_.at(service).slots;
  const auto index = static_cast<std::size_t>(number - first_slot_);
  slots.resize(std::max(slots.size(), index + 1));
  return slots[index];
}

void RepeatAudit::on_request(common::TimePoint now, std::size_t service) {
  ++slot_at(now, service).requests;
}

void RepeatAudit::on_arrival(common::TimePoint now, std::size_t service, std::uint64_t request) {
  if (!services_.at(service).arrived.insert(request).second) {
    ++slot_at(now, service).repeats;
    ++repeats_;
  }
}

void RepeatAudit::judge(const std::function<void(const std::string&)>& report) const {
  const auto window = static_cast<std::int64_t>(terms_.window / kSlot);
  for (std::size_t number = 0; number < services_.size(); ++number) {
    const std::vector<Slot>& slots = services_[number].slots;
    const auto sum = [&](std::int64_t first, auto field) {
      std::uint32_t total = 0;
      const auto end = std::min<std::int64_t>(first + window, std::ssize(slots));
      for (std::int64_t i = std::max<std::int64_t>(0, first); i < end; ++i) {
        total += slots[static_cast<std::size_t>(i)].*field;
      }
      return total;
    };
    double worst = 0;
    std::string text;
    for (std::int64_t first = 0; first < std::ssize(slots); ++first) {
      // The requests of this window, of the one before, or of the one half a window before.
      const std::uint32_t requests =
          std::max({sum(first, &Slot::requests), sum(first - window, &Slot::requests),
                    sum(first - window / 2, &Slot::requests)});
      const double allowed = terms_.ratio * requests + terms_.extra;
      const std::uint32_t repeats = sum(first, &Slot::repeats);
      if (repeats - allowed > worst) {
        worst = repeats - allowed;
        text = "service " + std::to_string(number) + " gets " + std::to_string(repeats) +
               " repeats in a window, allowed are " + std::to_string(static_cast<int>(allowed));
      }
    }
    if (worst > 0) {
      report(text);
    }
  }
}

}  // namespace planktray::sim
