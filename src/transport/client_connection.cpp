#include "transport/client_connection.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "common/hash.hpp"
#include "transport/event_loop.hpp"

namespace planktray::transport {
namespace {

using common::Duration;
using common::ErrorCode;
using common::TimePoint;

constexpr unsigned kFirstFinalStatus = 200;
/// How often a response that waits for memory tries again. Stalled clients give theirs up after a
/// second.
constexpr guint kMemoryCheckMs = 50;
/// A connection is reused only within this fraction of the server's keep-alive time: if the server
/// closes the connection while a request is on its way, the outcome of that request is unknown.
constexpr double kUsableShareOfIdle = 0.75;
/// A connection is closed after this many responses, so that it can remember all that it has
/// delivered in 8 KiB.
constexpr std::size_t kMaxResponses = 1024;
/// Maximum interim (1xx) responses and responses to other requests before the own one; servers send
/// one or two. Each of them may be as large as the limit of a header.
constexpr std::size_t kMaxSkippedAnswers = 16;
/// Maximum body bytes of responses to other requests before the own one: some late copies of usual
/// size.
constexpr std::size_t kMaxOtherBytes = 128 * 1024;
/// Upper bound of the idle time that a server states.
constexpr std::int64_t kLongestIdleSeconds = 3600;
constexpr std::uint64_t kAnswerSeed = 0x616e7377;

std::uint64_t answer_digest(const std::string& answer_value) {
  return common::hash_bytes(answer_value, kAnswerSeed);
}

/// Returns the time in `Keep-Alive: timeout=N`, or nothing.
std::optional<Duration> announced_idle(const HeaderList& headers) {
  constexpr std::string_view kName = "timeout=";
  const std::string_view value = find_header(headers, "Keep-Alive");
  const auto at = value.find(kName);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  std::int64_t seconds = 0;
  const char* first = value.data() + at + kName.size();
  const auto [end, error] = std::from_chars(first, value.data() + value.size(), seconds);
  if (error != std::errc() || seconds < 0) {
    return std::nullopt;
  }
  return std::chrono::seconds(std::min(seconds, kLongestIdleSeconds));
}

}  // namespace

ClientConnection::ClientConnection(HttpClient& client, std::string address,
                                   std::shared_ptr<TcpStream> stream)
    : client_(client),
      address_(std::move(address)),
      stream_(std::move(stream)),
      reader_(HttpRole::kResponse, client.options_.limits),
      idle_(client.options_.idle_timeout),
      last_used_(boot_time_now()),
      share_(client.options_.memory, *this) {}

ClientConnection::~ClientConnection() {
  stop_timer(connect_timer_);
  stop_timer(settle_timer_);
  stop_timer(memory_timer_);
}

void ClientConnection::start() {
  const auto wait =
      std::chrono::ceil<std::chrono::milliseconds>(client_.options_.connect_timeout).count();
  connect_timer_ = g_timeout_add(static_cast<guint>(wait), on_connect_timeout, this);
  TcpStream::Handlers handlers;
  handlers.on_connected = [this] { on_connected(); };
  handlers.on_sent = [this] { on_sent(); };
  handlers.on_drained = [this] { on_drained(); };
  handlers.on_data = [this](std::string_view bytes) { on_data(bytes); };
  handlers.on_end = [this](StreamEnd end) { on_end(end); };
  stream_->start(std::move(handlers));
}

void ClientConnection::start_call(std::uint64_t call, const HttpRequest& request) {
  call_ = call;
  has_begun_ = false;
  is_written_ = false;
  stream_->hold_writing(false);
  used_before_ = calls_carried_++ > 0;
  fresh_only_ = request.fresh_connection;
  answer_header_ = request.answer_header;
  answer_value_ = request.answer_value;
  accepts_unmarked_ = request.accepts_unmarked;
  success_header_ = request.success_header;
  skipped_answers_ = 0;
  other_bytes_ = 0;
  is_admitted_ = false;
  reader_.set_answers_head(request.method == "HEAD");
  HeaderList headers = request.headers;
  if (find_header(headers, "Host").empty()) {
    headers.emplace_back("Host", address_);
  }
  if (fresh_only_) {
    headers.emplace_back("Connection", "close");
  }
  std::string head =
      serialize_request_head(request.method, request.target, headers, request.body.size());
  if (used_before_ || request.settle_time.count() == 0) {
    return stream_->write(head, request.body);
  }
  settle_time_ = request.settle_time;
  unsettled_head_ = std::move(head);
  unsettled_body_ = request.body;
}

bool ClientConnection::has_delivered(const std::string& answer_value) const {
  return !answer_value.empty() && std::find(delivered_.begin(), delivered_.end(),
                                            answer_digest(answer_value)) != delivered_.end();
}

bool ClientConnection::is_usable(TimePoint now) const {
  return stream_->is_open() &&
         now - last_used_ < std::chrono::duration_cast<Duration>(idle_ * kUsableShareOfIdle);
}

void ClientConnection::close() {
  const auto keep = shared_from_this();
  const bool abandons_call = std::exchange(call_, 0) != 0;
  stop_timer(connect_timer_);
  stop_timer(settle_timer_);
  stop_timer(memory_timer_);
  if (abandons_call) {
    stream_->abort();  // bytes of the call in transit should not arrive later
  } else {
    stream_->close();
  }
  if (!std::exchange(removed_, true)) {
    client_.remove_connection(address_, this);
  }
}

gboolean ClientConnection::on_connect_timeout(gpointer self) {
  auto* connection = static_cast<ClientConnection*>(self);
  const auto keep = connection->shared_from_this();
  connection->connect_timer_ = 0;
  connection->fail(
      {ErrorCode::kTimeout, "connect", connection->address_, "the connection did not come up"});
  return G_SOURCE_REMOVE;
}

gboolean ClientConnection::on_settled(gpointer self) {
  auto* connection = static_cast<ClientConnection*>(self);
  const auto keep = connection->shared_from_this();
  connection->settle_timer_ = 0;
  const std::string head = std::exchange(connection->unsettled_head_, {});
  connection->stream_->write(head, std::exchange(connection->unsettled_body_, {}));
  return G_SOURCE_REMOVE;
}

void ClientConnection::stop_timer(guint& timer) {
  if (timer != 0) {
    g_source_remove(std::exchange(timer, 0));
  }
}

void ClientConnection::on_connected() {
  stop_timer(connect_timer_);
  client_.report_stage(call_, SendStage::kConnected);
  if (!unsettled_head_.empty()) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(settle_time_).count();
    settle_timer_ = g_timeout_add(static_cast<guint>(wait), on_settled, this);
  }
}

void ClientConnection::on_sent() {
  if (!std::exchange(has_begun_, true)) {
    client_.report_stage(call_, SendStage::kBegun);
  }
}

void ClientConnection::on_drained() {
  // While a request waits for its connection to settle, the stream reports that it is drained
  // before the request is written.
  if (has_begun_ && !std::exchange(is_written_, true)) {
    client_.report_stage(call_, SendStage::kWritten);
  }
}

void ClientConnection::on_data(std::string_view bytes) {
  const auto keep = shared_from_this();
  if (call_ == 0) {
    close();  // unsolicited bytes
    return;
  }
  while (!bytes.empty() && call_ != 0) {
    bytes.remove_prefix(reader_.feed(bytes));
    if (reader_.has_failed()) {
      fail({ErrorCode::kCorrupt, "read answer", address_, "the answer cannot be read"});
      return;
    }
    if (reader_.is_whole()) {
      take_message(bytes.empty());
    } else {
      stream_->expect(reader_.body_left(), HangUp::kReadOn);
      review_partial();
    }
  }
  if (call_ != 0) {
    review_memory();
  }
}

void ClientConnection::update_share() {
  limits::Holding holding;
  holding.bytes = reader_.memory();
  holding.announced = is_admitted_ ? reader_.stated_body() : 0;
  share_.set(holding);
}

void ClientConnection::review_memory() {
  limits::MemoryAccount* memory = client_.options_.memory;
  if (memory == nullptr || !reader_.has_head() || is_admitted_) {
    return update_share();
  }
  const TimePoint now = boot_time_now();
  const std::size_t stated = reader_.stated_body();
  update_share();
  if (stated == 0) {
    const bool is_large = reader_.memory() > limits::kSmallMessageBytes;
    if (is_large && !memory->keep_within(now, share_)) {
      fail({ErrorCode::kCorrupt, "read answer", address_, "no memory for the answer"});
    }
    return;
  }
  is_admitted_ = stated <= limits::kSmallMessageBytes || memory->admit_large(now, stated);
  update_share();
  if (!is_admitted_ && memory_timer_ == 0) {
    // The response may have arrived whole when its back end closes the connection.
    stream_->pause_reading(HangUp::kReadOn);
    memory_timer_ = g_timeout_add(kMemoryCheckMs, on_memory_check, this);
  }
}

gboolean ClientConnection::on_memory_check(gpointer self) {
  auto* connection = static_cast<ClientConnection*>(self);
  const auto keep = connection->shared_from_this();
  connection->review_memory();
  if (!connection->is_admitted_) {
    return G_SOURCE_CONTINUE;
  }
  connection->memory_timer_ = 0;
  connection->stream_->resume_reading();
  return G_SOURCE_REMOVE;
}

void ClientConnection::review_partial() {
  const HttpMessage& message = reader_.message();
  if (!reader_.has_head() || message.status < kFirstFinalStatus) {
    return;
  }
  if (is_own(message)) {
    const bool lacks_header = !success_header_.empty() && is_success(message.status) &&
                              find_header(message.headers, success_header_).empty();
    if (lacks_header) {
      fail({ErrorCode::kCorrupt, "read answer", address_, "a success without " + success_header_});
    }
    return;
  }
  // The own response may follow on the connection, but not behind one that only its end ends.
  const bool is_last = reader_.ends_with_connection();
  if (is_last || other_bytes_ + message.body.size() > kMaxOtherBytes) {
    fail({ErrorCode::kCorrupt, "read answer", address_, "answers to others do not end"});
  }
}

void ClientConnection::skip_answer() {
  if (++skipped_answers_ > kMaxSkippedAnswers) {
    fail({ErrorCode::kCorrupt, "read answer", address_, "the answer does not come"});
  }
}

void ClientConnection::take_message(bool is_last) {
  HttpMessage message = reader_.take();
  if (message.status < kFirstFinalStatus) {
    skip_answer();
    return;
  }
  if (!is_own(message)) {
    has_surplus_ = true;
    other_bytes_ += message.body.size();
    skip_answer();
    return;
  }
  idle_ = announced_idle(message.headers).value_or(client_.options_.idle_timeout);
  if (!answer_value_.empty()) {
    delivered_.push_back(answer_digest(answer_value_));
  }
  const bool reusable = message.keep_alive && is_last && !has_surplus_ && !fresh_only_ &&
                        !stream_->is_writing() && stream_->is_open() &&
                        delivered_.size() < kMaxResponses;
  HttpResponse response;
  response.status = message.status;
  response.headers = std::move(message.headers);
  response.body = std::move(message.body);
  complete(std::move(response), reusable);
}

bool ClientConnection::is_own(const HttpMessage& message) const {
  if (answer_header_.empty()) {
    return true;
  }
  const std::string_view value = find_header(message.headers, answer_header_);
  return value == answer_value_ || (value.empty() && accepts_unmarked_);
}

void ClientConnection::on_end(StreamEnd end) {
  const auto keep = shared_from_this();
  if (call_ == 0) {
    close();
    return;
  }
  if (end == StreamEnd::kClosed) {
    reader_.finish();
    if (reader_.is_whole()) {
      take_message(true);
    }
  }
  if (call_ != 0) {
    const bool sent = was_sent();
    fail({ErrorCode::kUnavailable, sent ? "read answer" : "connect", address_,
          end == StreamEnd::kClosed ? "the connection was closed" : "the connection was reset"});
  }
}

void ClientConnection::fail(common::Error error) {
  stream_->abort();
  HttpResponse response;
  response.error = std::move(error);
  complete(std::move(response), false);
}

void ClientConnection::complete(HttpResponse response, bool reusable) {
  response.was_sent = was_sent();
  response.used_before = used_before_;
  const std::uint64_t call = std::exchange(call_, 0);
  last_used_ = boot_time_now();
  update_share();
  if (reusable) {
    client_.add_idle(address_, shared_from_this());
  } else {
    close();
  }
  client_.finish(call, std::move(response));
}

}  // namespace planktray::transport
