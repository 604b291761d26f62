#include "controller/core/room_board.hpp"

#include <algorithm>
#include <utility>

namespace planktray::controller {
namespace {

/// Routers say hello no more often than this, however few they are; what came between two hellos of
/// a router must not be missed.
constexpr common::Duration kShortestInterval = std::chrono::milliseconds(100);

}  // namespace

void RoomBoard::note(common::TimePoint now, const std::vector<routing::RoomReport>& reports) {
  for (const routing::RoomReport& report : reports) {
    const common::TimePoint heard = now - report.age();
    const auto found = entries_.find(report.backend);
    const bool is_known = found != entries_.end();
    if (report.age() > routing::kRoomLifetime || (is_known && heard <= found->second.heard)) {
      continue;
    }
    if (is_known || entries_.size() < options_.maximum_backends) {
      entries_[report.backend] = {report.running, report.waiting, heard, now};
    }
  }
}

const RoomBoard::Digest& RoomBoard::digest(common::TimePoint now, common::Duration interval,
                                           std::size_t routers) {
  if (now < remake_at_) {
    return digest_;
  }
  remake_at_ = now + options_.remake_interval;
  drop_old(now);
  const common::TimePoint since =
      now - std::max(interval, kShortestInterval) - options_.remake_interval;
  std::vector<std::pair<common::TimePoint, routing::RoomReport>> fresh;
  for (const auto& [id, entry] : entries_) {
    if (entry.received >= since) {
      routing::RoomReport report{id, entry.running, entry.waiting};
      report.set_age(now - entry.heard);
      fresh.emplace_back(entry.heard, report);
    }
  }
  const std::size_t kept = std::min(fresh.size(), most_entries(interval, routers));
  std::partial_sort(fresh.begin(), fresh.begin() + static_cast<std::ptrdiff_t>(kept), fresh.end(),
                    [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<routing::RoomReport> reports;
  for (std::size_t i = 0; i < kept; ++i) {
    reports.push_back(fresh[i].second);
  }
  digest_ = reports.empty() ? Digest() : Digest(std::move(reports));
  return digest_;
}

void RoomBoard::clear() {
  entries_.clear();
  digest_ = Digest();
  remake_at_ = common::TimePoint();
}

void RoomBoard::drop_old(common::TimePoint now) {
  std::erase_if(entries_,
                [&](const auto& item) { return now - item.second.heard > routing::kRoomLifetime; });
}

std::size_t RoomBoard::most_entries(common::Duration interval, std::size_t routers) const {
  const std::size_t share = options_.bytes_per_second_to_all / std::max<std::size_t>(1, routers);
  const std::size_t each_second =
      std::min(options_.bytes_per_second, share) / routing::kRoomReportBytes;
  const auto interval_us = static_cast<std::size_t>(interval.count());
  const auto second_us =
      static_cast<std::size_t>(common::Duration(std::chrono::seconds(1)).count());
  return std::max<std::size_t>(1, each_second * interval_us / second_us);
}

}  // namespace planktray::controller
