#pragma once
/// Addresses of the cell's controllers, as one process knows them. Controllers are replaced over
/// the life of a process, so a newer list of members replaces the older one as a whole. The seeds
/// of the settings stay as the way back to a cell whose known members have all gone.

#include <string>
#include <vector>

#include "routing/table_messages.hpp"

namespace planktray::routing {

class ControllerDirectory {
 public:
  /// Replaces the seeds. @param seeds "IP:port" for peer connections, as the settings name them.
  void set_seeds(std::vector<std::string> seeds);
  /// Replaces the members by those of the list, unless a newer list is known. The leader's own list
  /// is the newest of its term: a follower may name members of an entry that is never committed.
  /// @return true if the members have changed.
  bool update(const ControllerList& list);

  /// The members that the newest list names; empty before the first one.
  const std::vector<std::string>& members() const { return members_; }
  /// The members, then the seeds that are not among them.
  const std::vector<std::string>& all() const { return all_; }
  /// Log index of the newest list; 0: none.
  LogIndex index() const { return index_; }
  bool contains(const std::string& address) const;

 private:
  void combine();

  std::vector<std::string> seeds_;
  std::vector<std::string> members_;
  std::vector<std::string> all_;
  LogIndex index_;
  common::Term leader_term_;  ///< of the newest list that a leader has sent itself
};

}  // namespace planktray::routing
