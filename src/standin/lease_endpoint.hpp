#pragma once
/// `PUT /planktray/v1/lease` of a stand-in back end.

#include "standin/core/backend_core.hpp"
#include "transport/http_server.hpp"

namespace planktray::standin {

/// Takes the request to the back end and answers with what it says.
void answer_lease(BackendCore& core, const transport::ExchangePointer& exchange);

}  // namespace planktray::standin
