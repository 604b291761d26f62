#pragma once
/// One client's connection of an HttpServer.

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "transport/http_server.hpp"
#include "transport/tcp_stream.hpp"

namespace planktray::transport {

/// One client's connection: reads requests, passes them to the handler (concurrently if the
/// classifier allows it) and writes their responses in order.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>,
                         public limits::MemoryHolder {
 public:
  ServerConnection(HttpServer& server, std::uint64_t id, std::shared_ptr<TcpStream> stream);
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;
  ~ServerConnection() override;

  void start();
  /// Sends the response to the request with this number once those before it are written.
  void answer(std::uint64_t number, unsigned status, const HeaderList& headers,
              const SharedBytes& body, bool is_head);
  /// Closes the connection from the server's side; the handlers of pending requests are notified
  /// that the client has disconnected.
  void shut_down();
  /// Returns the number of requests whose response is not completely written. A request that has
  /// arrived and is not read yet counts too: closing the connection would reset it.
  std::size_t unfinished() const;
  void close_if_idle();
  /// Refuses a request that has not come whole in time, and closes a connection that is idle or
  /// whose client does not read.
  void sweep(common::TimePoint now);
  /// True if closing the connection loses no request that has come whole, and no response.
  bool may_be_evicted() const;
  /// Refuses the request that is being received, or closes the connection if its client does not
  /// read.
  void revoke_memory() override;

 private:
  /// A response that waits for those before it.
  struct HeldAnswer {
    unsigned status = 0;
    HeaderList headers;
    SharedBytes body;
    bool is_head = false;
  };
  /// A complete request whose response has not been written.
  struct PipelinedRequest {
    std::uint64_t number = 0;
    common::TimePoint first_byte{};
    bool runs_beside_others = false;
    bool closes = false;  ///< its response is the last of the connection
    UnreadReason unread = UnreadReason::kNone;
    std::size_t memory = 0;  ///< bytes that the request takes
    std::optional<HttpMessage> unstarted{};
    std::weak_ptr<HttpExchange> exchange{};
    std::optional<HeldAnswer> answer{};
  };

  void on_data(std::string_view bytes);
  /// Writes responses, starts requests and reads until nothing more can be done. Handlers that
  /// respond synchronously call this function recursively.
  void advance();
  /// Returns whether the next request may be read: not while an earlier request must run alone, and
  /// not above the limits.
  bool may_read() const;
  void hold_or_read();

  // Requests.
  /// @return false if nothing could be read.
  bool read_waiting();
  /// Reads up to the end of the current request. @param arrived when the bytes arrived.
  /// @return the number of bytes consumed.
  std::size_t read(std::string_view bytes, common::TimePoint arrived);
  /// Looks at a request of which a part has come. @param had_head whether its head was known
  /// before.
  void review_partial(bool had_head);
  /// Records that the client has sent a part of its request that counts.
  void note_received(std::size_t bytes);
  void note_sent();
  /// Returns why the rest of the current request is not read.
  UnreadReason reason_not_to_read(bool had_head);
  /// Refuses the current request, of which a part has come.
  void give_up(UnreadReason reason);
  /// Tells the memory account what the connection holds.
  void update_share();
  /// Sends "100 Continue" in order with the responses.
  void send_continue();
  void append_request(HttpMessage request);
  /// Passes the last request, the only one that can be unstarted, to the handler. @return false if
  /// it has to wait.
  bool start_next();
  /// Ends the connection if the handler throws.
  void handle(const ExchangePointer& exchange, UnreadReason unread);
  /// Queues an error response to a request that is not passed to a handler; the connection ends
  /// after it.
  void refuse(unsigned status, std::string_view message, HeaderList headers = {});

  // Answers.
  void hold_answer(PipelinedRequest& request, HeldAnswer answer);
  /// @return false if the first request has no response yet.
  bool write_held();
  /// Writes the response to the first request.
  void write_front(unsigned status, const HeaderList& headers, const SharedBytes& body,
                   bool is_head);
  /// Discards requests after the connection's last response; none of them was started.
  void discard_remaining();
  void on_drained();
  void on_end();

  HttpServer& server_;
  std::uint64_t id_;
  std::shared_ptr<TcpStream> stream_;
  HttpReader reader_;
  std::deque<PipelinedRequest> pipeline_;  ///< in the order of arrival
  std::uint64_t next_number_ = 1;
  std::string waiting_;              ///< bytes of later requests; at most one read of the socket
  std::size_t held_bytes_ = 0;       ///< body bytes of responses that wait for those before them
  common::TimePoint last_activity_;  ///< last response, or first byte of the current request
  common::TimePoint first_byte_;  ///< arrival of the first byte of the request that is being read
  common::TimePoint waiting_since_;  ///< when the first of the waiting bytes arrived
  limits::MemoryAccount::Share share_;
  std::list<ServerConnection*>::iterator place_;  ///< in the server's order of activity
  std::size_t body_limit_ = 0;                    ///< of the current request, by its head
  common::TimePoint received_at_;                 ///< last time the client sent a part that counts
  std::size_t received_since_ = 0;                ///< bytes since then
  common::TimePoint sent_at_;                     ///< last time the client took a part that counts
  std::size_t unsent_then_ = 0;                   ///< bytes that it had not taken then
  bool advancing_ = false;
  bool writing_ = false;
  bool is_paused_ = false;
  bool continue_pending_ = false;
  bool has_last_request_ = false;  ///< bytes that arrive from now on are not read
  bool is_ending_ = false;         ///< the last response has been passed to the stream
};

}  // namespace planktray::transport
