#pragma once
/// A client connection with HTTP pipelining: sends requests without waiting for responses and
/// matches the responses to them in order.

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "transport/http_client.hpp"
#include "transport/http_message.hpp"
#include "transport/tcp_stream.hpp"

namespace planktray::soak {

struct PipelinedRequest {
  std::string id;
  std::string bytes;
  /// Called once, with the response to this request, or with an error if no complete response
  /// arrived. A request that follows a response that closes the connection counts as sent on a
  /// reused connection.
  transport::HttpClient::Callback done;
};

class Pipeline : public std::enable_shared_from_this<Pipeline> {
 public:
  /// Writes all requests at once. The object owns itself until all requests are answered or fail.
  static void send(const std::string& address, std::vector<PipelinedRequest> requests,
                   common::Duration timeout);
  Pipeline(const Pipeline&) = delete;
  Pipeline& operator=(const Pipeline&) = delete;
  ~Pipeline();

 private:
  Pipeline() : reader_(transport::HttpRole::kResponse, {}) {}
  void on_data(std::string_view bytes);
  void on_answer(const transport::HttpMessage& message);
  void end(const std::string& reason);
  static gboolean on_timeout(gpointer self);

  std::shared_ptr<transport::TcpStream> stream_;
  transport::HttpReader reader_;
  std::deque<PipelinedRequest> requests_;
  std::size_t answered_ = 0;  ///< requests whose callback was called
  guint timer_ = 0;
  std::shared_ptr<Pipeline> self_;  ///< owns this object until the connection has ended
};

}  // namespace planktray::soak
