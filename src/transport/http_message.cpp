#include "transport/http_message.hpp"

#include <algorithm>
#include <cctype>

namespace planktray::transport {
namespace {

constexpr unsigned kFirstStatus = 100;
constexpr unsigned kLastStatus = 599;
constexpr unsigned kStatusNoContent = 204;
constexpr unsigned kStatusNotModified = 304;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kFirstRedirect = 300;
/// Larger bodies are not copied while they grow: room is made for the longest possible one.
constexpr std::size_t kCopiedBodyBytes = std::size_t{1} << 20U;
constexpr int kContinueParsing = 0;
constexpr int kStopParsing = 1;
constexpr int kNoBodyFollows = 1;

HttpReader& reader_of(http_parser* parser) { return *static_cast<HttpReader*>(parser->data); }

char lower(char letter) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
}

/// Whether Content-Length must be sent: for any request that has or usually has a body.
bool needs_content_length(std::string_view method, std::size_t body_bytes) {
  return body_bytes > 0 || method == "POST" || method == "PUT" || method == "PATCH";
}

const char* reason_of(unsigned status) {
  const char* text = http_status_str(static_cast<http_status>(status));
  return text == nullptr ? "" : text;
}

void append_headers(std::string& out, const HeaderList& headers) {
  for (const auto& [name, value] : headers) {
    out.append(name).append(": ").append(value).append("\r\n");
  }
}

}  // namespace

bool equals_ignoring_case(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](char a, char b) { return lower(a) == lower(b); });
}

bool begins_with_ignoring_case(std::string_view text, std::string_view prefix) {
  return equals_ignoring_case(text.substr(0, prefix.size()), prefix);
}

bool allows_body(unsigned status) {
  return status >= kFirstFinalStatus && status != kStatusNoContent && status != kStatusNotModified;
}

bool is_success(unsigned status) { return status >= kFirstFinalStatus && status < kFirstRedirect; }

std::size_t message_memory(const HttpMessage& message) {
  std::size_t head =
      message.target.size() + message.headers.size() * sizeof(HeaderList::value_type);
  for (const auto& [name, value] : message.headers) {
    head += name.size() + value.size();
  }
  return 2 * head + message.body.size();
}

std::string_view find_header(const HeaderList& headers, std::string_view name) {
  const auto found = std::find_if(headers.begin(), headers.end(), [name](const auto& header) {
    return equals_ignoring_case(header.first, name);
  });
  return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

HttpReader::HttpReader(HttpRole role, HttpLimits limits) : role_(role), limits_(limits) { reset(); }

const http_parser_settings& HttpReader::callbacks() {
  static const http_parser_settings kCallbacks = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = on_url;
    settings.on_header_field = on_header_field;
    settings.on_header_value = on_header_value;
    settings.on_headers_complete = on_headers_complete;
    settings.on_body = on_body;
    settings.on_message_complete = on_message_complete;
    return settings;
  }();
  return kCallbacks;
}

void HttpReader::reset() {
  http_parser_init(&parser_, role_ == HttpRole::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
  message_ = HttpMessage();
  header_bytes_ = 0;
  stated_body_ = 0;
  begun_ = false;
  has_head_ = false;
  whole_ = false;
  in_value_ = false;
}

std::size_t HttpReader::feed(std::string_view bytes) {
  if (whole_ || has_failed() || bytes.empty()) {
    return 0;
  }
  begun_ = true;
  const std::size_t taken = http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
  if (whole_) {
    return taken;
  }
  const bool stopped = HTTP_PARSER_ERRNO(&parser_) != HPE_OK;
  if (stopped && !has_failed()) {
    failure_ = ReadFailure::kMalformed;
  }
  return taken;
}

void HttpReader::finish() {
  if (whole_ || has_failed()) {
    return;
  }
  if (begun_) {
    http_parser_execute(&parser_, &callbacks(), nullptr, 0);
  }
  if (!whole_) {
    failure_ = ReadFailure::kCutShort;
  }
}

std::size_t HttpReader::body_left() const {
  return has_length() && !whole_ ? parser_.content_length : 0;
}

std::size_t HttpReader::memory() const {
  return header_bytes_ + message_.body.size() +
         message_.headers.capacity() * sizeof(HeaderList::value_type);
}

bool HttpReader::ends_with_connection() const {
  const bool is_chunked = (parser_.flags & F_CHUNKED) != 0;
  return role_ == HttpRole::kResponse && has_head_ && !is_bodyless() && !is_chunked &&
         !has_length();
}

bool HttpReader::has_length() const {
  constexpr std::uint64_t kNoLength = UINT64_MAX;
  return has_head_ && !is_bodyless() && (parser_.flags & F_CHUNKED) == 0 &&
         parser_.content_length != kNoLength;
}

HttpMessage HttpReader::take() {
  HttpMessage taken = std::move(message_);
  reset();
  return taken;
}

bool HttpReader::count_header(std::size_t bytes) {
  header_bytes_ += bytes;
  if (header_bytes_ > limits_.header_bytes) {
    failure_ = ReadFailure::kHeaderTooLarge;
    return false;
  }
  return true;
}

int HttpReader::on_url(http_parser* parser, const char* at, std::size_t length) {
  HttpReader& reader = reader_of(parser);
  reader.message_.target.append(at, length);
  return reader.count_header(length) ? kContinueParsing : kStopParsing;
}

int HttpReader::on_header_field(http_parser* parser, const char* at, std::size_t length) {
  HttpReader& reader = reader_of(parser);
  if (reader.has_head_) {
    return reader.count_header(length) ? kContinueParsing : kStopParsing;  // trailers are ignored
  }
  if (reader.in_value_ || reader.message_.headers.empty()) {
    reader.message_.headers.emplace_back();
    reader.in_value_ = false;
  }
  reader.message_.headers.back().first.append(at, length);
  return reader.count_header(length) ? kContinueParsing : kStopParsing;
}

int HttpReader::on_header_value(http_parser* parser, const char* at, std::size_t length) {
  HttpReader& reader = reader_of(parser);
  reader.in_value_ = true;
  if (reader.has_head_) {
    return reader.count_header(length) ? kContinueParsing : kStopParsing;
  }
  reader.message_.headers.back().second.append(at, length);
  return reader.count_header(length) ? kContinueParsing : kStopParsing;
}

int HttpReader::on_headers_complete(http_parser* parser) { return reader_of(parser).end_head(); }

int HttpReader::end_head() {
  has_head_ = true;
  if (role_ == HttpRole::kRequest) {
    message_.method = http_method_str(static_cast<http_method>(parser_.method));
  } else {
    message_.status = parser_.status_code;
    if (message_.status < kFirstStatus || message_.status > kLastStatus) {
      failure_ = ReadFailure::kMalformed;
      return -1;
    }
  }
  constexpr std::uint64_t kNoLength = UINT64_MAX;
  const bool stated = parser_.content_length != kNoLength;
  if (is_bodyless()) {
    return kNoBodyFollows;
  }
  if (stated && parser_.content_length > limits_.body_bytes) {
    failure_ = ReadFailure::kBodyTooLarge;
    return -1;
  }
  stated_body_ = stated ? parser_.content_length : 0;
  return kContinueParsing;
}

bool HttpReader::is_bodyless() const {
  return role_ == HttpRole::kResponse && (answers_head_ || !allows_body(message_.status));
}

int HttpReader::on_body(http_parser* parser, const char* at, std::size_t length) {
  HttpReader& reader = reader_of(parser);
  if (reader.message_.body.size() + length > reader.limits_.body_bytes) {
    reader.failure_ = ReadFailure::kBodyTooLarge;
    return kStopParsing;
  }
  reader.reserve_body(length);
  reader.message_.body.append(at, length);
  return kContinueParsing;
}

void HttpReader::reserve_body(std::size_t added) {
  std::string& body = message_.body;
  const std::size_t needed = body.size() + added;
  if (needed <= body.capacity()) {
    return;
  }
  const std::size_t longest = stated_body_ > 0 ? stated_body_ : limits_.body_bytes;
  // Reserved memory takes no room until it is used, but a growing copy does.
  body.reserve(needed > kCopiedBodyBytes ? longest : std::min(longest, 2 * needed));
}

int HttpReader::on_message_complete(http_parser* parser) {
  HttpReader& reader = reader_of(parser);
  reader.message_.keep_alive = http_should_keep_alive(parser) != 0;
  reader.whole_ = true;
  http_parser_pause(parser, 1);
  return kContinueParsing;
}

std::string serialize_request_head(std::string_view method, std::string_view target,
                                   const HeaderList& headers, std::size_t body_bytes) {
  std::string out;
  out.reserve(256);
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  append_headers(out, headers);
  if (needs_content_length(method, body_bytes)) {
    out.append("Content-Length: ").append(std::to_string(body_bytes)).append("\r\n");
  }
  return out.append("\r\n");
}

std::string serialize_response_head(unsigned status, const HeaderList& headers,
                                    std::size_t body_bytes) {
  std::string out;
  out.reserve(256);
  out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(reason_of(status));
  out.append("\r\n");
  append_headers(out, headers);
  if (!allows_body(status)) {
    return out.append("\r\n");
  }
  return out.append("Content-Length: ").append(std::to_string(body_bytes)).append("\r\n\r\n");
}

}  // namespace planktray::transport
