#include "transport/link_pacer.hpp"

#include <utility>

namespace planktray::transport {

PacedDirection::PacedDirection(double bytes_per_second)
    : scheduler_(bytes_per_second, boot_time_now()), alarm_([this] { grant_waiting(); }) {}

link::BodyId PacedDirection::add(std::size_t bytes, link::BodyRank rank, GrantCallback grant) {
  const link::BodyId body = scheduler_.add(boot_time_now(), bytes, rank);
  waiting_[body] = std::move(grant);
  set_alarm();
  return body;
}

bool PacedDirection::passed(link::BodyId body, std::size_t bytes) {
  const bool is_done = scheduler_.passed(body, bytes);
  if (is_done) {
    waiting_.erase(body);
  }
  set_alarm();
  return is_done;
}

void PacedDirection::remove(link::BodyId body) {
  scheduler_.remove(body);
  waiting_.erase(body);
  set_alarm();
}

void PacedDirection::grant_waiting() {
  granting_ = true;
  for (const link::Piece& piece : scheduler_.take(boot_time_now())) {
    const auto found = waiting_.find(piece.body);
    if (found != waiting_.end()) {
      const GrantCallback grant = found->second;  // copied: the callback may remove its own entry
      grant(piece.bytes);
    }
  }
  granting_ = false;
  set_alarm();
}

void PacedDirection::set_alarm() {
  if (granting_) {
    return;
  }
  const auto due = scheduler_.next_due();
  if (due.has_value()) {
    alarm_.set(*due);
  } else {
    alarm_.cancel();
  }
}

}  // namespace planktray::transport
