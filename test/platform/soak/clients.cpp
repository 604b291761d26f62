#include "soak/clients.hpp"

#include <algorithm>
#include <memory>

#include "platform/names.hpp"
#include "soak/pipeline.hpp"
#include "transport/event_loop.hpp"

namespace planktray::soak {
namespace {

using transport::boot_time_now;

constexpr Duration kAnswerTimeout = std::chrono::milliseconds(4000);
/// Arrivals read within this time after a stall of this process may have arrived earlier.
constexpr Duration kStallTolerance = std::chrono::milliseconds(200);
/// Limits of the connections to all routers together and to each router.
constexpr std::size_t kMaxConnections = 4000;
constexpr std::size_t kMinConnectionsPerServer = 4;
constexpr std::size_t kMaxConnectionsPerServer = 64;
constexpr double kUnsafeShare = 0.2;
constexpr double kChangingShare = 0.5;
/// Pipelines use a separate random engine, so they don't change the other draws of a seed.
constexpr std::uint64_t kPipelineSeed = 1'000'000;
/// Probability of a pipeline for each other request.
constexpr double kPipelineShare = 0.02;
/// Exceeds the number of requests that a router processes concurrently for one connection.
constexpr int kPipelineLength = 12;

bool is_refusal(unsigned status) {
  return status == platform::kStatusTooManyRequests || status == platform::kStatusUnavailable ||
         status == platform::kStatusRequestTimeout || status == platform::kStatusMisdirected;
}

std::string ms(Duration time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) +
         " ms";
}

}  // namespace

Clients::Clients(const Processes& processes, const Operator& changes, Promises promises,
                 std::uint64_t seed)
    : processes_(processes),
      changes_(changes),
      promises_(promises),
      random_(seed),
      pipeline_random_(seed + kPipelineSeed),
      client_({.connections_per_server =
                   std::clamp<std::size_t>(kMaxConnections / processes.of(Role::kRouter).size(),
                                           kMinConnectionsPerServer, kMaxConnectionsPerServer)}) {}

void Clients::send(TimePoint now, int count) {
  const auto routers = processes_.of(Role::kRouter);
  for (int i = 0; i < count; ++i) {
    const std::size_t router = routers[common::uniform(random_, 0, routers.size() - 1)];
    const auto& routes = changes_.routes();
    if (common::chance(pipeline_random_, kPipelineShare)) {
      send_pipeline(now, router);
    }
    if (!routes.empty() && common::chance(random_, kChangingShare)) {
      // Uses the newest routes: these were recently added or removed.
      constexpr std::size_t kNewest = 30;
      const std::size_t first = routes.size() > kNewest ? routes.size() - kNewest : 0;
      const std::size_t chosen = common::uniform(random_, first, routes.size() - 1);
      send_one(now, router, routes[chosen].path, true, chosen, {});
    } else {
      const bool safe = !common::chance(random_, kUnsafeShare);
      send_one(now, router, safe ? Operator::kSafePath : Operator::kUnsafePath, safe, std::nullopt,
               {});
    }
  }
}

void Clients::ask_all(const std::string& path, const std::function<void(std::size_t)>& done) {
  const auto routers = processes_.of(Role::kRouter);
  struct Count {
    std::size_t left;
    std::size_t served = 0;
  };
  auto count = std::make_shared<Count>(Count{routers.size()});
  for (const std::size_t router : routers) {
    send_one(boot_time_now(), router, path, true, std::nullopt, [count, done](unsigned status) {
      count->served += status == platform::kStatusOk ? 1 : 0;
      if (--count->left == 0) {
        done(count->served);
      }
    });
  }
}

void Clients::send_one(TimePoint now, std::size_t router, const std::string& path, bool safe,
                       std::optional<std::size_t> route,
                       const std::function<void(unsigned)>& done) {
  const Process& process = processes_.all()[router];
  const std::string id = record_request(now, router, path, safe, route);
  transport::HttpRequest request;
  request.method = safe ? "GET" : "POST";
  request.address = process.address;
  request.target = path + "x";
  request.headers = {{"Host", Operator::kHost},
                     {platform::kRequestIdHeader, id},
                     {platform::kDeadlineHeader, "2000"}};
  request.timeout = kAnswerTimeout;
  client_.send(std::move(request), [this, id, done](const transport::HttpResponse& response) {
    on_answer(id, response);
    if (done) {
      done(response.status);
    }
  });
}

std::string Clients::record_request(TimePoint now, std::size_t router, const std::string& path,
                                    bool safe, std::optional<std::size_t> route) {
  std::string id = "q" + std::to_string(next_++);
  Request record;
  record.router = router;
  record.router_pid = processes_.all()[router].pid;
  record.path = path;
  record.safe = safe;
  record.route = route;
  record.sent = now;
  requests_[id] = record;
  ++counts_.sent;
  return id;
}

void Clients::send_pipeline(TimePoint now, std::size_t router) {
  std::vector<PipelinedRequest> requests;
  for (int i = 0; i < kPipelineLength; ++i) {
    const bool safe = !common::chance(pipeline_random_, kUnsafeShare);
    const std::string path = safe ? Operator::kSafePath : Operator::kUnsafePath;
    const std::string id = record_request(now, router, path, safe, std::nullopt);
    counts_.pipelined += i > 0 ? 1 : 0;
    const transport::HeaderList headers = {{"Host", Operator::kHost},
                                           {platform::kRequestIdHeader, id},
                                           {platform::kDeadlineHeader, "2000"}};
    requests.push_back(
        {id, transport::serialize_request_head(safe ? "GET" : "POST", path + "x", headers, 0),
         [this, id](const transport::HttpResponse& response) { on_answer(id, response); }});
  }
  Pipeline::send(processes_.all()[router].address, std::move(requests), kAnswerTimeout);
}

void Clients::on_answer(const std::string& id, const transport::HttpResponse& response) {
  Request& request = requests_.at(id);
  const unsigned status = response.status;
  request.was_refused = is_refusal(status);
  counts_.served += status == platform::kStatusOk ? 1 : 0;
  counts_.refused += request.was_refused ? 1 : 0;
  counts_.not_found += status == platform::kStatusNotFound ? 1 : 0;
  const bool is_known =
      status == platform::kStatusOk || request.was_refused || status == platform::kStatusNotFound;
  counts_.other += is_known ? 0 : 1;
  if (status == platform::kStatusOk &&
      (response.header(platform::kSealHeader) != "seal-" + id || response.body != "ran " + id)) {
    record_violation("MIXED", id, request, "got the answer " + std::string(response.text()));
  }
  const bool is_denied = status >= 400 && status < 500 && !request.was_refused;
  if (is_denied && !request.route.has_value()) {
    record_violation("DENIED", id, request, "status " + std::to_string(status));
  }
  if (request.route.has_value()) {
    check_route(id, request, status);
  }
  count_share(request, status);
  check_connection_loss(id, request, response);
}

void Clients::on_path_changed(TimePoint now, std::size_t router, bool is_cut) {
  if (is_cut) {
    cut_since_[router] = now;
  } else {
    cut_since_.erase(router);
  }
}

void Clients::count_share(const Request& request, unsigned status) {
  const TimePoint now = boot_time_now();
  const Duration span = promises_.contact + (now - request.sent);
  const bool is_permanent = !request.route.has_value();
  const bool is_undisturbed = Processes::was_quiet(processes_.all()[request.router], now, span) &&
                              processes_.controllers_were_quiet(now, span);
  if (cut_since_.empty() || !is_permanent || !is_undisturbed) {
    return;
  }
  const auto cut = cut_since_.find(request.router);
  if (cut != cut_since_.end() && request.sent < cut->second + promises_.contact) {
    return;
  }
  Share& share = cut == cut_since_.end() ? elsewhere_ : at_cut_routers_;
  ++share.sent;
  share.served += status == platform::kStatusOk ? 1 : 0;
  counts_.at_cut_routers += cut == cut_since_.end() ? 0 : 1;
}

void Clients::check_route(const std::string& id, const Request& request, unsigned status) {
  const ChangingRoute& route = changes_.routes()[*request.route];
  const TimePoint now = boot_time_now();
  const auto limit = bound(processes_.all()[request.router], request.sent, now);
  if (!limit.has_value()) {
    return;
  }
  const bool must_be_present =
      route.added.has_value() && !route.removal_sent && request.sent > *route.added + *limit;
  const bool must_be_absent = route.removed.has_value() && request.sent > *route.removed + *limit;
  counts_.checked_added += must_be_present ? 1 : 0;
  counts_.checked_removed += must_be_absent ? 1 : 0;
  if (must_be_present && status == platform::kStatusNotFound) {
    record_violation(
        "CONFIG", id, request,
        "no such route " + ms(request.sent - *route.added) + " after its acknowledgement");
  }
  if (must_be_absent && status == platform::kStatusOk) {
    record_violation(
        "CONFIG", id, request,
        "served " + ms(request.sent - *route.removed) + " after the removal's acknowledgement");
  }
}

void Clients::check_connection_loss(const std::string& id, const Request& request,
                                    const transport::HttpResponse& response) {
  const Process& router = processes_.all()[request.router];
  const bool is_same = router.pid == request.router_pid && router.pid > 0;
  // A reused connection may have been closed while the request was in flight.
  const bool is_cut = !response.is_whole() && response.was_sent && !response.used_before;
  if (is_cut && is_same && router.terminating && !router.paused) {
    record_violation("LOST", id, request, "cut beside a planned stop: " + response.error.message);
  }
}

std::optional<Duration> Clients::bound(const Process& router, TimePoint since,
                                       TimePoint now) const {
  const Duration span = promises_.contact + (now - since);
  if (!Processes::was_quiet(router, now, span)) {
    return std::nullopt;
  }
  if (processes_.controllers_were_quiet(now, span)) {
    return promises_.change;
  }
  const Duration longer = span + promises_.change + promises_.stretch;
  return processes_.controllers_had_majority(now, longer)
             ? std::optional(promises_.change + promises_.stretch)
             : std::nullopt;
}

void Clients::on_arrival(const Arrival& arrival) {
  const auto found = requests_.find(arrival.request);
  if (found == requests_.end()) {
    violations_.push_back("UNASKED " + arrival.request + " ran at " + arrival.instance);
    return;
  }
  Request& request = found->second;
  ++request.runs;
  if (!request.safe && request.runs > 1) {
    record_violation("TWICE", arrival.request, request,
                     "ran " + std::to_string(request.runs) + " times");
  }
  const bool was_read_late = arrival.when < stalled_until_ + kStallTolerance;
  if (!arrival.leaving_since.has_value() || was_read_late) {
    return;
  }
  const Process& router = processes_.all()[request.router];
  const Duration span = promises_.contact + (arrival.when - request.sent);
  if (!Processes::was_quiet(router, arrival.when, span) ||
      !processes_.controllers_were_quiet(arrival.when, span)) {
    return;
  }
  ++counts_.checked_leaving;
  if (arrival.when > *arrival.leaving_since + promises_.change) {
    record_violation("DRAIN", arrival.request, request,
                     "reached " + arrival.instance + " " +
                         ms(arrival.when - *arrival.leaving_since) +
                         " after its leaving was acknowledged");
  }
}

void Clients::check_at_end() {
  const std::uint64_t failed = at_cut_routers_.sent - at_cut_routers_.served;
  const bool is_served_less =
      3 * at_cut_routers_.served * elsewhere_.sent < 2 * elsewhere_.served * at_cut_routers_.sent;
  if (is_served_less && failed > 10 + at_cut_routers_.sent / 50) {
    violations_.push_back("RECOVER routers without a path to the targets served " +
                          std::to_string(at_cut_routers_.served) + " of " +
                          std::to_string(at_cut_routers_.sent) + ", the others " +
                          std::to_string(elsewhere_.served) + " of " +
                          std::to_string(elsewhere_.sent));
  }
  for (const auto& [id, request] : requests_) {
    if (!request.safe && request.was_refused && request.runs > 0) {
      record_violation("REFUSED", id, request, "was told that it has not run, and ran");
    }
  }
}

void Clients::record_violation(const std::string& rule, const std::string& id,
                               const Request& request, const std::string& what) {
  violations_.push_back(rule + " " + id + " " + request.path + " at " +
                        processes_.all()[request.router].name + ": " + what);
}

}  // namespace planktray::soak
