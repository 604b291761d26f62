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
constexpr unsigned kStatusUnavailable = 503;
/// Retry-After of requests without memory, in seconds: limits::kStallTime, after which stalled
/// holders are revoked.
constexpr const char* kRetryAfterSeconds = "1";
/// Memory of a connection without a request, about.
constexpr std::size_t kConnectionBytes = 2048;
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
      share_(server.options().memory, *this),
      place_(server.by_activity_.insert(server.by_activity_.end(), this)),
      received_at_(last_activity_),
      sent_at_(last_activity_) {
  update_share();
}

ServerConnection::~ServerConnection() { server_.by_activity_.erase(place_); }

void ServerConnection::start() {
  TcpStream::Handlers handlers;
  handlers.on_data = [this](std::string_view bytes) { on_data(bytes); };
  handlers.on_end = [this](StreamEnd /*end*/) { on_end(); };
  handlers.on_sent = [this] { note_sent(); };
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
  update_share();
  if (writing_ && !stream_->is_write_paused() && now - sent_at_ > options.idle_timeout) {
    return shut_down();  // the client does not read
  }
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
  update_share();
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
    received_at_ = last_activity_;
    received_since_ = 0;
    server_.touch(place_);
    reader_.set_limits(server_.options().limits);
  }
  const bool had_head = reader_.has_head();
  const std::size_t taken = reader_.feed(bytes);
  note_received(taken);
  if (reader_.has_failed()) {
    refuse(status_of_failure(reader_.failure()), "the request cannot be read");
  } else if (reader_.is_whole()) {
    append_request(reader_.take());
  } else {
    review_partial(had_head);
  }
  return taken;
}

void ServerConnection::review_partial(bool had_head) {
  update_share();
  const UnreadReason reason = reason_not_to_read(had_head);
  if (has_last_request_ || !stream_->is_open()) {
    return;  // revoking memory has called handlers, which may have ended this connection
  }
  if (reason != UnreadReason::kNone) {
    return give_up(reason);
  }
  stream_->expect(reader_.body_left(), HangUp::kEnds);
  if (!had_head && reader_.has_head()) {
    continue_pending_ =
        equals_ignoring_case(find_header(reader_.message().headers, "Expect"), "100-continue");
    send_continue();
  }
}

UnreadReason ServerConnection::reason_not_to_read(bool had_head) {
  limits::MemoryAccount* memory = server_.options().memory;
  const common::TimePoint now = boot_time_now();
  const std::size_t stated = reader_.stated_body();
  if (!had_head && reader_.has_head()) {
    body_limit_ = server_.head_check_ ? server_.head_check_(reader_.message())
                                      : server_.options().limits.body_bytes;
    if (body_limit_ == 0 || stated > body_limit_) {
      return UnreadReason::kNotWanted;
    }
    if (memory != nullptr && stated > limits::kSmallMessageBytes &&
        !memory->admit_large(now, stated)) {
      return UnreadReason::kNoMemory;
    }
  }
  if (reader_.has_head() && reader_.message().body.size() > body_limit_) {
    return UnreadReason::kNotWanted;
  }
  return memory == nullptr || memory->keep_within(now, share_) ? UnreadReason::kNone
                                                               : UnreadReason::kNoMemory;
}

void ServerConnection::give_up(UnreadReason reason) {
  ++server_.unread_;
  if (!reader_.has_head() || !server_.unread_handler_) {
    const bool is_too_large = reason == UnreadReason::kNotWanted;
    return refuse(is_too_large ? kStatusBodyTooLarge : kStatusUnavailable,
                  is_too_large ? "the request is too large" : "no memory for the request",
                  is_too_large ? HeaderList{} : HeaderList{{"Retry-After", kRetryAfterSeconds}});
  }
  HttpMessage head = reader_.take();
  head.body = {};
  waiting_ = {};
  append_request(std::move(head));
  PipelinedRequest& request = pipeline_.back();
  request.unread = reason;
  request.closes = true;
  request.runs_beside_others = true;
  has_last_request_ = true;
}

void ServerConnection::note_received(std::size_t bytes) {
  received_since_ += bytes;
  // A grant of the pacer that is used up counts, however small it was.
  if (received_since_ < limits::kProgressBytes && !stream_->is_read_paused()) {
    return;
  }
  received_since_ = 0;
  received_at_ = boot_time_now();
  server_.touch(place_);
  if (stream_->is_paced()) {
    // The server limits the rate; the client only has to keep sending.
    last_activity_ = received_at_;
  }
}

void ServerConnection::note_sent() {
  const std::size_t unsent = stream_->unsent();
  if (unsent > 0 && unsent + limits::kProgressBytes <= unsent_then_) {
    unsent_then_ = unsent;
    sent_at_ = boot_time_now();
  }
}

void ServerConnection::update_share() {
  limits::Holding holding;
  holding.bytes = kConnectionBytes + reader_.memory() + waiting_.capacity() + stream_->unsent();
  for (const PipelinedRequest& request : pipeline_) {
    holding.bytes +=
        request.memory + (request.answer.has_value() ? request.answer->body.size() : 0);
  }
  const bool is_held = stream_->is_read_paused() || continue_pending_;
  if (writing_ && !stream_->is_write_paused()) {
    holding.phase = limits::Phase::kSending;
    holding.last_progress = sent_at_;
  } else if (reader_.has_begun() && !is_held) {
    holding.phase = limits::Phase::kReceiving;
    holding.last_progress = received_at_;
    holding.announced = reader_.stated_body();
  }
  share_.set(holding);
}

bool ServerConnection::may_be_evicted() const {
  const bool is_unread = !reader_.has_begun() && stream_->has_unread();
  return pipeline_.empty() && !writing_ && !is_unread;
}

void ServerConnection::revoke_memory() {
  const auto keep = shared_from_this();
  if (writing_) {
    return shut_down();
  }
  if (reader_.has_begun() && !has_last_request_) {
    give_up(UnreadReason::kNoMemory);
    advance();
  }
}

void ServerConnection::send_continue() {
  if (continue_pending_ && pipeline_.empty() && !writing_) {
    continue_pending_ = false;
    last_activity_ = boot_time_now();  // the client waited with its body until now
    received_at_ = last_activity_;
    stream_->write(kContinue);
  }
}

void ServerConnection::append_request(HttpMessage request) {
  continue_pending_ = false;
  PipelinedRequest next;
  next.number = next_number_++;
  next.first_byte = first_byte_;
  next.closes = !request.keep_alive;
  next.memory = message_memory(request);
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
  handle(exchange, next.unread);
  return true;
}

void ServerConnection::handle(const ExchangePointer& exchange, UnreadReason unread) {
  const auto call_handler = [&] {
    if (unread == UnreadReason::kNone) {
      server_.handler_(exchange);
    } else {
      server_.unread_handler_(exchange, unread);
    }
  };
  if (!run_contained("handle request", exchange->path(), call_handler)) {
    ++server_.failed_handlers_;
    shut_down();
  }
}

void ServerConnection::refuse(unsigned status, std::string_view message, HeaderList headers) {
  ++server_.refused_;
  PipelinedRequest refused;
  refused.number = next_number_++;
  refused.closes = true;
  has_last_request_ = true;
  reader_.discard();
  waiting_ = {};
  headers.emplace_back("Content-Type", "application/json");
  pipeline_.push_back(std::move(refused));
  hold_answer(pipeline_.back(),
              {status, std::move(headers), error_json(message, "read request"), false});
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
  sent_at_ = boot_time_now();
  const bool has_body = !is_head && allows_body(status);
  const std::string head = serialize_response_head(status, all, body.size());
  unsent_then_ = head.size() + (has_body ? body.size() : 0);
  if (has_body) {
    stream_->write(head, body);
  } else {
    stream_->write(head);
  }
}

void ServerConnection::discard_remaining() {
  has_last_request_ = true;
  is_ending_ = true;
  pipeline_.clear();
  waiting_ = {};
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
    update_share();
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
