#include "transport/http_client.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "transport/client_connection.hpp"
#include "transport/containment.hpp"
#include "transport/event_loop.hpp"

namespace planktray::transport {
namespace {

using common::ErrorCode;
using common::TimePoint;

constexpr guint kSweepSeconds = 1;

}  // namespace

std::pair<std::string, std::string> split_url(const std::string& url) {
  constexpr std::string_view kScheme = "http://";
  const std::string rest = url.starts_with(kScheme) ? url.substr(kScheme.size()) : url;
  const auto slash = rest.find('/');
  return {rest.substr(0, slash), slash == std::string::npos ? "/" : rest.substr(slash)};
}

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
