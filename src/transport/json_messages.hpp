#pragma once
/// JSON encoding of the messages exchanged with back ends and the platform (docs/PROTOCOLS.md).
/// Unknown fields are ignored; missing fields are an error.

#include <string>
#include <string_view>

#include "common/error.hpp"
#include "membership/machine_list.hpp"
#include "ownership/lease_messages.hpp"

namespace planktray::transport {

std::string to_json(const ownership::LeaseRequest& request);
common::Result<ownership::LeaseRequest> parse_lease_request(std::string_view body,
                                                            const std::string& peer);
/// Body of a lease reply; its status is encoded as HTTP status and "reason".
std::string to_json(const ownership::LeaseReply& reply);
common::Result<ownership::LeaseReply> parse_lease_reply(unsigned status, std::string_view body,
                                                        const std::string& peer);

std::string to_json(const ownership::ReleaseRequest& request);
common::Result<ownership::ReleaseRequest> parse_release_request(std::string_view body,
                                                                const std::string& peer);
std::string to_json(const ownership::ReleaseReply& reply, std::int64_t clock_us);
common::Result<ownership::ReleaseReply> parse_release_reply(unsigned status, std::string_view body,
                                                            const std::string& peer);

std::string to_json(const membership::MachineList& list);
common::Result<membership::MachineList> parse_machine_list(std::string_view body,
                                                           const std::string& peer);

}  // namespace planktray::transport
