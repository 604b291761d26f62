#include "transport/http_client.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <optional>
#include <utility>

#include "common/hash.hpp"
#include "transport/containment.hpp"
#include "transport/event_loop.hpp"

namespace planktray::transport {
namespace {

using common::Duration;
using common::ErrorCode;
using common::TimePoint;

constexpr guint kSweepSeconds = 1;
constexpr unsigned kFirstFinalStatus = 200;
/// A connection is reused only within this fraction of the server's keep-alive time: if the server
/// closes the connection while a request is on its way, the outcome of that request is unknown.
constexpr double kUsableShareOfIdle = 0.75;
/// A connection is closed after this many responses, so that it can remember all that it has
/// delivered in 8 KiB.
constexpr std::size_t kMaxResponses = 1024;
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
  return std::chrono::seconds(seconds);
}

}  // namespace

std::pair<std::string, std::string> split_url(const std::string& url) {
  constexpr std::string_view kScheme = "http://";
  const std::string rest = url.starts_with(kScheme) ? url.substr(kScheme.size()) : url;
  const auto slash = rest.find('/');
  return {rest.substr(0, slash), slash == std::string::npos ? "/" : rest.substr(slash)};
}

// ---------------------------------------------------------------- one connection

/// One connection to a server: carries one call at a time and is idle in between.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(HttpClient& client, std::string address, std::shared_ptr<TcpStream> stream)
      : client_(client),
        address_(std::move(address)),
        stream_(std::move(stream)),
        reader_(HttpRole::kResponse, client.options_.limits),
        idle_(client.options_.idle_timeout),
        last_used_(boot_time_now()) {}
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;
  ~ClientConnection() {
    stop_timer(connect_timer_);
    stop_timer(settle_timer_);
  }

  void start() {
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

  /// Starts a call; the connection must be new or idle.
  void start_call(std::uint64_t call, const HttpRequest& request) {
    call_ = call;
    has_begun_ = false;
    is_written_ = false;
    stream_->hold_writing(false);
    used_before_ = calls_carried_++ > 0;
    fresh_only_ = request.fresh_connection;
    answer_header_ = request.answer_header;
    answer_value_ = request.answer_value;
    accepts_unmarked_ = request.accepts_unmarked;
    expects_no_body_ = request.method == "HEAD";
    if (expects_no_body_) {
      reader_.expect_no_body();
    }
    HeaderList headers = request.headers;
    if (find_header(headers, "Host").empty()) {
      headers.emplace_back("Host", address_);
    }
    if (fresh_only_) {
      headers.emplace_back("Connection", "close");
    }
    std::string bytes = serialize_request(request.method, request.target, headers, request.body);
    if (used_before_ || request.settle_time.count() == 0) {
      return stream_->write(std::move(bytes));
    }
    settle_time_ = request.settle_time;
    unsettled_ = std::move(bytes);
  }

  /// True if some bytes of the current call may have reached the server.
  bool was_sent() const { return used_before_ || stream_->has_sent(); }
  /// True if the response to a request with this value has arrived here. May be true by chance for
  /// another value, with a probability of 2^-64 for each response.
  bool has_delivered(const std::string& answer_value) const {
    return !answer_value.empty() && std::find(delivered_.begin(), delivered_.end(),
                                              answer_digest(answer_value)) != delivered_.end();
  }
  bool is_usable(TimePoint now) const {
    return stream_->is_open() &&
           now - last_used_ < std::chrono::duration_cast<Duration>(idle_ * kUsableShareOfIdle);
  }

  void hold(bool held) { stream_->hold_writing(held); }
  TimePoint last_used() const { return last_used_; }
  void close() {
    const auto keep = shared_from_this();
    const bool abandons_call = std::exchange(call_, 0) != 0;
    stop_timer(connect_timer_);
    stop_timer(settle_timer_);
    if (abandons_call) {
      stream_->abort();  // bytes of the call in transit should not arrive later
    } else {
      stream_->close();
    }
    if (!std::exchange(removed_, true)) {
      client_.remove_connection(address_, this);
    }
  }

 private:
  static gboolean on_connect_timeout(gpointer self) {
    auto* connection = static_cast<ClientConnection*>(self);
    const auto keep = connection->shared_from_this();
    connection->connect_timer_ = 0;
    connection->fail(
        {ErrorCode::kTimeout, "connect", connection->address_, "the connection did not come up"});
    return G_SOURCE_REMOVE;
  }
  static gboolean on_settled(gpointer self) {
    auto* connection = static_cast<ClientConnection*>(self);
    const auto keep = connection->shared_from_this();
    connection->settle_timer_ = 0;
    connection->stream_->write(std::exchange(connection->unsettled_, {}));
    return G_SOURCE_REMOVE;
  }
  static void stop_timer(guint& timer) {
    if (timer != 0) {
      g_source_remove(std::exchange(timer, 0));
    }
  }

  void on_connected() {
    stop_timer(connect_timer_);
    client_.report_stage(call_, SendStage::kConnected);
    if (!unsettled_.empty()) {
      const auto wait = std::chrono::ceil<std::chrono::milliseconds>(settle_time_).count();
      settle_timer_ = g_timeout_add(static_cast<guint>(wait), on_settled, this);
    }
  }

  void on_sent() {
    if (!std::exchange(has_begun_, true)) {
      client_.report_stage(call_, SendStage::kBegun);
    }
  }

  void on_drained() {
    // While a request waits for its connection to settle, the stream reports that it is drained
    // before the request is written.
    if (has_begun_ && !std::exchange(is_written_, true)) {
      client_.report_stage(call_, SendStage::kWritten);
    }
  }

  void on_data(std::string_view bytes) {
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
      }
    }
  }

  /// @param is_last no bytes have arrived after this message.
  void take_message(bool is_last) {
    HttpMessage message = reader_.take();
    if (expects_no_body_) {
      reader_.expect_no_body();
    }
    if (message.status < kFirstFinalStatus) {
      return;  // an interim (1xx) response
    }
    if (!is_own(message)) {
      has_surplus_ = true;
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

  bool is_own(const HttpMessage& message) const {
    if (answer_header_.empty()) {
      return true;
    }
    const std::string_view value = find_header(message.headers, answer_header_);
    return value == answer_value_ || (value.empty() && accepts_unmarked_);
  }

  void on_end(StreamEnd end) {
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

  void fail(common::Error error) {
    stream_->abort();
    HttpResponse response;
    response.error = std::move(error);
    complete(std::move(response), false);
  }

  void complete(HttpResponse response, bool reusable) {
    response.was_sent = was_sent();
    response.used_before = used_before_;
    const std::uint64_t call = std::exchange(call_, 0);
    last_used_ = boot_time_now();
    if (reusable) {
      client_.add_idle(address_, shared_from_this());
    } else {
      close();
    }
    client_.finish(call, std::move(response));
  }

  HttpClient& client_;
  std::string address_;
  std::shared_ptr<TcpStream> stream_;
  HttpReader reader_;
  Duration idle_;
  TimePoint last_used_;     ///< when it was opened or completed its last call
  std::uint64_t call_ = 0;  ///< 0: idle
  std::uint64_t calls_carried_ = 0;
  std::string answer_header_;
  std::string answer_value_;
  bool accepts_unmarked_ = false;
  std::vector<std::uint64_t> delivered_;  ///< digests of the answer values of its responses
  bool has_begun_ = false;                ///< the kernel has accepted a byte of the current call
  bool is_written_ = false;               ///< the kernel has accepted all of its bytes
  bool used_before_ = false;
  bool fresh_only_ = false;
  bool expects_no_body_ = false;
  bool has_surplus_ = false;
  bool removed_ = false;
  guint connect_timer_ = 0;
  guint settle_timer_ = 0;
  Duration settle_time_{0};
  std::string unsettled_;  ///< a request that waits for its connection to settle
};

// ---------------------------------------------------------------- client

HttpClient::HttpClient(HttpClientOptions options) : options_(options) {
  sweep_source_ = g_timeout_add_seconds(kSweepSeconds, on_sweep, this);
}

HttpClient::~HttpClient() {
  *alive_ = false;
  g_source_remove(sweep_source_);
  const auto calls = std::exchange(calls_, {});
  for (const auto& [id, call] : calls) {
    if (call.timer != 0) {
      g_source_remove(call.timer);
    }
    if (call.connection != nullptr) {
      call.connection->close();
    }
  }
  auto servers = std::exchange(servers_, {});
  for (auto& [address, server] : servers) {
    for (const auto& connection : server.idle) {
      connection->close();
    }
  }
}

std::uint64_t HttpClient::send(HttpRequest request, Callback callback, Progress progress) {
  const std::uint64_t id = next_id_++;
  Call& call = calls_[id];
  call.callback = std::move(callback);
  call.progress = std::move(progress);
  call.request = std::move(request);
  if (call.request.timeout.count() > 0) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(call.request.timeout).count();
    call.timer = g_timeout_add_full(G_PRIORITY_DEFAULT, static_cast<guint>(wait), on_timeout,
                                    new Timer{this, id},
                                    [](gpointer timer) { delete static_cast<Timer*>(timer); });
  }
  if (!call.request.fresh_connection) {
    call.connection = take_idle(call.request);
  }
  if (call.connection == nullptr) {
    if (servers_[call.request.address].open >= options_.connections_per_server) {
      close_one_idle(call.request.address);
    }
    Server& server = servers_[call.request.address];
    if (server.open >= options_.connections_per_server) {
      fail_later(
          id, {ErrorCode::kUnavailable, "connect", call.request.address, "no connection is free"});
      return id;
    }
    auto stream =
        TcpStream::connect(call.request.address, options_.unacknowledged_timeout, options_.pacer);
    if (!stream.has_value()) {
      fail_later(id, stream.error());
      return id;
    }
    ++server.open;
    ++opened_;
    call.connection =
        std::make_shared<ClientConnection>(*this, call.request.address, std::move(*stream));
    call.connection->start();
  }
  sending_ = id;
  call.connection->start_call(id, call.request);
  sending_ = 0;
  return id;
}

std::shared_ptr<ClientConnection> HttpClient::take_idle(const HttpRequest& request) {
  const auto found = servers_.find(request.address);
  if (found == servers_.end()) {
    return nullptr;
  }
  const TimePoint now = boot_time_now();
  const auto is_stale = [&](const auto& connection) {
    const bool is_idle_too_long =
        request.max_idle_time.count() > 0 && now - connection->last_used() > request.max_idle_time;
    return is_idle_too_long || !connection->is_usable(now);
  };
  std::vector<std::shared_ptr<ClientConnection>> stale;
  std::shared_ptr<ClientConnection> taken;
  auto& idle = found->second.idle;
  for (std::size_t i = idle.size(); i-- > 0 && taken == nullptr;) {
    const bool is_closed = is_stale(idle[i]);
    if (!is_closed && idle[i]->has_delivered(request.answer_value)) {
      continue;
    }
    (is_closed ? stale.emplace_back() : taken) = std::move(idle[i]);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
  }
  for (const auto& connection : stale) {
    connection->close();
  }
  return taken;
}

void HttpClient::close_one_idle(const std::string& address) {
  const auto found = servers_.find(address);
  if (found != servers_.end() && !found->second.idle.empty()) {
    const auto connection = found->second.idle.front();
    connection->close();
  }
}

void HttpClient::fail_later(std::uint64_t id, common::Error error) {
  EventLoop::post([this, alive = alive_, id, error = std::move(error)] {
    if (*alive) {
      HttpResponse response;
      response.error = error;
      finish(id, std::move(response));
    }
  });
}

void HttpClient::finish(std::uint64_t id, HttpResponse response) {
  if (id == sending_) {
    EventLoop::post([this, alive = alive_, id, response = std::move(response)] {
      if (*alive) {
        finish(id, response);
      }
    });
    return;
  }
  auto node = calls_.extract(id);
  if (node.empty()) {
    return;
  }
  Call& call = node.mapped();
  if (call.timer != 0) {
    g_source_remove(call.timer);
  }
  call.connection.reset();
  run_contained("handle answer", call.request.address, [&] { call.callback(response); });
}

void HttpClient::report_stage(std::uint64_t id, SendStage stage) {
  const auto found = calls_.find(id);
  if (found != calls_.end() && found->second.progress) {
    found->second.progress(stage);
  }
}

void HttpClient::cancel(std::uint64_t id) {
  auto node = calls_.extract(id);
  if (node.empty()) {
    return;
  }
  if (node.mapped().timer != 0) {
    g_source_remove(node.mapped().timer);
  }
  if (node.mapped().connection != nullptr) {
    node.mapped().connection->close();
  }
}

void HttpClient::hold(std::uint64_t id, bool held) {
  const auto found = calls_.find(id);
  if (found != calls_.end() && found->second.connection != nullptr) {
    const auto connection = found->second.connection;
    connection->hold(held);
  }
}

gboolean HttpClient::on_timeout(gpointer data) {
  const Timer timer = *static_cast<Timer*>(data);
  timer.client->expire(timer.call);
  return G_SOURCE_REMOVE;
}

void HttpClient::expire(std::uint64_t id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  found->second.timer = 0;
  HttpResponse response;
  response.error = {ErrorCode::kTimeout, "read answer", found->second.request.address,
                    "no answer in time"};
  if (const auto connection = found->second.connection) {
    response.was_sent = connection->was_sent();
    connection->close();
  }
  finish(id, std::move(response));
}

void HttpClient::add_idle(const std::string& address,
                          const std::shared_ptr<ClientConnection>& connection) {
  servers_[address].idle.push_back(connection);
}

void HttpClient::remove_connection(const std::string& address, const ClientConnection* connection) {
  const auto found = servers_.find(address);
  if (found == servers_.end()) {
    return;
  }
  std::erase_if(found->second.idle,
                [connection](const auto& item) { return item.get() == connection; });
  found->second.open -= found->second.open > 0 ? 1 : 0;
  if (found->second.open == 0) {
    servers_.erase(found);
  }
}

gboolean HttpClient::on_sweep(gpointer self) {
  static_cast<HttpClient*>(self)->sweep();
  return G_SOURCE_CONTINUE;
}

void HttpClient::sweep() {
  const TimePoint now = boot_time_now();
  std::vector<std::shared_ptr<ClientConnection>> stale;
  for (const auto& [address, server] : servers_) {
    std::copy_if(server.idle.begin(), server.idle.end(), std::back_inserter(stale),
                 [now](const auto& connection) { return !connection->is_usable(now); });
  }
  for (const auto& connection : stale) {
    connection->close();
  }
}

std::size_t HttpClient::connections() const {
  std::size_t count = 0;
  for (const auto& [address, server] : servers_) {
    count += server.open;
  }
  return count;
}

}  // namespace planktray::transport
