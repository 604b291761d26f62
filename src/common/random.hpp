#pragma once
/// Random numbers. Callers pass the engine, so that the simulator can seed it.

#include <cstdint>
#include <random>

namespace planktray::common {

using RandomEngine = std::mt19937_64;

/// Returns a random integer in [low, high]; `high` must not be below `low`. The same engine state
/// gives the same number on every platform, which std::uniform_int_distribution does not guarantee.
inline std::uint64_t uniform(RandomEngine& engine, std::uint64_t low, std::uint64_t high) {
  return low + engine() % (high - low + 1);
}

/// Returns a uniform real number in [0, 1).
inline double uniform_real(RandomEngine& engine) {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(engine() >> 11U) * kScale;
}

/// Returns true with the given probability.
inline bool chance(RandomEngine& engine, double probability) {
  return uniform_real(engine) < probability;
}

}  // namespace planktray::common
