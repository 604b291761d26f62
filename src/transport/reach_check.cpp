#include "transport/reach_check.hpp"

#include <utility>

namespace planktray::transport {

ReachChecker::~ReachChecker() {
  for (auto& [id, check] : checks_) {
    if (check->timer != 0) {
      g_source_remove(check->timer);
    }
    if (check->stream != nullptr) {
      check->stream->close();
    }
  }
}

void ReachChecker::check(const std::string& address, Callback callback) {
  auto check = std::make_unique<Check>();
  check->owner = this;
  check->id = next_id_++;
  check->address = address;
  check->callback = std::move(callback);
  check->timer = set_timer(delay_, on_begin, check.get());
  const std::uint64_t id = check->id;
  checks_[id] = std::move(check);
}

guint ReachChecker::set_timer(common::Duration wait, GSourceFunc function, Check* check) {
  const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
  return g_timeout_add(static_cast<guint>(milliseconds), function, check);
}

gboolean ReachChecker::on_begin(gpointer data) {
  auto* check = static_cast<Check*>(data);
  check->timer = 0;
  check->owner->begin(*check);
  return G_SOURCE_REMOVE;
}

gboolean ReachChecker::on_timeout(gpointer data) {
  auto* check = static_cast<Check*>(data);
  check->timer = 0;
  check->owner->finish(check->id, Reach::kUnknown);
  return G_SOURCE_REMOVE;
}

gboolean ReachChecker::on_settled(gpointer data) {
  auto* check = static_cast<Check*>(data);
  check->timer = 0;
  check->owner->finish(check->id, Reach::kListens);
  return G_SOURCE_REMOVE;
}

void ReachChecker::on_connected(std::uint64_t id) {
  const auto found = checks_.find(id);
  if (settle_time_.count() == 0 || found == checks_.end()) {
    return finish(id, Reach::kListens);
  }
  Check& check = *found->second;
  g_source_remove(check.timer);
  check.timer = set_timer(settle_time_, on_settled, &check);
}

void ReachChecker::begin(Check& check) {
  auto stream = TcpStream::connect(check.address, common::Duration(0), nullptr);
  if (!stream.has_value()) {
    const bool is_refused = stream.error().code == common::ErrorCode::kUnavailable;
    return finish(check.id, is_refused ? Reach::kRefused : Reach::kUnknown);
  }
  check.stream = std::move(*stream);
  check.timer = set_timer(timeout_, on_timeout, &check);
  TcpStream::Handlers handlers;
  handlers.on_connected = [this, id = check.id] { on_connected(id); };
  handlers.on_end = [this, id = check.id](StreamEnd /*end*/) { finish(id, Reach::kRefused); };
  check.stream->start(std::move(handlers));
}

gboolean ReachChecker::on_release(gpointer data) {
  delete static_cast<std::shared_ptr<TcpStream>*>(data);
  return G_SOURCE_REMOVE;
}

void ReachChecker::finish(std::uint64_t id, Reach reach) {
  const auto found = checks_.find(id);
  if (found == checks_.end()) {
    return;
  }
  const std::unique_ptr<Check> check = std::move(found->second);
  checks_.erase(found);
  if (check->timer != 0) {
    g_source_remove(check->timer);
  }
  if (check->stream != nullptr) {
    check->stream->close();
    // Deferred, since this function may be running in a callback of the stream.
    g_idle_add(on_release, new std::shared_ptr<TcpStream>(std::move(check->stream)));
  }
  check->callback(reach);
}

}  // namespace planktray::transport
