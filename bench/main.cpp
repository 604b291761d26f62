/// planktray-bench: measures slopes inside one process. tools/slopes adds what needs real
/// processes.

#include <CLI/CLI.hpp>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

#include "slopes.hpp"

int main(int argc, char** argv) {
  CLI::App app("Slopes of state, processor time and bytes against size");
  bool as_json = false;
  app.add_flag("--json", as_json, "Print JSON");
  CLI11_PARSE(app, argc, argv);
  const auto slopes = planktray::bench::measure_slopes();
  nlohmann::json body = nlohmann::json::array();
  for (const auto& slope : slopes) {
    if (as_json) {
      body.push_back({{"name", slope.name},
                      {"size", slope.size},
                      {"value", slope.value},
                      {"unit", slope.unit}});
    } else {
      std::printf("%-54s %-36s %14.3f %s\n", slope.name.c_str(), slope.size.c_str(), slope.value,
                  slope.unit.c_str());
    }
  }
  if (as_json) {
    std::cout << body.dump(2) << '\n';
  }
  return 0;
}
