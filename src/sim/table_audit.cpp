#include "sim/table_audit.hpp"

#include <algorithm>
#include <sstream>

namespace planktray::sim {
namespace {

using common::LogIndex;
using common::TimePoint;

/// Keys of each service whose owners are compared.
constexpr std::uint32_t kProbedKeys = 32;

void describe_route(std::ostream& out, const routing::RoutingTable& table,
                    const config::Route& probe) {
  out << "route " << probe.host << probe.path_prefix << ":";
  const config::Route* route = table.routes().find(probe.host, probe.path_prefix);
  if (route == nullptr) {
    out << " none\n";
    return;
  }
  out << " " << route->name << " " << route->timeout_ms;
  for (const config::RoutePart& part : route->parts) {
    out << " " << part.service.value << "*" << part.weight;
    const auto* service = table.routes().find_service(part.service);
    if (service == nullptr) {
      out << " missing";
      continue;
    }
    for (const common::BackendId target : service->targets) {
      out << " " << target.value;
    }
    for (std::uint32_t i = 0; service->route.config.keyed && i < kProbedKeys; ++i) {
      const std::uint32_t key = i * (config::kKeyCount / kProbedKeys);
      out << " " << table.routes().owner_of(service->route.id, key).value;
    }
  }
  out << "\n";
}

void describe_backends(std::ostream& out, const routing::RoutingTable& table) {
  std::map<common::BackendId, const routing::BackendRoute*> backends;
  for (const auto& [id, backend] : table.backends()) {
    backends[id] = &backend;
  }
  for (const auto& [id, backend] : backends) {
    out << "back end " << id.value << ": " << backend->incarnation.value << " " << backend->address
        << " " << backend->pool.value << (backend->accepts_work() ? "" : " takes no work")
        << (backend->cold ? " cold" : "") << "\n";
  }
}

/// Returns the first line of `actual` that differs, with the line expected in its place.
std::string first_difference(const std::string& expected, const std::string& actual) {
  std::istringstream left(expected);
  std::istringstream right(actual);
  std::string expected_line;
  std::string actual_line;
  while (true) {
    const bool has_expected = static_cast<bool>(std::getline(left, expected_line));
    const bool has_actual = static_cast<bool>(std::getline(right, actual_line));
    if (!has_expected && !has_actual) {
      return "";
    }
    if (!has_expected || !has_actual || expected_line != actual_line) {
      return "\"" + (has_actual ? actual_line : "") + "\" instead of \"" +
             (has_expected ? expected_line : "") + "\"";
    }
  }
}

}  // namespace

std::string describe_table(const routing::RoutingTable& table,
                           const std::vector<config::Route>& probes) {
  std::ostringstream out;
  out << "version " << table.routes().version() << "\n";
  for (const config::Route& probe : probes) {
    describe_route(out, table, probe);
  }
  describe_backends(out, table);
  for (const common::ZoneName& zone : table.evacuated_zones()) {
    out << "evacuated " << zone.value << "\n";
  }
  return out.str();
}

void TableAudit::on_applied(TimePoint now, const std::string& controller,
                            const ownership::CellState& state) {
  const LogIndex index = state.applied();
  LogIndex& last = applied_[controller];
  if (last == index) {
    return;
  }
  last = index;
  routing::TableUpdate update;
  update.current_index = index;
  update.deltas.push_back(state.table_snapshot());
  routing::RoutingTable table;
  (void)table.apply(update);
  std::string description = describe_table(table, options_.probes);
  const auto [found, is_new] = committed_.try_emplace(index, description);
  if (!is_new && found->second != description) {
    report(now, controller + " differs from others at index " + std::to_string(index.value) + ": " +
                    first_difference(found->second, description));
  }
}

void TableAudit::on_acknowledged(TimePoint now, LogIndex index) {
  const LogIndex newest =
      acknowledgements_.empty() ? index : std::max(index, acknowledgements_.back().newest);
  acknowledgements_.push_back({now, newest});
}

void TableAudit::on_table(TimePoint now, const std::string& router,
                          const routing::RoutingTable& table, TimePoint as_of) {
  const LogIndex needed = acknowledged_before(as_of - options_.clock_tolerance);
  if (table.index() < needed) {
    report(now, router + " has index " + std::to_string(table.index().value) +
                    " and takes it to be complete as of " +
                    std::to_string(common::to_microseconds(as_of) / 1000) + " ms, before which " +
                    std::to_string(needed.value) + " was acknowledged");
  }
  compare_content(now, router, table);
}

void TableAudit::compare_content(TimePoint now, const std::string& router,
                                 const routing::RoutingTable& table) {
  LogIndex& last = compared_[router];
  if (table.index().value == 0 || table.index() == last) {
    return;
  }
  last = table.index();
  const auto expected = committed_.find(table.index());
  if (expected == committed_.end()) {
    return report(now, router + " has index " + std::to_string(table.index().value) +
                           ", which no controller has applied");
  }
  ++tables_compared_;
  const std::string description = describe_table(table, options_.probes);
  if (description != expected->second) {
    report(now, router + " has another table than the controllers at index " +
                    std::to_string(table.index().value) + ": " +
                    first_difference(expected->second, description));
  }
}

void TableAudit::report(TimePoint now, const std::string& text) {
  violations_.push_back("at " + std::to_string(common::to_microseconds(now) / 1000) + " ms " +
                        text);
}

LogIndex TableAudit::acknowledged_before(TimePoint moment) const {
  const auto next = std::lower_bound(
      acknowledgements_.begin(), acknowledgements_.end(), moment,
      [](const Acknowledgement& item, TimePoint time) { return item.time < time; });
  return next == acknowledgements_.begin() ? LogIndex() : std::prev(next)->newest;
}

}  // namespace planktray::sim
