#include "routing/rate_share.hpp"

#include <algorithm>

namespace planktray::routing {
namespace {

/// Intervals that differ by less count as the same: routers come and go one by one.
constexpr double kChange = 1.5;

common::Duration part_of(common::Duration interval, common::RandomEngine& random) {
  const double drawn = common::uniform_real(random) * static_cast<double>(interval.count());
  return common::Duration(static_cast<common::Duration::rep>(drawn));
}

}  // namespace

common::Duration RateShare::interval(double rate, std::uint32_t routers) const {
  constexpr double kMicrosecondsPerSecond = 1e6;
  constexpr double kLongestSeconds = 1e6;  // a rate close to 0 would overflow
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
  const auto [found, is_new] = parts_.try_emplace(target);
  Part& part = found->second;
  if (is_new) {
    part = {now + part_of(present, random), present};
  }
  bring_up_to_date(now, part, present, random);
  return now >= part.next;
}

void RateShare::bring_up_to_date(common::TimePoint now, Part& part, common::Duration interval,
                                 common::RandomEngine& random) const {
  const double change =
      static_cast<double>(interval.count()) /
      static_cast<double>(std::max<common::Duration::rep>(part.interval.count(), 1));
  if (change > kChange) {
    part = {now + part_of(interval, random), interval};  // moments drawn for a higher rate are many
  } else if (change < 1 / kChange) {
    part = {std::min(part.next, now + part_of(interval, random)), interval};
  }
  const bool is_over = interval > options_.open_for && now > part.next + options_.open_for;
  if (is_over) {
    part.next += interval * ((now - part.next - options_.open_for) / interval + 1);
  }
}

void RateShare::on_sent(common::TimePoint now, common::BackendId target, double rate,
                        std::uint32_t routers) {
  if (rate <= 0) {
    return;
  }
  const common::Duration present = interval(rate, routers);
  Part& part = parts_[target];
  // Counted from its moment, so that moments of different routers stay independent of demand.
  const bool was_due = present > options_.open_for && part.interval.count() > 0 && now >= part.next;
  part = {(was_due ? part.next : now) + present, present};
}

}  // namespace planktray::routing
