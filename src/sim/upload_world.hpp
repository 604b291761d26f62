#pragma once
/// Large requests over narrow links to back ends that leave by turns, under virtual time: routers
/// with a scheduled link each, and a leader whose word may come late.
///
/// What is judged is when requests reach back ends, and what callers get. A router's own counts are
/// never asked.

#include <cstdint>

#include "router/core/router_core.hpp"

namespace planktray::sim {

struct UploadOptions {
  std::uint64_t seed = 1;
  common::Duration length = std::chrono::seconds(30);
  std::size_t routers = 2;
  std::size_t backends = 8;
  /// Requests carry keys, and each back end owns a part of them.
  bool keyed = false;
  /// Of each router's link, to back ends.
  double link_bytes_per_second = 525'000;
  /// Bytes of requests relative to what a link carries, by turns of `phase`.
  double load = 0.6;
  double burst_load = 1.5;
  common::Duration phase = std::chrono::seconds(4);
  double mean_bytes = 60'000;
  double most_bytes = 360'000;
  /// So often one back end is replaced: the new one comes, the old one is acknowledged as leaving.
  common::Duration replace_interval = std::chrono::milliseconds(600);
  /// Keys of a leaving owner get another one after this time.
  common::Duration key_move_time = std::chrono::milliseconds(300);
  /// In every other phase, words of the leader take up to this long.
  common::Duration slowest_word = std::chrono::milliseconds(1300);
  /// They take longer and longer in such a phase, rather than by chance.
  bool leader_falls_behind = false;
  /// A back end that was acknowledged as leaving is to get nothing more after this time.
  common::Duration promised = std::chrono::milliseconds(2000);
  common::Duration objective = std::chrono::milliseconds(1500);
  common::Duration stated_time = std::chrono::milliseconds(10'000);
  /// Bodies pass a link in the order in which they came, rather than the shortest first.
  bool in_order = true;
  router::RouterOptions router;
};

struct UploadResult {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t in_objective = 0;  ///< of these
  std::uint64_t refused = 0;       ///< as not run
  std::uint64_t unknown = 0;
  std::uint64_t recalled = 0;       ///< attempts, before their first byte
  std::uint64_t held = 0;           ///< attempts, while they were written
  std::uint64_t cut = 0;            ///< the same, for good
  std::uint64_t replaced = 0;       ///< back ends that left
  std::uint64_t after_leaving = 0;  ///< requests whole at a back end that was leaving, in time
  std::uint64_t late = 0;           ///< the same, later than promised
  common::Duration latest{0};       ///< the longest time from an acknowledgement to such a request
};

UploadResult run_upload_world(const UploadOptions& options);

}  // namespace planktray::sim
