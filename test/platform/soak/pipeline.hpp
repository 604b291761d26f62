#pragma once
/// One connection of a client that sends its requests on without waiting for answers, and takes the
/// answers in order.

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
  /// Called once, with the answer in this request's place, or with no whole answer. Behind an
  /// answer that closes the connection, a request counts as on a connection that was used before.
  transport::HttpClient::Callback done;
};

class Pipeline : public std::enable_shared_from_this<Pipeline> {
 public:
  /// Writes all requests at once. Keeps itself until every request has its answer, or none comes.
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
  std::shared_ptr<Pipeline> self_;  ///< until it has ended
};

}  // namespace planktray::soak
