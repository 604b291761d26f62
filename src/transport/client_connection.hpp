#pragma once
/// One connection of HttpClient. Internal to the HTTP client.

#include <glib.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.hpp"
#include "common/time.hpp"
#include "transport/http_client.hpp"
#include "transport/http_message.hpp"
#include "transport/tcp_stream.hpp"

namespace planktray::transport {

/// One connection to a server: carries one call at a time and is idle in between.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>,
                         public limits::MemoryHolder {
 public:
  ClientConnection(HttpClient& client, std::string address, std::shared_ptr<TcpStream> stream);
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;
  ~ClientConnection() override;

  /// Starts to connect, or to read where the connection is established.
  void start();
  /// Starts a call; the connection must be new or idle.
  void start_call(std::uint64_t call, const HttpRequest& request);

  /// True if some bytes of the current call may have reached the server.
  bool was_sent() const { return used_before_ || stream_->has_sent(); }
  /// True if the response to a request with this value has arrived here. May be true by chance for
  /// another value, with a probability of 2^-64 for each response.
  bool has_delivered(const std::string& answer_value) const;
  /// True if it is open and has not been idle for too long to carry another call.
  bool is_usable(common::TimePoint now) const;

  /// While held, no further bytes of the call are handed to the kernel.
  void hold(bool held) { stream_->hold_writing(held); }
  common::TimePoint last_used() const { return last_used_; }
  /// Closes the connection; its call, if any, is abandoned.
  void close();
  /// Never called: a response that is being received is not given up for another.
  void revoke_memory() override {}

 private:
  static gboolean on_connect_timeout(gpointer self);
  static gboolean on_settled(gpointer self);
  static void stop_timer(guint& timer);

  void on_connected();
  void on_sent();
  void on_drained();
  void on_data(std::string_view bytes);
  /// @param is_last no bytes have arrived after this message.
  void take_message(bool is_last);
  /// True if the message is the response to the current call.
  bool is_own(const HttpMessage& message) const;
  /// Ends the call if no usable response can come on the connection, or what comes does not end.
  void review_partial();
  /// Pauses reading while there is no memory for the rest of the response; ends the call if its
  /// length is not known and it has none.
  void review_memory();
  void update_share();
  static gboolean on_memory_check(gpointer self);
  /// Counts a response that is not the call's own final one; ends the call after too many.
  void skip_answer();
  void on_end(StreamEnd end);
  void fail(common::Error error);
  /// Ends the current call. @param reusable whether the connection may carry another one.
  void complete(HttpResponse response, bool reusable);

  HttpClient& client_;
  std::string address_;
  std::shared_ptr<TcpStream> stream_;
  HttpReader reader_;
  common::Duration idle_;
  common::TimePoint last_used_;  ///< when it was opened or completed its last call
  std::uint64_t call_ = 0;       ///< 0: idle
  std::uint64_t calls_carried_ = 0;
  std::string answer_header_;
  std::string answer_value_;
  bool accepts_unmarked_ = false;
  std::string success_header_;
  std::vector<std::uint64_t> delivered_;  ///< digests of the answer values of its responses
  bool has_begun_ = false;                ///< the kernel has accepted a byte of the current call
  bool is_written_ = false;               ///< the kernel has accepted all of its bytes
  bool used_before_ = false;
  bool fresh_only_ = false;
  std::size_t skipped_answers_ = 0;  ///< interim or to other requests, in the current call
  std::size_t other_bytes_ = 0;      ///< body bytes of answers to other requests, as above
  bool has_surplus_ = false;
  bool removed_ = false;
  guint connect_timer_ = 0;
  guint settle_timer_ = 0;
  common::Duration settle_time_{0};
  std::string unsettled_head_;  ///< of a request that waits for its connection to settle
  SharedBytes unsettled_body_;
  limits::MemoryAccount::Share share_;
  bool is_admitted_ = false;  ///< there is memory for the response
  guint memory_timer_ = 0;
};

}  // namespace planktray::transport
