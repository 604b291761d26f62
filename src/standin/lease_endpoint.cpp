#include "standin/lease_endpoint.hpp"

#include "transport/event_loop.hpp"
#include "transport/json_messages.hpp"

namespace planktray::standin {
namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusConflict = 409;

}  // namespace

void answer_lease(BackendCore& core, const transport::ExchangePointer& exchange) {
  const auto request = transport::parse_lease_request(exchange->body(), "controller");
  if (!request.has_value()) {
    return exchange->respond_error(request.error());
  }
  const ownership::LeaseReply reply = core.on_lease(transport::boot_time_now(), *request);
  const bool accepted = reply.status == ownership::LeaseStatus::kAccepted;
  exchange->respond_json(accepted ? kStatusOk : kStatusConflict, transport::to_json(reply));
}

}  // namespace planktray::standin
