#include "overload.hpp"

#include <array>
#include <cstdio>

#include "sim/overload_world.hpp"

namespace planktray::bench {
namespace {

using std::chrono::milliseconds;

struct Strategy {
  const char* name;
  void (*apply)(sim::OverloadOptions& options);
};

constexpr std::array kStrategies = {
    Strategy{"own time",
             [](sim::OverloadOptions& options) {
               options.router.latency_bound_fraction = 0;
               options.router.crowded_owners.is_enabled = false;
             }},
    Strategy{
        "common bound",
        [](sim::OverloadOptions& options) { options.router.crowded_owners.is_enabled = false; }},
    Strategy{"leader", [](sim::OverloadOptions& /*options*/) {}},
};

void print_run(const char* strategy, const sim::OverloadOptions& options) {
  const sim::OverloadResult result = sim::run_overload_world(options);
  std::printf("%-14s %2zu routers %s demand %.1f skew %.1f: used %.2f, turned away %5llu", strategy,
              options.routers, options.keyed ? "keys   " : "no keys", options.demand, options.skew,
              result.used, static_cast<unsigned long long>(result.turned_away));
  for (const auto& [name, kind] : result.kinds) {
    const auto requests = static_cast<double>(kind.requests);
    std::printf(" | %s %.2f + %.2f (%.2f)", name.c_str(), kind.share(),
                static_cast<double>(kind.returned) / requests,
                static_cast<double>(kind.in_objective) / requests);
  }
  std::printf("\n");
}

}  // namespace

void print_overload(const OverloadSize& size) {
  for (const bool keyed : {true, false}) {
    for (const Strategy& strategy : kStrategies) {
      sim::OverloadOptions options;
      options.kinds = {{"first", 0.60, milliseconds(2000), 1200, 800, true},
                       {"patient", 0.30, milliseconds(3000), 2000, 1200, false},
                       {"added", 0.10, milliseconds(1000), 1200, 800, true}};
      options.keyed = keyed;
      options.routers = size.routers;
      options.backends = size.backends;
      options.demand = size.demand;
      options.skew = keyed ? size.skew : 1.0;
      options.length = std::chrono::seconds(size.seconds);
      strategy.apply(options);
      print_run(strategy.name, options);
    }
  }
}

}  // namespace planktray::bench
