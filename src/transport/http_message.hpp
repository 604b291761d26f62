#pragma once
/// HTTP/1.1 messages and an incremental reader of them, on the http-parser library.
///
/// Invariants:
///  - A message is handed out only when it is whole: its stated length, its last chunk, or, for a
///    response without either, an orderly close of the connection.
///  - Method, target, header values and body are the bytes that came; nothing is normalised.

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace planktray::transport {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// @return the first value of a header, or "". Names are compared without case.
std::string_view find_header(const HeaderList& headers, std::string_view name);
bool equals_ignoring_case(std::string_view left, std::string_view right);

/// A whole request or response. `method` and `target` belong to requests, `status` to responses.
struct HttpMessage {
  std::string method;
  std::string target;  ///< path and query as they came
  unsigned status = 0;
  HeaderList headers;
  std::string body;
  /// True where the connection may carry another message after this one.
  bool keep_alive = false;
};

/// What a peer may send, in bytes.
struct HttpLimits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 8 * 1024 * 1024;
};

enum class HttpRole : std::uint8_t { kRequest, kResponse };

enum class ReadFailure : std::uint8_t {
  kNone,
  kMalformed,       ///< the bytes are no message of the protocol
  kHeaderTooLarge,  ///< more header bytes than the limit
  kBodyTooLarge,    ///< more body bytes than the limit, stated or sent
  kCutShort,        ///< the connection ended within a message
};

/// Reads one message after the other from the bytes of one connection.
class HttpReader {
 public:
  HttpReader(HttpRole role, HttpLimits limits);
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  /// Takes bytes up to the end of the present message.
  /// @return how many were taken; fewer than given only where the message is whole or has failed.
  std::size_t feed(std::string_view bytes);
  /// The peer closed its sending side in an orderly way.
  void finish();
  /// The response belongs to a HEAD request: it has no body whatever its headers say.
  void expect_no_body() { skip_body_ = true; }
  void set_limits(HttpLimits limits) { limits_ = limits; }

  bool is_whole() const { return whole_; }
  bool has_failed() const { return failure_ != ReadFailure::kNone; }
  ReadFailure failure() const { return failure_; }
  /// True once a byte of the present message has come.
  bool has_begun() const { return begun_; }
  bool has_head() const { return has_head_; }
  /// Body bytes that are still to come, as the head states them; 0 where it states no length.
  std::size_t body_left() const;
  /// The message as far as it has come.
  const HttpMessage& message() const { return message_; }
  /// Hands out the whole message and gets ready for the next.
  HttpMessage take();
  /// Gives up the present message, whole or not, and gets ready for the next.
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

  HttpRole role_;
  HttpLimits limits_;
  http_parser parser_{};
  HttpMessage message_;
  ReadFailure failure_ = ReadFailure::kNone;
  std::size_t header_bytes_ = 0;
  bool begun_ = false;
  bool has_head_ = false;
  bool whole_ = false;
  bool skip_body_ = false;
  bool in_value_ = false;
};

/// One request with its length stated, ready to be written. Content-Length is set here.
std::string serialize_request(std::string_view method, std::string_view target,
                              const HeaderList& headers, std::string_view body);
/// One response with its length stated. Statuses that allow no body get none.
/// @param omit_body for the answer to a HEAD request: the length is stated, the bytes are not sent.
std::string serialize_response(unsigned status, const HeaderList& headers, std::string_view body,
                               bool omit_body);

}  // namespace planktray::transport
