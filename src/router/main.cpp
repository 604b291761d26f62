/// planktray-router: takes callers' requests and forwards them to the back end that owns the key.

#include "router/native_dialect.hpp"
#include "router/router_process.hpp"
#include "router/settings.hpp"
#include "transport/logging.hpp"
#include "transport/settings.hpp"

namespace {

void add_settings(CLI::App& app, planktray::router::RouterSettings& settings, bool& check_only) {
  planktray::router::add_common_settings(app, settings);
  planktray::router::add_deployment_settings(app, settings);
  planktray::transport::add_settings_file(app, check_only);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "planktray-router: takes callers' requests and forwards each to the back end that owns its\n"
      "key, or to a target of a service without keys.\n\n"
      "Example:\n"
      "  planktray-router --name router-hala-a --zone hala-a --address 127.0.0.1:8001 \\\n"
      "    --controller 127.0.0.1:7101 --controller 127.0.0.1:7102");
  planktray::router::RouterSettings settings;
  bool check_only = false;
  add_settings(app, settings, check_only);
  const int exit_code = planktray::transport::parse_settings(app, argc, argv, check_only);
  if (exit_code >= 0) {
    return exit_code;
  }
  settings.settings_path = planktray::transport::settings_path(app);
  settings.reload = [argc, argv] {
    return planktray::transport::read_settings<planktray::router::RouterSettings>(
        [](CLI::App& fresh, planktray::router::RouterSettings& read) {
          bool ignored = false;
          add_settings(fresh, read, ignored);
        },
        argc, argv);
  };
  planktray::transport::start_logging("router", settings.options.name.value);
  auto dialect = std::make_unique<planktray::router::NativeDialect>(settings.options.name.value);
  planktray::router::RouterProcess process(std::move(settings), std::move(dialect));
  if (auto started = process.start(); !started) {
    planktray::transport::log_error("start_failed", started.error());
    return planktray::transport::kExitFailure;
  }
  planktray::transport::end_process(process.run());
}
