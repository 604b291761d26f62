/// A leader that has no processor time left.

#include <doctest/doctest.h>

#include "loaded_cell.hpp"

namespace planktray::controller {
namespace {

using testing::LoadedCell;
using testing::LoadedCellOptions;
using testing::milliseconds;

/// Holders that one leader answers beside frequent changes of the tables.
constexpr std::size_t kHolders = 459;
constexpr double kLeastShare = 0.95;

struct Renewals {
  std::size_t holding = 0;       ///< holders with valid grants at the end
  std::uint64_t per_second = 0;  ///< answered in time, in the last seconds
};

/// A change of leader beside frequent changes of the tables, with this many holders.
Renewals change_leader(std::size_t holders) {
  LoadedCellOptions options;
  options.holders = holders;
  LoadedCell cell(options);
  cell.run_for(milliseconds(8000));
  cell.change_often();
  cell.run_for(milliseconds(4000));
  cell.cut(cell.leader().value());
  cell.run_for(milliseconds(10'000));
  constexpr std::uint64_t kMeasuredSeconds = 5;
  const std::uint64_t before = cell.renewals();
  cell.run_for(std::chrono::seconds(kMeasuredSeconds));
  return {cell.holding(), (cell.renewals() - before) / kMeasuredSeconds};
}

// Guards against overload that feeds itself: renewals that a full leader answered too late made
// holders reconnect and keys move, and each move was one more update for every router.
TEST_CASE("a full leader goes on renewing grants at two three and five times the load") {
  const Renewals usual = change_leader(kHolders);
  CHECK(usual.holding >= kLeastShare * kHolders);
  for (const std::size_t factor : {2, 3, 5}) {
    CAPTURE(factor);
    const Renewals loaded = change_leader(factor * kHolders);
    CHECK(loaded.per_second >= usual.per_second);
    CHECK(loaded.holding >= kLeastShare * static_cast<double>(factor * kHolders));
  }
}

}  // namespace
}  // namespace planktray::controller
