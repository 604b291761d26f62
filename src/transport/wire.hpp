#pragma once
/// Messages between planktray processes, sent as ZeroMQ frames: [protocol version][MessagePack of
/// WireMessage].

#include <string>
#include <string_view>

#include "common/codec.hpp"
#include "consensus/join.hpp"
#include "consensus/messages.hpp"
#include "membership/heartbeat_report.hpp"
#include "ownership/relayed_heartbeats.hpp"
#include "routing/table_messages.hpp"

namespace planktray::transport {

/// Changed whenever an older process could misread a message.
inline constexpr std::string_view kProtocolVersion = "planktray/3";

using WireMessage = common::EncodedVariant<consensus::RaftMessage, consensus::JoinRequest,
                                           routing::RouterHello, routing::TableUpdate,
                                           membership::HeartbeatReport, routing::ControllerList,
                                           ownership::HolderHeartbeats, ownership::RelayedAnswers>;

/// Returns true for the encoding of a consensus message, without decoding it.
inline bool is_consensus_message(std::string_view body) {
  // A variant is an array of two elements, the first of which is the index of the alternative.
  constexpr std::string_view kBeginning("\x92\x00", 2);
  return body.starts_with(kBeginning);
}

}  // namespace planktray::transport
