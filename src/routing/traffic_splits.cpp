#include "routing/traffic_splits.hpp"

#include <cmath>

namespace planktray::routing {
namespace {

/// The golden ratio less one: its multiples are spread more evenly than those of any other number.
constexpr double kStep = 0.61803398874989484820;

}  // namespace

std::optional<std::size_t> TrafficSplits::choose(const config::Route& route,
                                                 common::RandomEngine& random) {
  double total = 0;
  for (const config::RoutePart& part : route.parts) {
    total += part.weight;
  }
  if (total <= 0) {
    return std::nullopt;
  }
  const auto [position, is_new] = positions_.try_emplace(route.name, 0.0);
  const double next = is_new ? common::uniform_real(random) : position->second + kStep;
  position->second = next - std::floor(next);
  const double place = position->second * total;
  std::optional<std::size_t> chosen;
  double end = 0;
  for (std::size_t i = 0; i < route.parts.size(); ++i) {
    if (route.parts[i].weight <= 0) {
      continue;
    }
    chosen = i;  // also the last one if rounding puts the place behind its end
    end += route.parts[i].weight;
    if (place < end) {
      break;
    }
  }
  return chosen;
}

}  // namespace planktray::routing
