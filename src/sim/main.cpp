/// planktray-sim: runs the product's decision code under virtual time, network and disk, with
/// faults, and judges the history.

#include <CLI/CLI.hpp>
#include <atomic>
#include <chrono>
#include <functional>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "sim/bench.hpp"
#include "sim/grant_world.hpp"
#include "sim/mutants.hpp"
#include "sim/recorded.hpp"
#include "sim/route_world.hpp"
#include "sim/run.hpp"
#include "sim/table_world.hpp"

namespace planktray::sim {
namespace {

using nlohmann::json;

constexpr int kExitOk = 0;
constexpr int kExitViolation = 1;
constexpr int kExitInvalid = 2;
constexpr std::size_t kExcerptLines = 12;

struct Arguments {
  std::string deployment = "zilina";
  std::string seeds = "1-20";
  std::uint64_t seed = 1;
  std::string faults = "all";
  unsigned threads = std::max(1U, std::thread::hardware_concurrency());
  bool as_json = false;
  bool trace = false;
  std::uint64_t maximum_seeds = 400;
  std::string only;
  std::string scenario = "all";
  std::string policy = "budgeted";
  std::string subset = "aperture";
  std::string choice = "p2c";
  std::uint64_t seconds = 60;
  std::uint32_t routers = 0;  ///< 0: as the deployment or the world says
  std::size_t controllers = 5;
  std::uint32_t scale = 1;  ///< targets are multiplied by this
};

struct SeedRange {
  std::uint64_t first = 1;
  std::uint64_t last = 1;
};

common::Result<SeedRange> parse_seeds(const std::string& text) {
  SeedRange range;
  std::size_t used = 0;
  try {
    range.first = std::stoull(text, &used);
    range.last = range.first;
    if (used < text.size() && text[used] == '-') {
      range.last = std::stoull(text.substr(used + 1));
    } else if (used < text.size()) {
      used = 0;
    }
  } catch (const std::exception&) {
    used = 0;
  }
  if (used == 0 || range.last < range.first) {
    return common::fail(common::ErrorCode::kInvalid, "read seeds", "",
                        "\"" + text + "\" is no range such as 1-100");
  }
  return range;
}

common::Result<RunOptions> make_options(const Arguments& arguments) {
  RunOptions options;
  auto deployment = find_deployment(arguments.deployment);
  if (!deployment.has_value()) {
    return tl::unexpected(deployment.error());
  }
  options.fleet.deployment = std::move(*deployment);
  auto faults = parse_faults(arguments.faults);
  if (!faults.has_value()) {
    return tl::unexpected(faults.error());
  }
  options.faults = std::move(*faults);
  return options;
}

void print_violation(std::uint64_t seed, const Violation& violation) {
  std::cout << "seed " << seed << " violates " << to_string(violation.promise) << ": "
            << violation.message << '\n';
  for (std::size_t i = 0; i < std::min(kExcerptLines, violation.excerpt.size()); ++i) {
    std::cout << "    " << violation.excerpt[i] << '\n';
  }
}

/// What all seeds together gave.
struct Summary {
  std::uint64_t runs = 0;
  std::uint64_t violated = 0;
  double simulated_seconds = 0;
  std::array<common::Histogram, kGapCauses> gaps;
  std::uint64_t sent = 0;
  std::array<std::uint64_t, 3> told{};
  std::uint64_t owner_changes = 0;
  common::Histogram in_force;
  std::uint64_t trace_hash = 0;
  json violations = json::array();
};

double milliseconds_of(Duration duration) { return static_cast<double>(duration.count()) / 1000.0; }

json gap_json(const common::Histogram& histogram) {
  return {{"count", histogram.count()},
          {"p50_ms", milliseconds_of(histogram.quantile(0.5))},
          {"p99_ms", milliseconds_of(histogram.quantile(0.99))},
          {"max_ms", milliseconds_of(histogram.maximum())}};
}

void add(Summary& summary, const RunResult& result, bool as_json) {
  ++summary.runs;
  summary.violated += result.violations.empty() ? 0 : 1;
  summary.simulated_seconds += static_cast<double>(result.simulated.count()) / 1e6;
  for (std::size_t i = 0; i < kGapCauses; ++i) {
    summary.gaps[i].merge(result.measures.gaps(static_cast<GapCause>(i)));
    summary.told[i] += result.measures.told(static_cast<routing::Outcome>(i));
  }
  summary.in_force.merge(result.measures.in_force());
  summary.sent += result.measures.sent();
  summary.owner_changes += result.measures.owner_changes();
  summary.trace_hash ^= result.trace_hash * (2 * result.seed + 1);
  if (result.violations.empty()) {
    return;
  }
  for (const Violation& violation : result.violations) {
    summary.violations.push_back({{"seed", result.seed},
                                  {"promise", to_string(violation.promise)},
                                  {"message", violation.message},
                                  {"excerpt", violation.excerpt}});
  }
  if (!as_json) {
    print_violation(result.seed, result.violations.front());
  }
}

json summary_json(const Summary& summary, double wall_seconds, unsigned threads) {
  return {{"runs", summary.runs},
          {"runs_with_violations", summary.violated},
          {"simulated_seconds", summary.simulated_seconds},
          {"simulated_seconds_per_second_per_thread",
           summary.simulated_seconds / wall_seconds / threads},
          {"requests",
           {{"sent", summary.sent},
            {"answered", summary.told[0]},
            {"not_run", summary.told[1]},
            {"unknown", summary.told[2]}}},
          {"owner_changes", summary.owner_changes},
          {"without_owner",
           {{"move", gap_json(summary.gaps[0])},
            {"loss", gap_json(summary.gaps[1])},
            {"lapse", gap_json(summary.gaps[2])}}},
          {"configuration_in_force", gap_json(summary.in_force)},
          {"trace_hash", summary.trace_hash},
          {"violations", summary.violations}};
}

/// Calls `work` with each number below `count`, on up to `threads` threads at once.
void for_each_parallel(std::size_t count, unsigned threads,
                       const std::function<void(std::size_t)>& work) {
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> pool;
  for (unsigned i = 0; i < threads; ++i) {
    pool.emplace_back([&] {
      for (std::size_t number = next++; number < count; number = next++) {
        work(number);
      }
    });
  }
  for (std::thread& thread : pool) {
    thread.join();
  }
}

int run_seeds(const Arguments& arguments, const RunOptions& base, const SeedRange& range) {
  std::mutex mutex;
  Summary summary;
  const auto began = std::chrono::steady_clock::now();
  for_each_parallel(range.last - range.first + 1, arguments.threads, [&](std::size_t number) {
    RunOptions options = base;
    options.seed = range.first + number;
    const RunResult result = run_once(options);
    const std::lock_guard lock(mutex);
    add(summary, result, arguments.as_json);
  });
  const std::chrono::duration<double> wall = std::chrono::steady_clock::now() - began;
  json body = summary_json(summary, wall.count(), arguments.threads);
  if (!arguments.as_json) {
    body.erase("violations");
  }
  std::cout << body.dump(2) << '\n';
  return summary.violated == 0 ? kExitOk : kExitViolation;
}

/// Notes and events in the order of time.
void print_trace(const RunResult& result) {
  auto note = result.notes.begin();
  const auto print_notes_until = [&](TimePoint time) {
    for (; note != result.notes.end() && note->time <= time; ++note) {
      std::cout << common::to_microseconds(note->time) << "us -- " << note->text << '\n';
    }
  };
  for (const HistoryEvent& event : result.history.events()) {
    print_notes_until(event.time);
    std::cout << to_string(event) << '\n';
  }
}

int replay(const Arguments& arguments, RunOptions options) {
  options.seed = arguments.seed;
  const RunResult result = run_once(options);
  if (arguments.trace) {
    print_trace(result);
  }
  for (const Violation& violation : result.violations) {
    print_violation(result.seed, violation);
  }
  std::cout << "trace hash " << result.trace_hash << "  actions " << result.actions << '\n';
  return result.violations.empty() ? kExitOk : kExitViolation;
}

int hunt_mutants(const Arguments& arguments, const RunOptions& base) {
  std::vector<Mutant> mutants = all_mutants();
  if (!arguments.only.empty()) {
    std::erase_if(mutants, [&](const Mutant& mutant) { return mutant.name != arguments.only; });
  }
  std::vector<MutantVerdict> verdicts(mutants.size());
  for_each_parallel(mutants.size(), arguments.threads, [&](std::size_t mutant) {
    verdicts[mutant] = hunt(mutants[mutant], base, arguments.maximum_seeds);
  });
  json body = json::array();
  bool all_caught = true;
  for (std::size_t i = 0; i < mutants.size(); ++i) {
    const MutantVerdict& verdict = verdicts[i];
    all_caught = all_caught && verdict.caught;
    body.push_back({{"mutant", mutants[i].name},
                    {"safeguard", mutants[i].safeguard},
                    {"caught", verdict.caught},
                    {"seed", verdict.seed},
                    {"promise", verdict.caught ? to_string(verdict.violation.promise) : ""},
                    {"message", verdict.violation.message}});
    if (!arguments.as_json) {
      std::cout << mutants[i].name << (verdict.caught ? ": caught by " : ": SURVIVES ")
                << (verdict.caught ? to_string(verdict.violation.promise) : "") << " at seed "
                << verdict.seed << ": " << verdict.violation.message << '\n';
    }
  }
  if (arguments.as_json) {
    std::cout << body.dump(2) << '\n';
  }
  return all_caught ? kExitOk : kExitViolation;
}

json imbalance_json(const Measures& measures) {
  json body;
  for (const std::string& service : measures.services()) {
    const std::vector<double> values = measures.imbalance(service);
    if (!values.empty()) {
      body[service] = {{"p50", values[values.size() / 2]},
                       {"p99", values[values.size() * 99 / 100]},
                       {"max", values.back()}};
    }
  }
  return body;
}

json bench_json(const BenchOptions& options, const BenchResult& result) {
  const Measures& measures = result.measures;
  const double seconds = static_cast<double>(measures.elapsed().count()) / 1e6;
  const auto answered = static_cast<double>(measures.told(routing::Outcome::kAnswered));
  json gaps;
  for (const GapCause cause : {GapCause::kMove, GapCause::kLoss, GapCause::kLapse}) {
    gaps[std::string(to_string(cause))] = gap_json(measures.gaps(cause));
    gaps[std::string(to_string(cause))]["key_seconds"] =
        static_cast<double>(measures.gap_total(cause).count()) / 1e6;
  }
  return {
      {"scenario", to_string(options.scenario)},
      {"imbalance", imbalance_json(measures)},
      {"owner_changes_per_minute", static_cast<double>(measures.owner_changes()) * 60.0 / seconds},
      {"without_owner", gaps},
      {"configuration_in_force", gap_json(measures.in_force())},
      {"latency_ms",
       {{"p50", milliseconds_of(measures.latency().quantile(0.5))},
        {"p99", milliseconds_of(measures.latency().quantile(0.99))}}},
      {"offered_per_second", result.offered_per_second},
      {"capacity_per_second", result.capacity_per_second},
      {"goodput_of_capacity", answered / seconds / result.capacity_per_second},
      {"not_run", measures.told(routing::Outcome::kNotRun)},
      {"unknown", measures.told(routing::Outcome::kUnknown)},
      {"cut_requests", result.cut_requests}};
}

common::Result<BenchOptions> make_bench_options(const Arguments& arguments,
                                                const Deployment& deployment) {
  BenchOptions options;
  options.deployment = deployment;
  if (arguments.routers > 0) {
    options.deployment.routers = arguments.routers;
  }
  for (ServiceSize& service : options.deployment.services) {
    service.targets *= arguments.scale;
  }
  options.seed = arguments.seed;
  options.measured = std::chrono::seconds(arguments.seconds);
  const auto balance = parse_balance(arguments.policy);
  const auto subset = parse_subset(arguments.subset);
  const auto choice = parse_choice(arguments.choice);
  if (!balance.has_value()) {
    return tl::unexpected(balance.error());
  }
  if (!subset.has_value()) {
    return tl::unexpected(subset.error());
  }
  if (!choice.has_value()) {
    return tl::unexpected(choice.error());
  }
  options.balance = *balance;
  options.subset = *subset;
  options.choice = *choice;
  return options;
}

int bench(const Arguments& arguments, const Deployment& deployment) {
  auto options = make_bench_options(arguments, deployment);
  if (!options.has_value()) {
    std::cerr << options.error().describe() << '\n';
    return kExitInvalid;
  }
  std::vector<Scenario> scenarios = all_scenarios();
  if (arguments.scenario != "all") {
    const auto scenario = parse_scenario(arguments.scenario);
    if (!scenario.has_value()) {
      std::cerr << scenario.error().describe() << '\n';
      return kExitInvalid;
    }
    scenarios = {*scenario};
  }
  std::vector<json> results(scenarios.size());
  for_each_parallel(scenarios.size(), static_cast<unsigned>(scenarios.size()),
                    [&](std::size_t scenario) {
                      BenchOptions mine = *options;
                      mine.scenario = scenarios[scenario];
                      results[scenario] = bench_json(mine, run_bench(mine));
                    });
  std::cout << json{{"deployment", arguments.deployment},
                    {"policy", arguments.policy},
                    {"subset", arguments.subset},
                    {"choice", arguments.choice},
                    {"results", results}}
                   .dump(2)
            << '\n';
  return kExitOk;
}

int judge(const RecordedFiles& files) {
  const auto history = read_recorded(files);
  if (!history.has_value()) {
    std::cerr << history.error().describe() << '\n';
    return kExitInvalid;
  }
  std::uint64_t executions = 0;
  std::uint64_t calls = 0;
  for (const HistoryEvent& event : history->events()) {
    executions += std::holds_alternative<Executed>(event.what) ? 1 : 0;
    calls += std::holds_alternative<RequestSent>(event.what) ? 1 : 0;
  }
  const std::vector<Violation> violations = check_history(*history);
  for (const Violation& violation : violations) {
    std::cout << "violates " << to_string(violation.promise) << ": " << violation.message << '\n';
    for (const std::string& line : violation.excerpt) {
      std::cout << "    " << line << '\n';
    }
  }
  std::cout << calls << " requests, " << executions << " executions, " << violations.size()
            << " violations\n";
  return violations.empty() ? kExitOk : kExitViolation;
}

/// Runs one world for each seed. @param add takes each result into a sum.
/// @return how many seeds have a violation; the first of each is printed.
template <typename Options, typename Run, typename Add>
std::uint64_t run_world(Options options, const SeedRange& range, const Run& run, const Add& add) {
  std::uint64_t violated = 0;
  for (options.seed = range.first; options.seed <= range.last; ++options.seed) {
    const auto result = run(options);
    add(result);
    if (!result.violations.empty()) {
      ++violated;
      std::cout << "seed " << options.seed << ": " << result.violations.front() << '\n';
    }
  }
  std::cout << range.last - range.first + 1 << " seeds, " << violated << " with a violation; ";
  return violated;
}

/// Runs the grant contract over many seeds, or with a safeguard taken away until it is caught.
int run_grants(const Arguments& arguments, const SeedRange& range) {
  GrantWorldOptions options;
  for (const GrantMutant& mutant : all_grant_mutants()) {
    if (arguments.only == mutant.name) {
      mutant.apply(options);
    }
  }
  GrantWorldResult sum;
  const auto violated = run_world(options, range, run_grant_world, [&](const auto& result) {
    sum.grants_taken += result.grants_taken;
    sum.taken_late += result.taken_late;
    sum.releases += result.releases;
    sum.owners_changed += result.owners_changed;
    sum.leaders += result.leaders;
    sum.reports += result.reports;
    sum.late_heartbeats += result.late_heartbeats;
    sum.reported_releases += result.reported_releases;
  });
  std::cout << sum.grants_taken << " grants taken, " << sum.taken_late << " orders late, "
            << sum.releases << " releases, " << sum.owners_changed << " changes of owner, "
            << sum.leaders << " leaders, " << sum.reports << " heartbeats with holdings, "
            << sum.late_heartbeats << " of them late, " << sum.reported_releases
            << " blocks released so\n";
  return violated == 0 ? kExitOk : kExitViolation;
}

/// Runs requests on routes over many seeds, or with a safeguard taken away.
int run_routes(const Arguments& arguments, const SeedRange& range) {
  RouteWorldOptions options;
  for (const RouteMutant& mutant : all_route_mutants()) {
    if (arguments.only == mutant.name) {
      mutant.apply(options);
    }
  }
  RouteWorldResult sum;
  const auto violated = run_world(options, range, run_route_world, [&](const auto& result) {
    sum.requests += result.requests;
    sum.answered += result.answered;
    sum.repeats += result.repeats;
    sum.misdirected += result.misdirected;
    sum.ended_owners += result.ended_owners;
  });
  std::cout << sum.requests << " requests, " << sum.answered << " answered, " << sum.repeats
            << " repeats, " << sum.misdirected << " misdirected, " << sum.ended_owners
            << " owners ended\n";
  return violated == 0 ? kExitOk : kExitViolation;
}

/// Runs tables of routers over many seeds, or with a safeguard taken away.
int run_tables(const Arguments& arguments, const SeedRange& range) {
  TableWorldOptions options;
  options.faults = all_table_faults();
  options.controllers = arguments.controllers;
  options.routers = arguments.routers == 0 ? options.routers : arguments.routers;
  for (const TableMutant mutant : all_table_mutants()) {
    if (arguments.only == to_string(mutant)) {
      options.mutant = mutant;
    }
  }
  TableWorldResult sum;
  const auto violated = run_world(options, range, run_table_world, [&](const auto& result) {
    sum.acknowledged += result.acknowledged;
    sum.configurations += result.configurations;
    sum.tables_compared += result.tables_compared;
    sum.elections += result.elections;
    sum.snapshots_to_routers += result.snapshots_to_routers;
    sum.snapshots_to_controllers += result.snapshots_to_controllers;
    sum.follower_updates += result.follower_updates;
  });
  std::cout << sum.acknowledged << " acknowledgements, " << sum.configurations
            << " configurations, " << sum.tables_compared << " tables compared, " << sum.elections
            << " leaders, " << sum.snapshots_to_routers << " snapshots to routers, "
            << sum.snapshots_to_controllers << " chunks of snapshots to controllers, "
            << sum.follower_updates << " updates of followers\n";
  return violated == 0 ? kExitOk : kExitViolation;
}

int main_with(int argc, char** argv) {
  CLI::App app{"Runs planktray under virtual time with faults and judges what happened"};
  app.require_subcommand(1);
  Arguments arguments;
  const auto add_common = [&arguments](CLI::App* command) {
    command->add_option("--deployment", arguments.deployment, "zilina or canelones");
    command->add_option("--faults", arguments.faults, "none, all, or names with commas");
  };
  CLI::App* run = app.add_subcommand("run", "Run many seeds; exits 1 on a violation");
  add_common(run);
  run->add_option("--seeds", arguments.seeds, "FIRST-LAST");
  run->add_option("--threads", arguments.threads, "Runs at once")->check(CLI::Range(1, 256));
  run->add_flag("--json", arguments.as_json, "Print JSON only");
  CLI::App* again = app.add_subcommand("replay", "Run one seed again");
  add_common(again);
  again->add_option("--seed", arguments.seed, "Which run")->required();
  again->add_flag("--trace", arguments.trace, "Print every event");
  CLI::App* mutants =
      app.add_subcommand("mutants", "Take one safeguard away at a time; exits 1 if one survives");
  mutants->add_option("--deployment", arguments.deployment, "zilina or canelones");
  mutants->add_option("--max-seeds", arguments.maximum_seeds, "Seeds to try for each");
  mutants->add_option("--threads", arguments.threads, "Runs at once")->check(CLI::Range(1, 256));
  mutants->add_option("--only", arguments.only, "Name of one mutant");
  mutants->add_flag("--json", arguments.as_json, "Print JSON only");
  CLI::App* bench_command = app.add_subcommand(
      "bench", "Measure imbalance, churn, unavailable time and latency without random faults");
  bench_command->add_option("--deployment", arguments.deployment, "zilina or canelones");
  bench_command->add_option("--scenario", arguments.scenario,
                            "all, steady, hot-key, overload, loss, leader-loss, "
                            "leader-and-backend-loss or rolling-restart");
  bench_command->add_option("--policy", arguments.policy,
                            "budgeted, modulo, consistent-hash or greedy");
  bench_command->add_option("--subset", arguments.subset, "aperture, random-subset or full-mesh");
  bench_command->add_option("--choice", arguments.choice, "p2c, least-outstanding or round-robin");
  bench_command->add_option("--seed", arguments.seed, "Seed");
  bench_command->add_option("--seconds", arguments.seconds, "Simulated seconds measured");
  bench_command->add_option("--routers", arguments.routers, "Routers instead of today's");
  bench_command->add_option("--scale", arguments.scale, "Multiplies the targets");
  bench_command->add_flag("--json", arguments.as_json, "The output is always JSON");
  CLI::App* grants = app.add_subcommand(
      "grants", "Run the contract of fenced grants over many seeds; exits 1 on a violation");
  grants->add_option("--seeds", arguments.seeds, "FIRST-LAST");
  grants->add_option("--mutant", arguments.only, "Name of a safeguard to take away");
  CLI::App* routes = app.add_subcommand(
      "routes", "Run requests on routes over many seeds; exits 1 on a violation");
  routes->add_option("--seeds", arguments.seeds, "FIRST-LAST");
  routes->add_option("--mutant", arguments.only, "Name of a safeguard to take away");
  CLI::App* tables = app.add_subcommand(
      "tables", "Compare tables of routers with what is acknowledged; exits 1 on a violation");
  tables->add_option("--seeds", arguments.seeds, "FIRST-LAST");
  tables->add_option("--mutant", arguments.only, "Name of a safeguard to take away");
  tables->add_option("--controllers", arguments.controllers, "Number of controllers")
      ->check(CLI::Range(3, 16));
  tables->add_option("--routers", arguments.routers, "Number of routers");
  RecordedFiles recorded;
  CLI::App* judge_command =
      app.add_subcommand("judge", "Check what a fleet of real processes recorded");
  judge_command->add_option("--ledgers", recorded.ledger_folder, "Folder of back-end ledgers")
      ->required();
  judge_command->add_option("--calls", recorded.calls, "Record of the load tool")->required();
  judge_command->add_option("--changes", recorded.changes, "Record of operators");
  CLI11_PARSE(app, argc, argv);

  if (judge_command->parsed()) {
    return judge(recorded);
  }
  const auto options = make_options(arguments);
  if (!options.has_value()) {
    std::cerr << options.error().describe() << '\n';
    return kExitInvalid;
  }
  if (bench_command->parsed()) {
    return bench(arguments, options->fleet.deployment);
  }
  if (mutants->parsed()) {
    return hunt_mutants(arguments, *options);
  }
  if (again->parsed()) {
    return replay(arguments, *options);
  }
  const auto range = parse_seeds(arguments.seeds);
  if (!range.has_value()) {
    std::cerr << range.error().describe() << '\n';
    return kExitInvalid;
  }
  if (grants->parsed()) {
    return run_grants(arguments, *range);
  }
  if (routes->parsed()) {
    return run_routes(arguments, *range);
  }
  if (tables->parsed()) {
    return run_tables(arguments, *range);
  }
  return run_seeds(arguments, *options, *range);
}

}  // namespace
}  // namespace planktray::sim

int main(int argc, char** argv) { return planktray::sim::main_with(argc, argv); }
