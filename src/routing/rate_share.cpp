#include "routing/rate_share.hpp"

#include <algorithm>

namespace planktray::routing {
namespace {

/// Intervals that differ by a smaller factor count as unchanged, since the number of routers
/// changes in small steps.
constexpr double kSignificantChange = 1.5;

common::Duration random_fraction(common::Duration interval, common::RandomEngine& random) {
  const double drawn = common::uniform_real(random) * static_cast<double>(interval.count());
  return common::Duration(static_cast<common::Duration::rep>(drawn));
}

}  // namespace

common::Duration RateShare::interval(double rate, std::uint32_t routers) const {
  constexpr double kMicrosecondsPerSecond = 1e6;
  constexpr double kLongestSeconds = 1e6;  // prevents an overflow at rates close to 0
  const double seconds = std::max<std::uint32_t>(1, routers) / (options_.share * rate);
  return common::Duration(static_cast<common::Duration::rep>(std::min(seconds, kLongestSeconds) *
                                                             kMicrosecondsPerSecond));
}

bool RateShare::allows(common::TimePoint now, common::BackendId target, double rate,
                       std::uint32_t routers, common::RandomEngine& random) {
  if (rate <= 0 || !options_.is_enabled) {
    return true;
  }
  const common::Duration present = interval(rate, routers);
  const auto [found, is_new] = slots_.try_emplace(target);
  Slot& slot = found->second;
  if (is_new) {
    slot = {now + random_fraction(present, random), present};
  }
  update(now, slot, present, random);
  return now >= slot.next;
}

void RateShare::update(common::TimePoint now, Slot& slot, common::Duration interval,
                       common::RandomEngine& random) const {
  const double change =
      static_cast<double>(interval.count()) /
      static_cast<double>(std::max<common::Duration::rep>(slot.interval.count(), 1));
  if (change > kSignificantChange) {
    // The routers' slots were drawn for a higher rate and are too many together.
    slot = {now + random_fraction(interval, random), interval};
  } else if (change < 1 / kSignificantChange) {
    slot = {std::min(slot.next, now + random_fraction(interval, random)), interval};
  }
  const bool is_expired = interval > options_.open_for && now > slot.next + options_.open_for;
  if (is_expired) {
    slot.next += interval * ((now - slot.next - options_.open_for) / interval + 1);
  }
}

void RateShare::on_sent(common::TimePoint now, common::BackendId target, double rate,
                        std::uint32_t routers) {
  if (rate <= 0) {
    return;
  }
  const common::Duration present = interval(rate, routers);
  Slot& slot = slots_[target];
  // Counted from the start of the used slot, so that the slots of different routers stay
  // independent of the demand.
  const bool was_due = present > options_.open_for && slot.interval.count() > 0 && now >= slot.next;
  slot = {(was_due ? slot.next : now) + present, present};
}

}  // namespace planktray::routing
