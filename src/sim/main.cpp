/// planktray-sim: runs the product's decision code under virtual time, network and disk, with
/// faults, and judges the history.

#include <CLI/CLI.hpp>
#include <atomic>
#include <chrono>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "sim/mutants.hpp"
#include "sim/run.hpp"

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

int run_seeds(const Arguments& arguments, const RunOptions& base, const SeedRange& range) {
  std::atomic<std::uint64_t> next{range.first};
  std::mutex mutex;
  Summary summary;
  const auto began = std::chrono::steady_clock::now();
  const auto work = [&] {
    for (std::uint64_t seed = next++; seed <= range.last; seed = next++) {
      RunOptions options = base;
      options.seed = seed;
      const RunResult result = run_once(options);
      const std::lock_guard lock(mutex);
      add(summary, result, arguments.as_json);
    }
  };
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < arguments.threads; ++i) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
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
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < arguments.threads; ++i) {
    threads.emplace_back([&] {
      for (std::size_t mutant = next++; mutant < mutants.size(); mutant = next++) {
        verdicts[mutant] = hunt(mutants[mutant], base, arguments.maximum_seeds);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
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
  CLI11_PARSE(app, argc, argv);

  const auto options = make_options(arguments);
  if (!options.has_value()) {
    std::cerr << options.error().describe() << '\n';
    return kExitInvalid;
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
  return run_seeds(arguments, *options, *range);
}

}  // namespace
}  // namespace planktray::sim

int main(int argc, char** argv) { return planktray::sim::main_with(argc, argv); }
