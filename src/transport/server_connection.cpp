#include "transport/server_connection.hpp"

#include <utility>

#include "common/json_text.hpp"
#include "transport/containment.hpp"
#include "transport/event_loop.hpp"

namespace planktray::transport {
namespace {

constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusTimeout = 408;
constexpr unsigned kStatusBodyTooLarge = 413;
constexpr unsigned kStatusHeaderTooLarge = 431;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

unsigned status_of_failure(ReadFailure failure) {
  switch (failure) {
    case ReadFailure::kHeaderTooLarge:
      return kStatusHeaderTooLarge;
    case ReadFailure::kBodyTooLarge:
      return kStatusBodyTooLarge;
    default:
      return kStatusBadRequest;
  }
}

}  // namespace

std::string error_json(std::string_view message, std::string_view step) {
  return common::json_text({{"error", message}, {"step", step}, {"peer", ""}});
}

ServerConnection::ServerConnection(HttpServer& server, std::uint64_t id,
                                   std::shared_ptr<TcpStream> stream)
    : server_(server),
      id_(id),
      stream_(std::move(stream)),
      reader_(HttpRole::kRequest, server.options().limits),
      last_activity_(boot_time_now()),
      place_(server.by_activity_.insert(server.by_activity_.end(), this)) {}

ServerConnection::~ServerConnection() { server_.by_activity_.erase(place_); }

void ServerConnection::start() {
  TcpStream::Handlers handlers;
  handlers.on_data = [this](std::string_view bytes) { on_data(bytes); };
  handlers.on_end = [this](StreamEnd /*end*/) { on_end(); };
  handlers.on_drained = [this] { on_drained(); };
  stream_->start(std::move(handlers));
}

void ServerConnection::answer(std::uint64_t number, unsigned status, const HeaderList& headers,
                              const SharedBytes& body, bool is_head) {
  if (pipeline_.empty() || number < pipeline_.front().number) {
    return;
  }
  const std::size_t place = number - pipeline_.front().number;
  if (place == 0) {
    write_front(status, headers, body, is_head);
  } else if (place < pipeline_.size()) {
    hold_answer(pipeline_[place], {status, headers, body, is_head});
  }
  advance();
}

void ServerConnection::shut_down() {
  const auto keep = shared_from_this();
  stream_->close();
  on_end();
}

std::size_t ServerConnection::unfinished() const {
  const bool has_more = reader_.has_begun() || !waiting_.empty() || stream_->has_unread();
  return pipeline_.size() + (writing_ ? 1 : 0) + (has_more ? 1 : 0);
}

void ServerConnection::close_if_idle() {
  if (unfinished() == 0) {
    shut_down();
  }
}

void ServerConnection::sweep(common::TimePoint now) {
  const HttpServerOptions& options = server_.options();
  const bool is_held = stream_->is_read_paused() || continue_pending_;
  if (is_held || (!has_last_request_ && !may_read())) {
    return;  // the missing bytes may have arrived or are delayed by the server itself
  }
  if (reader_.has_begun() && now - last_activity_ > options.request_timeout) {
    const auto keep = shared_from_this();
    refuse(kStatusTimeout, "the request did not come whole in time");
    advance();
  } else if (!reader_.has_begun() && pipeline_.empty() && !writing_ &&
             now - last_activity_ > options.idle_timeout) {
    shut_down();
  }
}

void ServerConnection::on_data(std::string_view bytes) {
  const auto keep = shared_from_this();
  if (has_last_request_) {
    return;  // bytes after the connection's last request are discarded
  }
  const std::size_t taken = waiting_.empty() && may_read() ? read(bytes, boot_time_now()) : 0;
  if (waiting_.empty()) {
    waiting_since_ = boot_time_now();
  }
  waiting_.append(bytes.substr(taken));
  advance();
}

void ServerConnection::advance() {
  if (advancing_) {
    return;
  }
  const auto keep = shared_from_this();
  advancing_ = true;
  while (stream_->is_open() && (write_held() || start_next() || read_waiting())) {
  }
  advancing_ = false;
  hold_or_read();
}

bool ServerConnection::may_read() const {
  if (has_last_request_ || writing_ || held_bytes_ > server_.options().held_answer_bytes) {
    return false;
  }
  if (pipeline_.empty()) {
    return true;
  }
  return !server_.closing_ && pipeline_.back().runs_beside_others &&
         !pipeline_.back().unstarted.has_value() &&
         pipeline_.size() < server_.options().max_concurrent_requests;
}

void ServerConnection::hold_or_read() {
  if (!stream_->is_open()) {
    return;
  }
  // Pauses only if bytes are waiting: most clients send nothing while a request is in flight.
  const bool pause = !waiting_.empty() && !has_last_request_ && !may_read();
  if (pause == is_paused_) {
    return;
  }
  is_paused_ = pause;
  if (pause) {
    stream_->pause_reading();
  } else {
    stream_->resume_reading();
  }
}

bool ServerConnection::read_waiting() {
  if (waiting_.empty() || !may_read()) {
    return false;
  }
  const std::string bytes = std::exchange(waiting_, {});
  const std::size_t taken = read(bytes, waiting_since_);
  if (!has_last_request_) {
    waiting_.append(bytes, taken, std::string::npos);
  }
  return taken > 0;
}

std::size_t ServerConnection::read(std::string_view bytes, common::TimePoint arrived) {
  if (!reader_.has_begun()) {
    last_activity_ = boot_time_now();
    first_byte_ = arrived;
    server_.touch(place_);
    reader_.set_limits(server_.options().limits);
  }
  if (stream_->is_paced()) {
    // The server limits the rate; the client only has to keep sending.
    last_activity_ = boot_time_now();
  }
  const bool had_head = reader_.has_head();
  const std::size_t taken = reader_.feed(bytes);
  if (reader_.has_failed()) {
    refuse(status_of_failure(reader_.failure()), "the request cannot be read");
  } else if (reader_.is_whole()) {
    append_request(reader_.take());
  } else {
    stream_->expect(reader_.body_left(), HangUp::kEnds);
    if (!had_head && reader_.has_head()) {
      continue_pending_ =
          equals_ignoring_case(find_header(reader_.message().headers, "Expect"), "100-continue");
      send_continue();
    }
  }
  return taken;
}

bool ServerConnection::may_be_evicted() const {
  const bool is_unread = !reader_.has_begun() && stream_->has_unread();
  return pipeline_.empty() && !writing_ && !is_unread;
}

void ServerConnection::send_continue() {
  if (continue_pending_ && pipeline_.empty() && !writing_) {
    continue_pending_ = false;
    last_activity_ = boot_time_now();  // the client waited with its body until now
    stream_->write(kContinue);
  }
}

void ServerConnection::append_request(HttpMessage request) {
  continue_pending_ = false;
  PipelinedRequest next;
  next.number = next_number_++;
  next.first_byte = first_byte_;
  next.closes = !request.keep_alive;
  next.runs_beside_others = server_.runs_beside_others_ && server_.runs_beside_others_(request);
  next.unstarted = std::move(request);
  has_last_request_ = next.closes;
  pipeline_.push_back(std::move(next));
}

bool ServerConnection::start_next() {
  if (pipeline_.empty() || !pipeline_.back().unstarted.has_value()) {
    return false;
  }
  PipelinedRequest& next = pipeline_.back();
  const bool is_first = pipeline_.size() == 1;
  if (!is_first && (!next.runs_beside_others || server_.closing_)) {
    return false;
  }
  const auto exchange = std::make_shared<HttpExchange>(weak_from_this(), next.number,
                                                       std::move(*next.unstarted), next.first_byte);
  next.unstarted.reset();
  next.exchange = exchange;
  handle(exchange);
  return true;
}

void ServerConnection::handle(const ExchangePointer& exchange) {
  if (!run_contained("handle request", exchange->path(), [&] { server_.handler_(exchange); })) {
    ++server_.failed_handlers_;
    shut_down();
  }
}

void ServerConnection::refuse(unsigned status, std::string_view message) {
  ++server_.refused_;
  PipelinedRequest refused;
  refused.number = next_number_++;
  refused.closes = true;
  has_last_request_ = true;
  reader_.discard();
  pipeline_.push_back(std::move(refused));
  hold_answer(
      pipeline_.back(),
      {status, {{"Content-Type", "application/json"}}, error_json(message, "read request"), false});
}

void ServerConnection::hold_answer(PipelinedRequest& request, HeldAnswer answer) {
  request.exchange.reset();
  held_bytes_ += answer.body.size();
  request.answer = std::move(answer);
}

bool ServerConnection::write_held() {
  if (pipeline_.empty() || !pipeline_.front().answer.has_value()) {
    return false;
  }
  const HeldAnswer held = std::move(*pipeline_.front().answer);
  held_bytes_ -= held.body.size();
  write_front(held.status, held.headers, held.body, held.is_head);
  return true;
}

void ServerConnection::write_front(unsigned status, const HeaderList& headers,
                                   const SharedBytes& body, bool is_head) {
  const bool is_last = pipeline_.size() == 1 || pipeline_[1].unstarted.has_value();
  const bool close = pipeline_.front().closes || (server_.closing_ && is_last);
  pipeline_.pop_front();
  HeaderList all = headers;
  if (close) {
    all.emplace_back("Connection", "close");
    discard_remaining();
  }
  writing_ = true;
  const std::string head = serialize_response_head(status, all, body.size());
  if (is_head || !allows_body(status)) {
    stream_->write(head);
  } else {
    stream_->write(head, body);
  }
}

void ServerConnection::discard_remaining() {
  has_last_request_ = true;
  is_ending_ = true;
  pipeline_.clear();
  waiting_.clear();
  if (reader_.has_begun()) {
    reader_.discard();
  }
}

void ServerConnection::on_drained() {
  if (!writing_) {
    return;
  }
  const auto keep = shared_from_this();
  writing_ = false;
  last_activity_ = boot_time_now();
  server_.touch(place_);
  if (is_ending_) {
    stream_->finish_writing();  // then the client or the sweep closes the connection
    return;
  }
  send_continue();
  advance();
}

void ServerConnection::on_end() {
  const auto keep = shared_from_this();
  const auto pending = std::exchange(pipeline_, {});
  for (const PipelinedRequest& request : pending) {
    if (const auto exchange = request.exchange.lock()) {
      exchange->on_client_closed();
    }
  }
  server_.remove_connection(id_);
}

}  // namespace planktray::transport
