#include "soak/pipeline.hpp"

#include <utility>

namespace planktray::soak {

void Pipeline::send(const std::string& address, std::vector<PipelinedRequest> requests,
                    common::Duration timeout) {
  const std::shared_ptr<Pipeline> pipeline(new Pipeline());
  pipeline->self_ = pipeline;
  std::string bytes;
  for (PipelinedRequest& request : requests) {
    bytes += request.bytes;
    pipeline->requests_.push_back(std::move(request));
  }
  auto stream = transport::TcpStream::connect(address, std::chrono::seconds(0));
  if (!stream.has_value()) {
    return pipeline->end(stream.error().message);
  }
  pipeline->stream_ = *stream;
  transport::TcpStream::Handlers handlers;
  handlers.on_data = [raw = pipeline.get()](std::string_view data) { raw->on_data(data); };
  handlers.on_end = [raw = pipeline.get()](transport::StreamEnd) { raw->end("connection ended"); };
  pipeline->stream_->start(std::move(handlers));
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
  pipeline->timer_ = g_timeout_add(static_cast<guint>(milliseconds), on_timeout, pipeline.get());
  pipeline->stream_->write(bytes);
}

Pipeline::~Pipeline() {
  if (timer_ != 0) {
    g_source_remove(timer_);
  }
}

gboolean Pipeline::on_timeout(gpointer self) {
  auto* pipeline = static_cast<Pipeline*>(self);
  pipeline->timer_ = 0;
  pipeline->end("no answer in time");
  return G_SOURCE_REMOVE;
}

void Pipeline::on_data(std::string_view bytes) {
  const auto keep = shared_from_this();
  while (!bytes.empty() && stream_->is_open()) {
    bytes.remove_prefix(reader_.feed(bytes));
    if (reader_.has_failed()) {
      return end("the answer cannot be read");
    }
    if (reader_.is_whole()) {
      on_answer(reader_.take());
    }
  }
}

void Pipeline::on_answer(const transport::HttpMessage& message) {
  if (requests_.empty()) {
    return end("an answer to nothing");
  }
  const PipelinedRequest request = std::move(requests_.front());
  requests_.pop_front();
  transport::HttpResponse response;
  response.status = message.status;
  response.headers = message.headers;
  response.body = message.body;
  response.was_sent = true;
  response.used_before = answered_++ > 0;
  request.done(response);
  if (requests_.empty() || !message.keep_alive) {
    end("closed by an answer");
  }
}

void Pipeline::end(const std::string& reason) {
  const auto keep = std::exchange(self_, nullptr);
  if (keep == nullptr) {
    return;
  }
  const bool was_sent = stream_ != nullptr && stream_->has_sent();
  if (stream_ != nullptr) {
    stream_->close();
  }
  for (const PipelinedRequest& request : std::exchange(requests_, {})) {
    transport::HttpResponse response;
    response.was_sent = was_sent;
    response.used_before = answered_++ > 0;
    response.error = {common::ErrorCode::kIo, "read answer", "", reason};
    request.done(response);
  }
}

}  // namespace planktray::soak
