#include "crowd/crowd_fleet.hpp"

#include <cstdlib>
#include <filesystem>
#include <string>
#include <utility>

#include "platform/names.hpp"
#include "soak/usage.hpp"

namespace planktray::crowd {
namespace {

using common::Duration;
using std::chrono::milliseconds;
using transport::boot_time_now;

constexpr Duration kTick = milliseconds(10);
constexpr Duration kLongestWait = std::chrono::seconds(60);
constexpr Duration kAttemptTimeout = milliseconds(4000);
constexpr Duration kPause = milliseconds(200);
/// Times that a client asks before it gives up. All of them together take less than the time after
/// which an idle connection is closed.
constexpr int kAttempts = 10;
constexpr int kControllers = 3;
constexpr int kTargets = 4;
/// Offsets from the first internal port.
constexpr int kInternalPort = 7100;
constexpr int kOperatorPortOffset = 1;
constexpr int kRelayPortOffset = 2;

std::string machine_lines(std::size_t memory_mb, std::uint64_t descriptors) {
  return "memory-mb = " + std::to_string(memory_mb) +
         "\ndescriptors = " + std::to_string(descriptors) + "\n";
}

soak::FleetSettings settings_of(const CrowdFleetOptions& options) {
  return {machine_lines(options.controller_memory_mb, options.descriptors),
          machine_lines(options.memory_mb, options.descriptors), options.descriptors};
}

std::filesystem::path folder_of_programs() {
  const char* folder = std::getenv("PLANKTRAY_PROGRAMS");
  return std::filesystem::absolute(folder == nullptr ? "build/release" : folder);
}

std::filesystem::path data_folder(std::uint64_t seed) {
  return std::filesystem::absolute("run/crowd") / std::to_string(seed);
}

std::string with_port(const std::string& address, int port) {
  return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

}  // namespace

CrowdFleet::CrowdFleet(CrowdFleetOptions options)
    : options_(std::move(options)),
      processes_(folder_of_programs(), data_folder(options_.seed),
                 soak::FleetSize{kControllers, 1, kTargets}, options_.seed, settings_of(options_)),
      operator_(control_addresses(), options_.seed, options_.limits),
      targets_(
          processes_.network(), kTargets, control_addresses(), options_.seed,
          [](const soak::Arrival& /*arrival*/) {}, options_.targets),
      client_(transport::HttpClientOptions()) {
  loop_.every(kTick, [this] { tick(); });
}

std::vector<std::string> CrowdFleet::control_addresses() const {
  std::vector<std::string> addresses;
  for (const std::size_t i : processes_.of(Role::kController)) {
    addresses.push_back(processes_.all()[i].address);
  }
  return addresses;
}

void CrowdFleet::tick() {
  const common::TimePoint now = boot_time_now();
  has_ended_process_ = !processes_.reap(now).empty() || has_ended_process_;
  targets_.tick(now);
  operator_.tick(now, !operator_.has_first_configuration());
  sample(processes_.all()[processes_.of(Role::kRouter).front()], router_usage_);
  sample(processes_.all()[processes_.of(Role::kController).front()], controller_usage_);
  condition_held_ = condition_ && condition_();
  if (condition_held_ || now >= give_up_) {
    loop_.quit();
  }
}

void CrowdFleet::sample(const soak::Process& process, Usage& usage) {
  if (process.pid <= 0) {
    return;
  }
  usage.memory_bytes = std::max(usage.memory_bytes, soak::peak_memory(process.pid));
  usage.descriptors = std::max(usage.descriptors, soak::open_descriptors(process.pid));
}

bool CrowdFleet::run_until(const std::function<bool()>& condition) {
  condition_ = condition;
  give_up_ = boot_time_now() + kLongestWait;
  loop_.run();
  condition_ = nullptr;
  return condition_held_;
}

void CrowdFleet::run_for(Duration time) {
  const common::TimePoint until = boot_time_now() + time;
  run_until([until] { return boot_time_now() >= until; });
}

bool CrowdFleet::start() {
  if (!targets_.start().has_value()) {
    return false;
  }
  processes_.start_all(boot_time_now());
  return run_until([this] { return operator_.has_first_configuration(); }) &&
         serves(ordinary_request());
}

transport::HttpRequest CrowdFleet::ordinary_request() const {
  transport::HttpRequest request;
  request.address = front_address();
  request.target = std::string(soak::Operator::kSafePath) + "ordinary";
  request.headers = {{"Host", soak::Operator::kHost}, {platform::kDeadlineHeader, "4000"}};
  return request;
}

bool CrowdFleet::serves(const transport::HttpRequest& request) {
  for (int i = 0; i < kAttempts; ++i) {
    transport::HttpRequest attempt = request;
    attempt.headers.emplace_back(platform::kRequestIdHeader,
                                 "request-" + std::to_string(++requests_));
    if (transport::is_success(status_of(attempt))) {
      return true;
    }
    run_for(kPause);
  }
  return false;
}

bool CrowdFleet::controller_answers() {
  transport::HttpRequest request;
  request.address = control_address();
  request.target = platform::kGetPath;
  for (int i = 0; i < kAttempts; ++i) {
    const unsigned status = status_of(request);
    if (transport::is_success(status) || status == platform::kStatusTemporaryRedirect) {
      return true;
    }
    run_for(kPause);
  }
  return false;
}

unsigned CrowdFleet::status_of(const transport::HttpRequest& request) {
  transport::HttpRequest attempt = request;
  attempt.fresh_connection = true;
  attempt.timeout = kAttemptTimeout;
  std::optional<unsigned> status;
  client_.send(std::move(attempt),
               [&status](const transport::HttpResponse& response) { status = response.status; });
  run_until([&status] { return status.has_value(); });
  return status.value_or(0);
}

bool CrowdFleet::all_alive() const {
  bool are_running = true;
  for (const soak::Process& process : processes_.all()) {
    are_running = are_running && process.pid > 0;
  }
  return are_running && !has_ended_process_;
}

std::string CrowdFleet::front_address() const {
  return processes_.all()[processes_.of(Role::kRouter).front()].address;
}

std::string CrowdFleet::ready_address() const {
  return processes_.all()[processes_.of(Role::kRouter).front()].ready;
}

std::string CrowdFleet::relay_address() const {
  return with_port(front_address(), kInternalPort + kRelayPortOffset);
}

std::string CrowdFleet::control_address() const { return control_addresses().front(); }

std::string CrowdFleet::internal_address() const {
  return with_port(control_address(), kInternalPort);
}

std::string CrowdFleet::operator_address() const {
  return with_port(control_address(), kInternalPort + kOperatorPortOffset);
}

}  // namespace planktray::crowd
