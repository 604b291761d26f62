#include "standin/backend_process.hpp"

#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <random>

#include "standin/lease_endpoint.hpp"
#include "transport/json_messages.hpp"
#include "transport/logging.hpp"

namespace planktray::standin {
namespace {

using nlohmann::json;
using transport::boot_time_now;

constexpr common::Duration kTick = std::chrono::milliseconds(5);
/// A draining back end stays up this long after its last request, to serve requests in flight.
constexpr common::Duration kDrainQuiet = std::chrono::milliseconds(1000);
constexpr std::size_t kMaxBody = 16 * 1024 * 1024;
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusConflict = 409;
constexpr unsigned kStatusUnavailable = 503;

std::uint64_t random_seed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

BackendOptions core_options(const BackendSettings& settings, std::uint64_t seed) {
  BackendOptions options;
  options.incarnation = common::Incarnation(settings.name + "-" + std::to_string(seed));
  options.slots = settings.slots;
  options.queue_limit = settings.queue_limit;
  return options;
}

bool read_number(std::string_view text, std::uint64_t& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() && !text.empty();
}

}  // namespace

BackendProcess::BackendProcess(BackendSettings settings)
    : settings_(std::move(settings)),
      random_(random_seed()),
      core_(core_options(settings_, random_())) {}

common::Result<void> BackendProcess::start() {
  if (!settings_.ledger.empty()) {
    ledger_.open(settings_.ledger, std::ios::app);
    if (!ledger_) {
      return common::fail(common::ErrorCode::kIo, "open ledger", settings_.ledger,
                          "cannot be written");
    }
  }
  auto server = transport::HttpServer::listen(
      settings_.address, transport::options_with_body_limit(kMaxBody),
      [this](const transport::ExchangePointer& exchange) { on_http(exchange); });
  if (!server.has_value()) {
    return tl::unexpected(server.error());
  }
  server_ = std::move(*server);
  transport::log_event("started", {{"incarnation", core_.holder().incarnation().value}});
  return {};
}

int BackendProcess::run() {
  loop_.every(kTick, [this] {
    core_.tick(boot_time_now());
    flush();
    const bool finished = core_.is_idle() && work_.empty() &&
                          core_.holder().held(boot_time_now()).empty() &&
                          boot_time_now() - last_work_ > kDrainQuiet && server_->unfinished() == 0;
    if (stopping_ && (finished || boot_time_now() >= stop_by_)) {
      loop_.quit();
    }
  });
  loop_.on_terminate([this] {
    if (!stopping_) {
      stopping_ = true;
      last_work_ = boot_time_now();
      stop_by_ = boot_time_now() + settings_.drain_timeout;
      core_.begin_drain();
      transport::log_event("draining", {});
    }
  });
  loop_.run();
  return 0;
}

void BackendProcess::later(std::function<void()> action) {
  if (settings_.network_delay.count() == 0) {
    action();
  } else {
    loop_.after(settings_.network_delay, std::move(action));
  }
}

void BackendProcess::on_http(const transport::ExchangePointer& exchange) {
  const std::string& path = exchange->path();
  if (path == "/planktray/v1/lease") {
    return answer_lease(core_, exchange);
  }
  if (path == "/planktray/v1/release") {
    return on_release(exchange);
  }
  if (path == "/planktray/v1/health") {
    return exchange->respond_json(kStatusOk, transport::to_json(core_.describe(boot_time_now())));
  }
  if (path == "/metrics") {
    return exchange->respond_text(kStatusOk, "text/plain; version=0.0.4", metrics_text());
  }
  if (path == "/healthz" || path == "/readyz") {
    return exchange->respond_text(kStatusOk, "text/plain", "ok\n");
  }
  later([this, exchange] { on_work(exchange); });
}

void BackendProcess::on_release(const transport::ExchangePointer& exchange) {
  const auto request = transport::parse_release_request(exchange->body(), "controller");
  if (!request.has_value()) {
    return exchange->respond_error(request.error());
  }
  const ReleaseId id = next_id_++;
  releases_[id] = exchange;
  core_.on_release(boot_time_now(), id, *request);
  flush();
}

void BackendProcess::on_work(const transport::ExchangePointer& exchange) {
  WorkOrder order;
  std::uint64_t timeout_ms = 0;
  std::uint64_t shard = 0;
  std::uint64_t epoch = 0;
  order.request = common::RequestId(std::string(exchange->header("Planktray-Request-Id")));
  order.incarnation = common::Incarnation(std::string(exchange->header("Planktray-Incarnation")));
  order.service = {common::TenantName(std::string(exchange->header("Planktray-Tenant"))),
                   common::ServiceName(std::string(exchange->header("Planktray-Service")))};
  const std::string_view shard_text = exchange->header("Planktray-Shard");
  order.keyed = !shard_text.empty();
  const bool readable = read_number(exchange->header("Planktray-Timeout-Ms"), timeout_ms) &&
                        (!order.keyed || (read_number(shard_text, shard) &&
                                          read_number(exchange->header("Planktray-Epoch"), epoch)));
  if (!readable || order.request.value.empty()) {
    return exchange->respond_json(kStatusBadRequest, R"({"error":"headers are missing"})");
  }
  order.shard = common::ShardNumber(static_cast<std::uint32_t>(shard));
  order.epoch = common::Epoch(epoch);
  order.deadline = boot_time_now() + std::chrono::milliseconds(timeout_ms);
  last_work_ = boot_time_now();
  const WorkId id = next_id_++;
  work_[id] = {exchange, order};
  exchange->on_gone([this, id] { core_.on_work_cancelled(id); });
  core_.on_work(boot_time_now(), id, std::move(order));
  flush();
}

void BackendProcess::flush() {
  while (true) {
    BackendOutput output = core_.take_output();
    if (output.started.empty() && output.done.empty() && output.releases.empty()) {
      return;
    }
    for (const WorkStarted& started : output.started) {
      start_work(started.work);
    }
    for (const WorkDone& done : output.done) {
      end_work(done);
    }
    for (const ReleaseDone& done : output.releases) {
      const auto found = releases_.find(done.release);
      if (found == releases_.end()) {
        continue;
      }
      if (done.reply.accepted) {
        found->second->respond_json(
            kStatusOk, transport::to_json(done.reply, common::to_microseconds(boot_time_now())));
      } else {
        found->second->respond_json(kStatusConflict, R"({"reason":"stale_term"})");
      }
      releases_.erase(found);
    }
  }
}

common::Duration BackendProcess::draw_service_time() {
  const double factor = -std::log(1.0 - common::uniform_real(random_));
  return common::Duration(static_cast<common::Duration::rep>(
      static_cast<double>(settings_.service_time.count()) * factor));
}

void BackendProcess::start_work(WorkId id) {
  loop_.after(draw_service_time(), [this, id] {
    core_.on_work_finished(boot_time_now(), id);
    flush();
  });
}

void BackendProcess::end_work(const WorkDone& done) {
  const auto found = work_.find(done.work);
  if (found == work_.end()) {
    return;
  }
  const Work work = std::move(found->second);
  work_.erase(found);
  const std::string& request_id = work.order.request.value;
  if (done.refusal.has_value()) {
    ++refused_;
    later([exchange = work.exchange, refusal = *done.refusal, request_id] {
      exchange->respond_json(kStatusUnavailable, R"({"error":"not run"})",
                             {{"Planktray-Not-Run", std::string(routing::to_string(refusal))},
                              {"Planktray-Request-Id", request_id}});
    });
    return;
  }
  ++executed_;
  write_ledger(work.order);
  const json body = {{"request_id", request_id}, {"machine", settings_.name}};
  later([exchange = work.exchange, text = body.dump(), request_id] {
    exchange->respond_json(kStatusOk, text, {{"Planktray-Request-Id", request_id}});
  });
}

void BackendProcess::write_ledger(const WorkOrder& order) {
  if (!ledger_.is_open()) {
    return;
  }
  ledger_ << json{{"at_us", common::to_microseconds(boot_time_now())},
                  {"machine", settings_.name},
                  {"incarnation", core_.holder().incarnation().value},
                  {"request_id", order.request.value},
                  {"tenant", order.service.tenant.value},
                  {"service", order.service.service.value},
                  {"keyed", order.keyed},
                  {"shard", order.shard.value},
                  {"epoch", order.epoch.value}}
                 .dump()
          << std::endl;  // NOLINT(performance-avoid-endl): SIGKILL must not lose entries
}

std::string BackendProcess::metrics_text() {
  metrics_.set_counter("standin_executed_total", "Requests that ran.", executed_);
  metrics_.set_counter("standin_refused_total", "Requests refused as not run.", refused_);
  metrics_.set_gauge("standin_running", "Requests that run now.", core_.running());
  return metrics_.serialize();
}

}  // namespace planktray::standin
