#pragma once
/// A cell state of a given size: one tenant whose shards are spread over the back ends.

#include <string>

#include "ownership/cell_state.hpp"

namespace planktray::bench {

struct CellSize {
  std::uint32_t backends = 0;
  std::uint32_t shards = 0;
};

/// Cost of building a cell state.
struct CellCost {
  double register_us = 0;  ///< per back end
  double assign_us = 0;    ///< per shard
  double backend_bytes = 0;
  double shard_bytes = 0;
};

/// Builds the state by applying commands, as a replica does.
ownership::CellState make_cell(const CellSize& size, CellCost& cost);

}  // namespace planktray::bench
