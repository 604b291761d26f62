#pragma once
/// Encoding of relayed requests between routers: the request as it goes to the back end, over HTTP,
/// with headers that name the back end. The answer is the back end's, with headers that say so, or
/// states why there is none.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/error.hpp"
#include "router/core/caller_request.hpp"
#include "router/core/router_effects.hpp"
#include "transport/http_client.hpp"
#include "transport/http_message.hpp"

namespace planktray::router {

/// Prefix of all headers of this protocol. They concern two routers only and go no further.
inline constexpr std::string_view kRelayPrefix = "Planktray-Relay-";
/// Upper bound of the length of these headers in one message.
inline constexpr std::size_t kRelayHeaderBytes = 1024;

/// A relayed request, as its receiver reads it.
struct RelayedRequest {
  std::string attempt;  ///< number by which the sender recognizes the answer
  RelayCall call;
};

/// What a peer states beside the answer of the back end.
struct RelayStatement {
  bool is_answer = false;  ///< the rest of the message is the back end's answer
  routing::RelayRefusal refusal = routing::RelayRefusal::kNone;  ///< set: proven not to have run
  bool connection_ended = false;  ///< of the peer to the back end, with the request under way
  std::optional<std::uint32_t> load;
};

/// Directs an encoded request for a back end to a peer instead.
void encode_relay(const common::CellName& cell, const Forward& forward,
                  transport::HttpRequest& request);
/// @return kInvalid if the headers are malformed or name another cell.
common::Result<RelayedRequest> decode_relay(const common::CellName& cell,
                                            const transport::HeaderList& headers);

/// Returns the headers that state how a relayed request ended.
transport::HeaderList encode_statement(const std::string& attempt, const RelayStatement& statement);
/// @return kCorrupt if the answer is not that of a router.
common::Result<RelayStatement> decode_statement(const transport::HttpResponse& response);

/// Removes the headers of this protocol.
void strip_relay_headers(transport::HeaderList& headers);

}  // namespace planktray::router
