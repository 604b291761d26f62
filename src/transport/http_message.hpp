#pragma once
/// HTTP/1.1 messages and an incremental reader for them, on the http-parser library.
///
/// Invariants:
///  - A message is delivered only when it is complete: by its Content-Length, its last chunk or,
///    for a response without either, an orderly close of the connection.
///  - The status of a response is one of RFC 9110: 100 to 599.
///  - Method, target, header values and body are the received bytes; nothing is normalized.

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace planktray::transport {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// @return the first value of a header, or "". Names are compared case-insensitively.
std::string_view find_header(const HeaderList& headers, std::string_view name);
bool equals_ignoring_case(std::string_view left, std::string_view right);
bool begins_with_ignoring_case(std::string_view text, std::string_view prefix);

/// True for statuses whose responses may have a body.
bool allows_body(unsigned status);
/// True for statuses that report success (2xx).
bool is_success(unsigned status);

/// A complete request or response. `method` and `target` belong to requests, `status` to responses.
struct HttpMessage {
  std::string method;
  std::string target;  ///< path and query as received
  unsigned status = 0;
  HeaderList headers;
  std::string body;
  /// True if the connection may carry another message after this one.
  bool keep_alive = false;
};

/// Returns the memory that a request takes until it is answered, about: its head is kept as it came
/// and as it is passed on, its body once.
std::size_t message_memory(const HttpMessage& message);

/// Maximum sizes of a received message, in bytes.
struct HttpLimits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 8 * 1024 * 1024;
};

enum class HttpRole : std::uint8_t { kRequest, kResponse };

enum class ReadFailure : std::uint8_t {
  kNone,
  kMalformed,       ///< the bytes are not a valid HTTP message
  kHeaderTooLarge,  ///< the header exceeds the limit
  kBodyTooLarge,    ///< the body exceeds the limit, by its Content-Length or by the bytes received
  kCutShort,        ///< the connection ended within a message
};

/// Reads consecutive messages from the bytes of one connection.
class HttpReader {
 public:
  HttpReader(HttpRole role, HttpLimits limits);
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  /// Consumes bytes up to the end of the current message.
  /// @return the number of bytes consumed; fewer than given only if the message is complete or
  ///   invalid.
  std::size_t feed(std::string_view bytes);
  /// Reports that the peer closed its sending side in an orderly way.
  void finish();
  /// Sets whether the responses from now on answer a HEAD request, and so have no body regardless
  /// of their headers. Set for each request: an interim response may come before the final one.
  void set_answers_head(bool answers_head) { answers_head_ = answers_head; }
  void set_limits(HttpLimits limits) { limits_ = limits; }

  /// True if the head of the current message is read and its body has no end but the connection's.
  bool ends_with_connection() const;
  bool is_whole() const { return whole_; }
  bool has_failed() const { return failure_ != ReadFailure::kNone; }
  ReadFailure failure() const { return failure_; }
  /// True once a byte of the current message has been received.
  bool has_begun() const { return begun_; }
  bool has_head() const { return has_head_; }
  /// Returns the number of body bytes still to be received according to Content-Length; 0 if there
  /// is none.
  std::size_t body_left() const;
  /// Returns the number of body bytes that the head of the current message states; 0 if it states
  /// none.
  std::size_t stated_body() const { return stated_body_; }
  /// Returns the bytes of memory that the current message takes.
  std::size_t memory() const;
  /// Returns the part of the message that has been received.
  const HttpMessage& message() const { return message_; }
  /// Returns the complete message and resets the reader for the next one.
  HttpMessage take();
  /// Discards the current message, complete or not, and resets the reader for the next one.
  void discard() { static_cast<void>(take()); }

 private:
  static int on_url(http_parser* parser, const char* at, std::size_t length);
  static int on_header_field(http_parser* parser, const char* at, std::size_t length);
  static int on_header_value(http_parser* parser, const char* at, std::size_t length);
  static int on_headers_complete(http_parser* parser);
  static int on_body(http_parser* parser, const char* at, std::size_t length);
  static int on_message_complete(http_parser* parser);
  static const http_parser_settings& callbacks();

  void reset();
  bool count_header(std::size_t bytes);
  int end_head();
  /// True if the head of the current message is read and states the length of its body.
  bool has_length() const;
  /// Makes room for the body so that it is not copied while it grows.
  void reserve_body(std::size_t added);
  /// True if no body follows the head of the current message, whatever its headers say.
  bool is_bodyless() const;

  HttpRole role_;
  HttpLimits limits_;
  http_parser parser_{};
  HttpMessage message_;
  ReadFailure failure_ = ReadFailure::kNone;
  std::size_t header_bytes_ = 0;
  std::size_t stated_body_ = 0;
  bool begun_ = false;
  bool has_head_ = false;
  bool whole_ = false;
  bool answers_head_ = false;
  bool in_value_ = false;
};

/// Serializes the head of a request. Content-Length is added here if the request needs one.
std::string serialize_request_head(std::string_view method, std::string_view target,
                                   const HeaderList& headers, std::size_t body_bytes);
/// Serializes the head of a response. Content-Length is set here; statuses that allow no body get
/// none.
std::string serialize_response_head(unsigned status, const HeaderList& headers,
                                    std::size_t body_bytes);

}  // namespace planktray::transport
