#pragma once
/// Compares the content of routers' tables with what controllers have committed and acknowledged,
/// in true time. An index alone proves nothing: a table may have the index of a change and lack the
/// change.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "ownership/cell_state.hpp"
#include "routing/table.hpp"

namespace planktray::sim {

/// Everything in the table that decides where requests on routes go, one item per line, in an order
/// that does not depend on how the table was built.
std::string describe_table(const routing::RoutingTable& table,
                           const std::vector<config::Route>& probes);

struct TableAuditOptions {
  /// Hosts and path prefixes that are looked up in every table.
  std::vector<config::Route> probes;
  /// Rounding of clock readings between machines.
  common::Duration clock_tolerance = std::chrono::milliseconds(2);
};

class TableAudit {
 public:
  explicit TableAudit(TableAuditOptions options) : options_(std::move(options)) {}

  /// A controller has applied the log up to `state.applied()`.
  void on_applied(common::TimePoint now, const std::string& controller,
                  const ownership::CellState& state);
  /// The entry at `index` is acknowledged to a client.
  void on_acknowledged(common::TimePoint now, common::LogIndex index);
  /// A router has received a table, or a statement about its age.
  /// @param as_of true time before which the router takes every acknowledged change to be in its
  ///   table.
  void on_table(common::TimePoint now, const std::string& router,
                const routing::RoutingTable& table, common::TimePoint as_of);

  const std::vector<std::string>& violations() const { return violations_; }
  /// Number of different tables that were compared with the committed state.
  std::uint64_t tables_compared() const { return tables_compared_; }
  std::uint64_t acknowledged() const { return acknowledgements_.size(); }

 private:
  struct Acknowledgement {
    common::TimePoint time;
    common::LogIndex newest;  ///< acknowledged up to and including this moment
  };

  void compare_content(common::TimePoint now, const std::string& router,
                       const routing::RoutingTable& table);
  void report(common::TimePoint now, const std::string& text);
  common::LogIndex acknowledged_before(common::TimePoint moment) const;

  TableAuditOptions options_;
  std::map<common::LogIndex, std::string> committed_;  ///< description of the table by index
  std::map<std::string, common::LogIndex> applied_;    ///< by controller, last compared
  std::map<std::string, common::LogIndex> compared_;   ///< by router, last compared
  std::vector<Acknowledgement> acknowledgements_;      ///< by time
  std::vector<std::string> violations_;
  std::uint64_t tables_compared_ = 0;
};

}  // namespace planktray::sim
