#pragma once
/// Messages between planktray processes, sent as ZeroMQ frames: [protocol version][MessagePack of
/// WireMessage].

#include <string>
#include <string_view>

#include "common/codec.hpp"
#include "consensus/join.hpp"
#include "consensus/messages.hpp"
#include "membership/heartbeat_report.hpp"
#include "routing/table_messages.hpp"

namespace planktray::transport {

/// Changed whenever an older process could misread a message.
inline constexpr std::string_view kProtocolVersion = "planktray/3";

using WireMessage = common::EncodedVariant<consensus::RaftMessage, consensus::JoinRequest,
                                           routing::RouterHello, routing::TableUpdate,
                                           membership::HeartbeatReport, routing::ControllerList>;

}  // namespace planktray::transport
