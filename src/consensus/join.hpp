#pragma once
/// The request of a controller with a new data folder to join its cell.

#include "consensus/messages.hpp"

namespace planktray::consensus {

/// Sent to every configured peer until the leader has added the sender as a member.
struct JoinRequest {
  common::CellName cell;
  Member candidate;
  MSGPACK_DEFINE_ARRAY(cell, candidate)
};

}  // namespace planktray::consensus
