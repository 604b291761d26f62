#pragma once
/// What routers hear of the load of back ends, merged for all routers. Volatile: a new leader or a
/// follower makes it anew from the hellos that come to it. It holds nothing where no router
/// reports, that is, where no service of the route configuration is keyed or its targets tell
/// nothing.
///
/// The digest is one list for all routers, made and encoded a few times a second, so that its cost
/// does not grow with their number.

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "routing/room_report.hpp"
#include "routing/shared_list.hpp"

namespace planktray::controller {

struct RoomBoardOptions {
  /// Of all digests to one router in a second: a seventieth of a link of 4 Mbit/s, which its
  /// callers share.
  std::size_t bytes_per_second = 6000;
  /// Of all digests to all routers in a second, which get equal shares: what one controller sends
  /// beside the table itself, a sixtieth of a link of 1 Gbit/s.
  std::size_t bytes_per_second_to_all = 2'000'000;
  /// A digest serves all updates of this time; ages in it are too low by this much at most, a
  /// twentieth of the time for which they count.
  common::Duration remake_interval = std::chrono::milliseconds(50);
  /// Back ends kept at most; beyond it new ones are not taken until old words have left.
  std::size_t maximum_backends = 8192;
};

class RoomBoard {
 public:
  using Digest = routing::SharedList<routing::RoomReport>;

  explicit RoomBoard(RoomBoardOptions options) : options_(options) {}

  /// Takes what a router heard. Of each back end the youngest word is kept, whoever brought it and
  /// in whichever order.
  void note(common::TimePoint now, const std::vector<routing::RoomReport>& reports);

  /// What came since the routers' last updates, the youngest first.
  /// @param interval between two updates of one router; the bound in bytes is shared out by it.
  /// @param routers that get digests.
  const Digest& digest(common::TimePoint now, common::Duration interval, std::size_t routers);

  void clear();
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    common::TimePoint heard;     ///< by the router, in this process's clock
    common::TimePoint received;  ///< here
  };
  void drop_old(common::TimePoint now);
  std::size_t most_entries(common::Duration interval, std::size_t routers) const;

  RoomBoardOptions options_;
  std::unordered_map<common::BackendId, Entry> entries_;
  Digest digest_;
  common::TimePoint remake_at_;
};

}  // namespace planktray::controller
