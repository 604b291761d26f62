#include "router/relay_codec.hpp"

#include <utility>

#include "common/parse_number.hpp"

namespace planktray::router {
namespace {

constexpr const char* kCell = "Planktray-Relay-Cell";
constexpr const char* kAttempt = "Planktray-Relay-Attempt";
constexpr const char* kBackend = "Planktray-Relay-Backend";
constexpr const char* kRepeatable = "Planktray-Relay-Repeatable";
constexpr const char* kTable = "Planktray-Relay-Table";
constexpr const char* kResult = "Planktray-Relay-Result";
constexpr const char* kLoad = "Planktray-Relay-Load";

constexpr std::string_view kYes = "1";
constexpr std::string_view kAnswered = "answered";
constexpr std::string_view kUnknown = "unknown";
constexpr std::string_view kConnectionEnded = "connection-ended";
constexpr std::size_t kMaxAttemptLength = 20;

tl::unexpected<common::Error> bad_relay(const std::string& message) {
  return common::fail(common::ErrorCode::kInvalid, "read relayed request", "", message);
}

std::string_view result_text(const RelayStatement& statement) {
  if (statement.refusal != routing::RelayRefusal::kNone) {
    return routing::to_string(statement.refusal);
  }
  if (statement.is_answer) {
    return kAnswered;
  }
  return statement.connection_ended ? kConnectionEnded : kUnknown;
}

}  // namespace

void encode_relay(const common::CellName& cell, const Forward& forward,
                  transport::HttpRequest& request) {
  strip_relay_headers(request.headers);
  const std::string attempt = std::to_string(forward.attempt);
  request.address = forward.peer;
  request.headers.emplace_back(kCell, cell.value);
  request.headers.emplace_back(kAttempt, attempt);
  request.headers.emplace_back(kBackend, std::to_string(forward.backend.value));
  request.headers.emplace_back(kTable, std::to_string(forward.table_index.value));
  if (forward.repeatable) {
    request.headers.emplace_back(kRepeatable, kYes);
  }
  request.answer_header = kAttempt;
  request.answer_value = attempt;
  request.settle_time = common::Duration(0);
}

common::Result<RelayedRequest> decode_relay(const common::CellName& cell,
                                            const transport::HeaderList& headers) {
  RelayedRequest relayed;
  if (transport::find_header(headers, kCell) != cell.value) {
    return bad_relay("another cell, or no relayed request");
  }
  relayed.attempt = std::string(transport::find_header(headers, kAttempt));
  if (relayed.attempt.empty() || relayed.attempt.size() > kMaxAttemptLength) {
    return bad_relay("no attempt");
  }
  if (!common::parse_number(transport::find_header(headers, kBackend),
                            relayed.call.backend.value)) {
    return bad_relay("no back end");
  }
  if (!common::parse_number(transport::find_header(headers, kTable),
                            relayed.call.table_index.value)) {
    return bad_relay("no table index");
  }
  relayed.call.repeatable = transport::find_header(headers, kRepeatable) == kYes;
  return relayed;
}

transport::HeaderList encode_statement(const std::string& attempt,
                                       const RelayStatement& statement) {
  transport::HeaderList headers = {{kAttempt, attempt},
                                   {kResult, std::string(result_text(statement))}};
  if (statement.load.has_value()) {
    headers.emplace_back(kLoad, std::to_string(*statement.load));
  }
  return headers;
}

common::Result<RelayStatement> decode_statement(const transport::HttpResponse& response) {
  RelayStatement statement;
  const std::string_view result = response.header(kResult);
  statement.is_answer = result == kAnswered;
  statement.connection_ended = result == kConnectionEnded;
  const bool is_refusal = routing::parse_relay_refusal(result, statement.refusal) &&
                          statement.refusal != routing::RelayRefusal::kNone;
  const bool is_unknown = statement.connection_ended || result == kUnknown;
  if (!statement.is_answer && !is_refusal && !is_unknown) {
    return common::fail(common::ErrorCode::kCorrupt, "read relayed answer", "", "no known result");
  }
  std::uint32_t load = 0;
  if (common::parse_number(response.header(kLoad), load)) {
    statement.load = load;
  }
  return statement;
}

void strip_relay_headers(transport::HeaderList& headers) {
  std::erase_if(headers, [](const auto& header) {
    return transport::begins_with_ignoring_case(header.first, kRelayPrefix);
  });
}

}  // namespace planktray::router
