#pragma once
/// The request of a controller with a new data folder to join its cell.

#include "consensus/messages.hpp"

namespace planktray::consensus {

/// Sent to the controllers that the candidate knows until the leader has added it as a member. A
/// follower forwards the request to the leader.
struct JoinRequest {
  common::CellName cell;
  Member candidate;
  bool is_forwarded = false;  ///< a follower has sent it; it is not forwarded again
  MSGPACK_DEFINE_ARRAY(cell, candidate, is_forwarded)
};

}  // namespace planktray::consensus
