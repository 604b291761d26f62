/// planktray-bench: measures slopes in one process. tools/slopes measures those that need several
/// processes.

#include <CLI/CLI.hpp>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

#include "leader_load.hpp"
#include "limits.hpp"
#include "overload.hpp"
#include "slopes.hpp"

int main(int argc, char** argv) {
  CLI::App app("Slopes of state, processor time and bytes against size");
  bool as_json = false;
  app.add_flag("--json", as_json, "Print JSON");
  CLI::App* leader = app.add_subcommand("leader", "Cost of a leader's decisions about key ranges");
  planktray::bench::LeaderLoad load;
  leader->add_option("--holders", load.holders, "Back ends of the service divided by key");
  leader->add_option("--others", load.others, "Back ends of other services");
  leader->add_option("--routers", load.routers, "Routers")->check(CLI::PositiveNumber);
  leader->add_option("--requests", load.requests, "Keyed requests a second");
  leader->add_option("--replaced", load.replaced, "Back ends replaced a second")
      ->check(CLI::Range(0, 1000));
  leader->add_option("--seconds", load.seconds, "Simulated seconds measured");
  CLI::App* limits =
      app.add_subcommand("limits", "What routers send to a back end that names a limit");
  std::uint32_t limit_seconds = 4000;
  limits->add_option("--seconds", limit_seconds, "Simulated seconds of each run")
      ->check(CLI::PositiveNumber);
  CLI::App* overload =
      app.add_subcommand("overload", "What callers get of a service above its capacity");
  planktray::bench::OverloadSize size;
  overload->add_option("--routers", size.routers, "Routers")->check(CLI::PositiveNumber);
  overload->add_option("--backends", size.backends, "Back ends")->check(CLI::PositiveNumber);
  overload->add_option("--demand", size.demand, "Demand relative to capacity")
      ->check(CLI::PositiveNumber);
  overload->add_option("--skew", size.skew, "Requests at half of the owners relative to the rest")
      ->check(CLI::PositiveNumber);
  overload->add_option("--seconds", size.seconds, "Simulated seconds that count")
      ->check(CLI::PositiveNumber);
  CLI11_PARSE(app, argc, argv);
  if (overload->parsed()) {
    planktray::bench::print_overload(size);
    return 0;
  }
  if (limits->parsed()) {
    for (const planktray::bench::LimitRun& run : planktray::bench::measure_limits(limit_seconds)) {
      std::printf(
          "%3u routers, limit %4.1f/s, demand %5.1f/s, %s: sent %6.2f/s, refused %.3f, "
          "most in 4 s %2u of %5.1f\n",
          run.routers, run.limit, run.demand, run.admission ? "admission  " : "equal parts",
          run.used, run.refused, run.most, run.most_allowed);
    }
    return 0;
  }
  if (leader->parsed()) {
    const auto cost = planktray::bench::measure_leader(load);
    std::printf(
        "core share %.4f, orders/s %.1f, tables/s %.1f, table bytes/s %.0f, ticks/s %.1f, "
        "entries/s "
        "%.1f, ranges %llu\n",
        cost.core_share, cost.orders, cost.tables, cost.table_bytes, cost.ticks, cost.entries,
        static_cast<unsigned long long>(cost.ranges));
    return 0;
  }
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
