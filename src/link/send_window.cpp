#include "link/send_window.hpp"

#include <algorithm>
#include <utility>

namespace planktray::link {

bool SendWindow::fits(std::size_t bytes) const {
  return bound_.empty() || time_for(bound_bytes_ + bytes) <= options_.span;
}

bool SendWindow::admits(TimePoint now, std::size_t bytes) {
  drop_stalled(now);
  return waiting_.empty() && fits(bytes);
}

void SendWindow::wait(Ticket ticket, std::size_t bytes) { waiting_[ticket] = bytes; }

std::map<SendWindow::Ticket, std::size_t>::const_iterator SendWindow::choose() const {
  if (is_oldest_next()) {
    return waiting_.begin();
  }
  return std::min_element(waiting_.begin(), waiting_.end(),
                          [](const auto& a, const auto& b) { return a.second < b.second; });
}

std::optional<SendWindow::Ticket> SendWindow::next(TimePoint now) {
  drop_stalled(now);
  const auto chosen = choose();
  if (chosen == waiting_.end() || !fits(chosen->second)) {
    return std::nullopt;
  }
  const Ticket ticket = chosen->first;
  oldest_bytes_ += is_oldest_next() ? chosen->second : 0;
  served_bytes_ += chosen->second;
  waiting_.erase(chosen);
  return ticket;
}

std::vector<SendWindow::Ticket> SendWindow::take_waiting() {
  std::vector<Ticket> tickets;
  for (const auto& [ticket, bytes] : std::exchange(waiting_, {})) {
    tickets.push_back(ticket);
  }
  return tickets;
}

void SendWindow::bind(TimePoint now, Ticket ticket, std::size_t bytes) {
  release(ticket);
  bound_bytes_ += bytes;
  bound_[ticket] = {bytes, now + options_.start_time + 2 * time_for(bound_bytes_)};
}

void SendWindow::release(Ticket ticket) {
  waiting_.erase(ticket);
  const auto found = bound_.find(ticket);
  if (found != bound_.end()) {
    bound_bytes_ -= found->second.bytes;
    bound_.erase(found);
  }
}

void SendWindow::drop_stalled(TimePoint now) {
  std::erase_if(bound_, [&](const auto& item) {
    const bool is_stalled = now >= item.second.counts_until;
    bound_bytes_ -= is_stalled ? item.second.bytes : 0;
    return is_stalled;
  });
}

Duration SendWindow::time_for(std::size_t bytes) const {
  const double rate = options_.bytes_per_second * kScheduledShare * kPromisedShare;
  return std::chrono::ceil<Duration>(
      std::chrono::duration<double>(static_cast<double>(bytes) / rate));
}

Duration SendWindow::passing_time(std::size_t bytes) const {
  return is_limited(bytes) ? time_for(bound_bytes_ + bytes) : Duration(0);
}

Duration SendWindow::delay(std::size_t bytes) const {
  std::size_t ahead = bound_bytes_;
  for (const auto& [ticket, waiting] : waiting_) {
    ahead += waiting <= bytes ? waiting : 0;
  }
  return time_for(ahead + bytes);
}

TimePoint SendWindow::next_due() const {
  if (waiting_.empty()) {
    return TimePoint::max();
  }
  if (fits(choose()->second)) {
    return TimePoint();
  }
  const auto first = std::min_element(
      bound_.begin(), bound_.end(),
      [](const auto& a, const auto& b) { return a.second.counts_until < b.second.counts_until; });
  return first->second.counts_until;
}

}  // namespace planktray::link
