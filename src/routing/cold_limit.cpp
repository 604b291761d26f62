#include "routing/cold_limit.hpp"

#include <algorithm>

namespace planktray::routing {

common::Duration ColdLimit::interval(double rate, std::uint32_t routers) const {
  constexpr double kMicrosecondsPerSecond = 1e6;
  const double seconds = std::max<std::uint32_t>(1, routers) / (options_.share * rate);
  return common::Duration(static_cast<common::Duration::rep>(seconds * kMicrosecondsPerSecond));
}

bool ColdLimit::allows(common::TimePoint now, common::BackendId target, double rate,
                       std::uint32_t routers, common::RandomEngine& random) {
  if (rate <= 0 || !options_.holds) {
    return true;
  }
  const auto [found, is_new] = next_.try_emplace(target);
  if (is_new) {
    const auto phase =
        common::uniform_real(random) * static_cast<double>(interval(rate, routers).count());
    found->second = now + common::Duration(static_cast<common::Duration::rep>(phase));
  }
  return now >= found->second;
}

void ColdLimit::on_sent(common::TimePoint now, common::BackendId target, double rate,
                        std::uint32_t routers) {
  if (rate > 0) {
    next_[target] = now + interval(rate, routers);
  }
}

}  // namespace planktray::routing
