/// planktray-controller: one replica of a cell.

#include "controller/controller_process.hpp"
#include "controller/settings.hpp"
#include "transport/logging.hpp"
#include "transport/settings.hpp"

namespace {

void add_settings(CLI::App& app, planktray::controller::ControllerSettings& settings,
                  bool& check_only) {
  planktray::controller::add_common_settings(app, settings);
  planktray::controller::add_deployment_settings(app, settings);
  planktray::transport::add_settings_file(app, check_only);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "planktray-controller: one replica of a cell. It keeps the replicated log, grants leases\n"
      "to back ends and distributes routing tables to routers.\n\n"
      "Example:\n"
      "  planktray-controller --name controller-1 --data /var/lib/planktray \\\n"
      "    --peer-address 127.0.0.1:7101 --operator-address 127.0.0.1:7201 \\\n"
      "    --peer 127.0.0.1:7102 --peer 127.0.0.1:7103 \\\n"
      "    --platform-url http://127.0.0.1:7001/machines");
  planktray::controller::ControllerSettings settings;
  bool check_only = false;
  add_settings(app, settings, check_only);
  const bool& check_flag = check_only;
  app.callback([&] {
    const std::string problem = planktray::controller::validate_settings(settings);
    if (!problem.empty()) {
      throw CLI::ValidationError(problem);
    }
  });
  const int exit_code = planktray::transport::parse_settings(app, argc, argv, check_flag);
  if (exit_code >= 0) {
    return exit_code;
  }
  settings.settings_path = planktray::transport::settings_path(app);
  settings.reload = [argc, argv] {
    return planktray::transport::read_settings<planktray::controller::ControllerSettings>(
        [](CLI::App& fresh, planktray::controller::ControllerSettings& read) {
          bool ignored = false;
          add_settings(fresh, read, ignored);
        },
        argc, argv);
  };
  planktray::transport::start_logging("controller", settings.options.name);
  planktray::controller::ControllerProcess process(std::move(settings));
  if (auto started = process.start(); !started) {
    planktray::transport::log_error("start_failed", started.error());
    return planktray::transport::kExitFailure;
  }
  planktray::transport::end_process(process.run());
}
