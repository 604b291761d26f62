#include "transport/http_client.hpp"

#include <map>
#include <utility>

#include "transport/event_loop.hpp"

namespace planktray::transport {
namespace {

/// A server that was not used for this long loses its session.
constexpr common::Duration kSessionIdle = std::chrono::minutes(15);

/// The "IP:port" of a URL, or the whole text where there is none.
std::string server_of(const std::string& url) {
  const auto scheme = url.find("://");
  if (scheme == std::string::npos) {
    return url;
  }
  const auto begin = scheme + 3;
  const auto end = url.find('/', begin);
  return url.substr(begin, end == std::string::npos ? end : end - begin);
}

void mark_started(SoupMessage* /*message*/, gpointer flag) { *static_cast<bool*>(flag) = true; }

void append_header(const char* name, const char* value, gpointer list) {
  static_cast<HeaderList*>(list)->emplace_back(name, value);
}

}  // namespace

struct HttpClient::Call {
  std::uint64_t id = 0;
  std::weak_ptr<Calls> calls;
  SoupMessage* message = nullptr;
  GCancellable* cancellable = nullptr;
  guint timer = 0;
  bool started = false;
  bool timed_out = false;
  Callback callback;
  std::string url;
};

struct HttpClient::Calls {
  std::uint64_t next_id = 1;
  std::map<std::uint64_t, Call*> active;
};

std::string_view HttpResponse::text() const {
  if (!body) {
    return {};
  }
  gsize size = 0;
  const void* data = g_bytes_get_data(body.get(), &size);
  return {static_cast<const char*>(data), size};
}

std::string_view HttpResponse::header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (key.size() == name.size() &&
        g_ascii_strncasecmp(key.data(), name.data(), name.size()) == 0) {
      return value;
    }
  }
  return {};
}

HttpClient::HttpClient(int connections_per_host)
    : connections_per_host_(connections_per_host), calls_(std::make_shared<Calls>()) {}

HttpClient::~HttpClient() {
  for (auto& [server, session] : sessions_) {
    soup_session_abort(session.session);
    g_object_unref(session.session);
  }
}

SoupSession* HttpClient::session_for(const std::string& url) {
  const common::TimePoint now = boot_time_now();
  drop_idle_sessions(now);
  Session& session = sessions_[server_of(url)];
  session.last_used = now;
  if (session.session == nullptr) {
    session.session =
        soup_session_new_with_options("max-conns", connections_per_host_, "max-conns-per-host",
                                      connections_per_host_, "timeout", 0, nullptr);
    soup_session_remove_feature_by_type(session.session, SOUP_TYPE_CONTENT_DECODER);
  }
  return session.session;
}

void HttpClient::drop_idle_sessions(common::TimePoint now) {
  if (now < next_cleaning_) {
    return;
  }
  next_cleaning_ = now + kSessionIdle;
  std::erase_if(sessions_, [&](auto& item) {
    // Longer than any request may take: nothing is under way in an idle session.
    if (now - item.second.last_used < kSessionIdle) {
      return false;
    }
    g_object_unref(item.second.session);
    return true;
  });
}

std::size_t HttpClient::in_flight() const { return calls_->active.size(); }

std::uint64_t HttpClient::send(const HttpRequest& request, Callback callback) {
  auto* call = new Call;
  call->id = calls_->next_id++;
  call->calls = calls_;
  call->callback = std::move(callback);
  call->url = request.url;
  call->message = soup_message_new(request.method.c_str(), request.url.c_str());
  const std::uint64_t id = call->id;
  if (call->message == nullptr) {
    HttpResponse response;
    response.error = {common::ErrorCode::kInvalid, "send request", request.url, "not a valid URL"};
    call->callback(response);
    delete call;
    return id;
  }
  SoupMessageHeaders* headers = soup_message_get_request_headers(call->message);
  for (const auto& [name, value] : request.headers) {
    soup_message_headers_replace(headers, name.c_str(), value.c_str());
  }
  if (!request.body.empty()) {
    GBytes* bytes = g_bytes_new(request.body.data(), request.body.size());
    soup_message_set_request_body_from_bytes(call->message, request.content_type.c_str(), bytes);
    g_bytes_unref(bytes);
  }
  unsigned flags = SOUP_MESSAGE_NO_REDIRECT;
  if (request.fresh_connection) {
    flags |= SOUP_MESSAGE_NEW_CONNECTION;
    soup_message_headers_replace(headers, "Connection", "close");
  }
  soup_message_set_flags(call->message, static_cast<SoupMessageFlags>(flags));
  g_signal_connect(call->message, "starting", G_CALLBACK(mark_started), &call->started);
  call->cancellable = g_cancellable_new();
  if (request.timeout.count() > 0) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(request.timeout).count();
    call->timer = g_timeout_add(static_cast<guint>(wait), on_timeout, call);
  }
  calls_->active[id] = call;
  soup_session_send_and_read_async(session_for(request.url), call->message, G_PRIORITY_DEFAULT,
                                   call->cancellable, on_done, call);
  return id;
}

gboolean HttpClient::on_timeout(gpointer data) {
  auto* call = static_cast<Call*>(data);
  call->timer = 0;
  call->timed_out = true;
  g_cancellable_cancel(call->cancellable);
  return G_SOURCE_REMOVE;
}

void HttpClient::cancel(std::uint64_t id) {
  const auto found = calls_->active.find(id);
  if (found != calls_->active.end()) {
    found->second->callback = nullptr;
    g_cancellable_cancel(found->second->cancellable);
  }
}

void HttpClient::on_done(GObject* source, GAsyncResult* result, gpointer data) {
  const std::unique_ptr<Call> call(static_cast<Call*>(data));
  GError* error = nullptr;
  GBytes* bytes = soup_session_send_and_read_finish(SOUP_SESSION(source), result, &error);
  HttpResponse response;
  response.was_sent = call->started;
  if (bytes != nullptr) {
    response.body = std::shared_ptr<GBytes>(bytes, g_bytes_unref);
    SoupMessageHeaders* headers = soup_message_get_response_headers(call->message);
    const bool states_length =
        soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CONTENT_LENGTH;
    const bool is_head = soup_message_get_method(call->message) == SOUP_METHOD_HEAD;
    const auto stated = static_cast<gsize>(soup_message_headers_get_content_length(headers));
    if (states_length && !is_head && stated != g_bytes_get_size(bytes)) {
      response.error = {common::ErrorCode::kCorrupt, "read answer", call->url,
                        "the answer is shorter than stated"};
    } else {
      response.status = soup_message_get_status(call->message);
      soup_message_headers_foreach(headers, append_header, &response.headers);
    }
  } else {
    const auto code =
        call->timed_out ? common::ErrorCode::kTimeout : common::ErrorCode::kUnavailable;
    response.error = {code, call->started ? "read answer" : "connect", call->url,
                      call->timed_out ? "no answer in time" : error->message};
    g_error_free(error);
  }
  if (call->timer != 0) {
    g_source_remove(call->timer);
  }
  if (const auto calls = call->calls.lock()) {
    calls->active.erase(call->id);
  }
  g_object_unref(call->message);
  g_object_unref(call->cancellable);
  if (call->callback) {
    call->callback(response);
  }
}

}  // namespace planktray::transport
