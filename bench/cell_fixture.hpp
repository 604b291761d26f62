#pragma once
/// A cell's state at a chosen size: one tenant whose shards are spread over its back ends.

#include <string>

#include "ownership/cell_state.hpp"

namespace planktray::bench {

struct CellSize {
  std::uint32_t backends = 0;
  std::uint32_t shards = 0;
};

/// What the making of a cell cost.
struct CellCost {
  double register_us = 0;  ///< for each back end
  double assign_us = 0;    ///< for each shard
  double backend_bytes = 0;
  double shard_bytes = 0;
};

/// Makes the state by applying commands, as a replica does.
ownership::CellState make_cell(const CellSize& size, CellCost& cost);

}  // namespace planktray::bench
