#pragma once
/// How a controller with a new data folder asks to be taken into its cell.

#include "consensus/messages.hpp"

namespace planktray::consensus {

/// Sent to every configured peer until a leader has made the sender a member.
struct JoinRequest {
  common::CellName cell;
  Member candidate;
  MSGPACK_DEFINE_ARRAY(cell, candidate)
};

}  // namespace planktray::consensus
