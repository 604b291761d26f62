#include "standin/relay_process.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

#include "transport/logging.hpp"

namespace planktray::standin {
namespace {

constexpr gsize kReadBytes = 64 * 1024;
constexpr std::size_t kMaxBody = 4096;
constexpr unsigned kStatusOk = 200;
constexpr std::string_view kPrefix = "/links/";
/// Interval at which pending bytes of a cut direction are retried.
constexpr common::Duration kCutPoll = std::chrono::milliseconds(10);

GSocketAddress* socket_address(const std::string& address) {
  const auto endpoint = transport::parse_endpoint(address);
  return endpoint.has_value()
             ? g_inet_socket_address_new_from_string(endpoint->host.c_str(), endpoint->port)
             : nullptr;
}

bool parse_cut(const std::string& name, RelayCut& cut) {
  if (name == "none") {
    cut = RelayCut::kNone;
  } else if (name == "both") {
    cut = RelayCut::kBoth;
  } else if (name == "to-target") {
    cut = RelayCut::kToTarget;
  } else if (name == "from-target") {
    cut = RelayCut::kFromTarget;
  } else {
    return false;
  }
  return true;
}

}  // namespace

struct RelayProcess::Link {
  RelayProcess* relay = nullptr;
  std::string target;
  GSocketService* service = nullptr;
  RelayCut cut = RelayCut::kNone;
};

/// The caller's and the target's socket of one relayed connection.
struct RelayProcess::Connection {
  GSocketConnection* caller = nullptr;
  GSocketConnection* target = nullptr;

  ~Connection() {
    for (GSocketConnection* side : {caller, target}) {
      if (side != nullptr) {
        g_io_stream_close(G_IO_STREAM(side), nullptr, nullptr);
        g_object_unref(side);
      }
    }
  }
};

/// One direction of a connection.
struct RelayProcess::Pump {
  Link* link = nullptr;
  std::shared_ptr<Connection> connection;
  GInputStream* from = nullptr;
  GOutputStream* to = nullptr;
  bool towards_target = false;

  bool is_cut() const {
    return link->cut == RelayCut::kBoth ||
           link->cut == (towards_target ? RelayCut::kToTarget : RelayCut::kFromTarget);
  }
};

RelayProcess::RelayProcess(RelaySettings settings) : settings_(std::move(settings)) {}

RelayProcess::~RelayProcess() {
  for (const auto& link : links_) {
    if (link->service != nullptr) {
      g_socket_service_stop(link->service);
      g_object_unref(link->service);
    }
  }
}

common::Result<void> RelayProcess::start() {
  for (const RelayLink& link : settings_.links) {
    if (auto started = start_link(link); !started) {
      return started;
    }
  }
  auto control = transport::HttpServer::listen(
      settings_.control, transport::options_with_body_limit(kMaxBody),
      [this](const transport::ExchangePointer& exchange) { on_control(exchange); });
  if (!control.has_value()) {
    return tl::unexpected(control.error());
  }
  control_ = std::move(*control);
  transport::log_event("started", {{"links", std::to_string(links_.size())}});
  return {};
}

common::Result<void> RelayProcess::start_link(const RelayLink& settings) {
  auto link = std::make_unique<Link>();
  link->relay = this;
  link->target = settings.target;
  link->service = g_socket_service_new();
  GSocketAddress* address = socket_address(settings.listen);
  GError* error = nullptr;
  const gboolean added =
      address != nullptr &&
      g_socket_listener_add_address(G_SOCKET_LISTENER(link->service), address, G_SOCKET_TYPE_STREAM,
                                    G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, &error);
  g_clear_object(&address);
  if (added == FALSE) {
    const std::string message = error == nullptr ? "not an address" : error->message;
    g_clear_error(&error);
    return common::fail(common::ErrorCode::kIo, "listen", settings.listen, message);
  }
  g_signal_connect(link->service, "incoming", G_CALLBACK(on_incoming), link.get());
  g_socket_service_start(link->service);
  links_.push_back(std::move(link));
  return {};
}

int RelayProcess::run() {
  loop_.on_terminate([this] { loop_.quit(); });
  loop_.run();
  return 0;
}

void RelayProcess::on_control(const transport::ExchangePointer& exchange) {
  const std::string& path = exchange->path();
  if (path == "/healthz") {
    return exchange->respond_text(kStatusOk, "text/plain", "ok\n");
  }
  std::size_t number = links_.size();
  if (path.starts_with(kPrefix)) {
    std::from_chars(path.data() + kPrefix.size(), path.data() + path.size(), number);
  }
  const auto body = nlohmann::json::parse(exchange->body(), nullptr, false);
  const std::string name = body.is_object() ? body.value("cut", "") : "";
  if (number >= links_.size() || !parse_cut(name, links_[number]->cut)) {
    return exchange->respond_error({common::ErrorCode::kInvalid, "change link", path,
                                    "cut must be none, both, to-target or from-target"});
  }
  transport::log_event("link_changed", {{"link", std::to_string(number)}, {"cut", name}});
  exchange->respond_json(kStatusOk, "{}");
}

gboolean RelayProcess::on_incoming(GSocketService* /*service*/, GSocketConnection* incoming,
                                   GObject* /*source*/, gpointer data) {
  auto* link = static_cast<Link*>(data);
  auto* pending = new std::pair<Link*, GSocketConnection*>(
      link, static_cast<GSocketConnection*>(g_object_ref(incoming)));
  GSocketClient* client = g_socket_client_new();
  GSocketAddress* address = socket_address(link->target);
  g_socket_client_connect_async(client, G_SOCKET_CONNECTABLE(address), nullptr, on_connected,
                                pending);
  g_object_unref(address);
  g_object_unref(client);
  return TRUE;
}

void RelayProcess::on_connected(GObject* client, GAsyncResult* result, gpointer data) {
  const std::unique_ptr<std::pair<Link*, GSocketConnection*>> pending(
      static_cast<std::pair<Link*, GSocketConnection*>*>(data));
  GError* error = nullptr;
  auto connection = std::make_shared<Connection>();
  connection->caller = pending->second;
  connection->target = g_socket_client_connect_finish(G_SOCKET_CLIENT(client), result, &error);
  if (connection->target == nullptr) {
    g_clear_error(&error);
    return;  // destroying `connection` closes the caller's socket
  }
  for (const bool towards_target : {true, false}) {
    auto pump = std::make_shared<Pump>();
    pump->link = pending->first;
    pump->connection = connection;
    pump->towards_target = towards_target;
    GIOStream* from = G_IO_STREAM(towards_target ? connection->caller : connection->target);
    GIOStream* to = G_IO_STREAM(towards_target ? connection->target : connection->caller);
    pump->from = g_io_stream_get_input_stream(from);
    pump->to = g_io_stream_get_output_stream(to);
    read_more(pump);
  }
}

void RelayProcess::read_more(const std::shared_ptr<Pump>& pump) {
  g_input_stream_read_bytes_async(pump->from, kReadBytes, G_PRIORITY_DEFAULT, nullptr, on_read,
                                  new std::shared_ptr<Pump>(pump));
}

void RelayProcess::on_read(GObject* stream, GAsyncResult* result, gpointer data) {
  const std::unique_ptr<std::shared_ptr<Pump>> owned(static_cast<std::shared_ptr<Pump>*>(data));
  const std::shared_ptr<Pump> pump = *owned;
  GError* error = nullptr;
  GBytes* bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(stream), result, &error);
  if (bytes == nullptr || g_bytes_get_size(bytes) == 0) {
    g_clear_error(&error);
    g_clear_pointer(&bytes, g_bytes_unref);
    GSocketConnection* other =
        pump->towards_target ? pump->connection->target : pump->connection->caller;
    g_socket_shutdown(g_socket_connection_get_socket(other), FALSE, TRUE, nullptr);
    return;
  }
  const common::Duration delay = pump->link->relay->settings_.delay;
  if (delay.count() == 0) {
    deliver(pump, bytes);
  } else {
    pump->link->relay->loop_.after(delay, [pump, bytes] { deliver(pump, bytes); });
  }
}

void RelayProcess::deliver(const std::shared_ptr<Pump>& pump, GBytes* bytes) {
  if (pump->is_cut()) {
    pump->link->relay->loop_.after(kCutPoll, [pump, bytes] { deliver(pump, bytes); });
    return;
  }
  auto* data = new std::pair<std::shared_ptr<Pump>, GBytes*>(pump, bytes);
  gsize size = 0;
  const void* content = g_bytes_get_data(bytes, &size);
  g_output_stream_write_all_async(pump->to, content, size, G_PRIORITY_DEFAULT, nullptr, on_written,
                                  data);
}

void RelayProcess::on_written(GObject* stream, GAsyncResult* result, gpointer data) {
  const std::unique_ptr<std::pair<std::shared_ptr<Pump>, GBytes*>> owned(
      static_cast<std::pair<std::shared_ptr<Pump>, GBytes*>*>(data));
  g_bytes_unref(owned->second);
  if (g_output_stream_write_all_finish(G_OUTPUT_STREAM(stream), result, nullptr, nullptr) !=
      FALSE) {
    read_more(owned->first);
  }
}

}  // namespace planktray::standin
