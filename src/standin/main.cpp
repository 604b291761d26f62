/// planktray-standin: stand-ins for the external systems that planktray connects to, for tests.

#include "standin/backend_process.hpp"
#include "standin/hollow_process.hpp"
#include "standin/load_process.hpp"
#include "standin/platform_process.hpp"
#include "standin/relay_process.hpp"
#include "transport/logging.hpp"
#include "transport/settings.hpp"

namespace {

using planktray::standin::BackendSettings;
using planktray::standin::HollowSettings;
using planktray::standin::LoadSettings;
using planktray::standin::PlatformSettings;
using planktray::standin::RelaySettings;
using planktray::transport::add_milliseconds;
using planktray::transport::check_endpoint;

template <typename Process, typename Settings>
int run_process(const std::string& program, const std::string& instance, const Settings& settings) {
  planktray::transport::start_logging(program, instance);
  Process process(settings);
  if (auto started = process.start(); !started) {
    planktray::transport::log_error("start_failed", started.error());
    return planktray::transport::kExitFailure;
  }
  return process.run();
}

CLI::App* add_backend(CLI::App& app, BackendSettings& settings) {
  CLI::App* command = app.add_subcommand("backend", "A back end that holds leases and runs work");
  command->add_option("--name", settings.name, "Machine name")->required();
  command->add_option("--address", settings.address, "IP:port")->required()->check(check_endpoint);
  command->add_option("--ledger", settings.ledger, "File for one line an effect");
  command->add_option("--slots", settings.slots, "Requests run at once")
      ->check(CLI::Range(1, 1000));
  command->add_option("--queue", settings.queue_limit, "Requests that may wait")
      ->check(CLI::Range(0, 100'000));
  add_milliseconds(*command, "--service-ms", settings.service_time, 0, 60'000,
                   "Mean time of one request");
  add_milliseconds(*command, "--delay-ms", settings.network_delay, 0, 10'000,
                   "Network delay, each way");
  return command;
}

CLI::App* add_platform(CLI::App& app, PlatformSettings& settings) {
  CLI::App* command = app.add_subcommand("platform", "The list of live and leaving machines");
  command->add_option("--address", settings.address, "IP:port")->required()->check(check_endpoint);
  command->add_option("--file", settings.file, "JSON list to start from")
      ->required()
      ->check(CLI::ExistingFile);
  add_milliseconds(*command, "--lag-ms", settings.lag, 0, 600'000,
                   "A change shows this much later");
  return command;
}

CLI::App* add_load(CLI::App& app, LoadSettings& settings) {
  CLI::App* command = app.add_subcommand("load", "Open-loop load with a record of outcomes");
  command->add_option("--router", settings.routers, "IP:port of a router; repeatable")
      ->required()
      ->check(check_endpoint);
  command->add_option("--service", settings.services, "TENANT/SERVICE; repeatable")->required();
  command->add_option("--rate", settings.rate, "Requests a second")
      ->check(CLI::Range(0.1, 100'000.0));
  command->add_option("--write-share", settings.write_share, "Share that may run once at most")
      ->check(CLI::Range(0.0, 1.0));
  command->add_option("--keys", settings.keys, "Different keys")->check(CLI::Range(1, 100'000'000));
  command->add_option("--timeout-ms", settings.timeout_ms, "Deadline")
      ->check(CLI::Range(1, 600'000));
  command->add_option("--record", settings.record, "File for one line a request");
  command->add_option("--seed", settings.seed, "Seed of the random choices");
  command->add_flag("--json", settings.as_json, "Print JSON");
  add_milliseconds(*command, "--duration-ms", settings.duration, 1, 3'600'000, "How long to send");
  return command;
}

CLI::App* add_hollow(CLI::App& app, HollowSettings& settings) {
  CLI::App* command =
      app.add_subcommand("hollow", "Many hollow back ends and routers, for measuring control");
  command->add_option("--first-port", settings.first_port, "Machine list; back ends follow")
      ->check(CLI::Range(1024, 65'000));
  command->add_option("--backends", settings.backends, "How many")->check(CLI::Range(0, 20'000));
  command->add_option("--routers", settings.routers, "How many")->check(CLI::Range(0, 20'000));
  command->add_option("--controller", settings.controllers, "Peer address; repeatable");
  return command;
}

CLI::App* add_relay(CLI::App& app, RelaySettings& settings, std::vector<std::string>& links) {
  CLI::App* command = app.add_subcommand("relay", "A TCP relay that delays and can be cut");
  command->add_option("--control", settings.control, "IP:port")->required()->check(check_endpoint);
  command->add_option("--link", links, "LISTEN=TARGET, IP:port each; repeatable")->required();
  add_milliseconds(*command, "--delay-ms", settings.delay, 0, 10'000, "Delay, each way");
  return command;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("planktray-standin: back ends, the platform's list, a relay and a load tool.");
  app.require_subcommand(1);
  BackendSettings backend_settings;
  PlatformSettings platform_settings;
  LoadSettings load_settings;
  RelaySettings relay_settings;
  HollowSettings hollow_settings;
  std::vector<std::string> links;
  bool check_only = false;
  const CLI::App* backend = add_backend(app, backend_settings);
  const CLI::App* platform = add_platform(app, platform_settings);
  const CLI::App* load = add_load(app, load_settings);
  const CLI::App* relay = add_relay(app, relay_settings, links);
  const CLI::App* hollow = add_hollow(app, hollow_settings);
  planktray::transport::add_settings_file(app, check_only);
  const int exit_code = planktray::transport::parse_settings(app, argc, argv, check_only);
  if (exit_code >= 0) {
    return exit_code;
  }
  for (const std::string& link : links) {
    const auto equals = link.find('=');
    if (equals == std::string::npos || !check_endpoint(link.substr(0, equals)).empty() ||
        !check_endpoint(link.substr(equals + 1)).empty()) {
      std::cerr << "settings: --link " << link << ": must be LISTEN=TARGET\n";
      return planktray::transport::kExitBadSettings;
    }
    relay_settings.links.push_back({link.substr(0, equals), link.substr(equals + 1)});
  }
  if (backend->parsed()) {
    return run_process<planktray::standin::BackendProcess>("backend", backend_settings.name,
                                                           backend_settings);
  }
  if (platform->parsed()) {
    return run_process<planktray::standin::PlatformProcess>("platform", "platform",
                                                            platform_settings);
  }
  if (load->parsed()) {
    return run_process<planktray::standin::LoadProcess>("load", "load", load_settings);
  }
  if (hollow->parsed()) {
    return run_process<planktray::standin::HollowProcess>("hollow", "hollow", hollow_settings);
  }
  if (relay->parsed()) {
    return run_process<planktray::standin::RelayProcess>("relay", "relay", relay_settings);
  }
  return planktray::transport::kExitBadSettings;
}
