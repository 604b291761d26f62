#pragma once
/// `PUT /planktray/v1/lease` of a stand-in back end.

#include "standin/core/backend_core.hpp"
#include "transport/http_server.hpp"

namespace planktray::standin {

/// Passes the lease request to `core` and responds with its reply.
void answer_lease(BackendCore& core, const transport::ExchangePointer& exchange);

}  // namespace planktray::standin
