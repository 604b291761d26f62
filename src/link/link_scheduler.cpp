#include "link/link_scheduler.hpp"

#include <algorithm>

namespace planktray::link {
namespace {

std::size_t piece_size(double rate) {
  const double bytes = rate * std::chrono::duration<double>(kPieceTime).count();
  return std::max(kMinPieceBytes, static_cast<std::size_t>(bytes));
}

}  // namespace

LinkScheduler::LinkScheduler(double bytes_per_second, TimePoint now)
    : rate_(bytes_per_second * kScheduledShare),
      piece_(piece_size(rate_)),
      tokens_(static_cast<double>(piece_)),
      refilled_(now),
      last_piece_(now) {}

BodyId LinkScheduler::add(TimePoint now, std::size_t bytes, BodyRank rank) {
  refill(now);
  if (bodies_.empty()) {
    last_piece_ = now;
  }
  const BodyId id = next_id_++;
  bodies_[id] = {rank, bytes};
  remaining_ += bytes;
  return id;
}

void LinkScheduler::extend(BodyId body, std::size_t bytes) {
  const auto found = bodies_.find(body);
  if (found != bodies_.end()) {
    found->second.remaining += bytes;
    remaining_ += bytes;
  }
}

bool LinkScheduler::passed(BodyId body, std::size_t bytes) {
  const auto found = bodies_.find(body);
  if (found == bodies_.end()) {
    return true;
  }
  const std::size_t transferred = std::min(bytes, found->second.remaining);
  found->second.remaining -= transferred;
  found->second.in_flight -= std::min(transferred, found->second.in_flight);
  remaining_ -= transferred;
  passed_ += transferred;
  if (found->second.remaining > 0) {
    return false;
  }
  bodies_.erase(found);
  return true;
}

void LinkScheduler::remove(BodyId body) {
  const auto found = bodies_.find(body);
  if (found == bodies_.end()) {
    return;
  }
  remaining_ -= found->second.remaining;
  tokens_ += static_cast<double>(found->second.in_flight);
  bodies_.erase(found);
}

void LinkScheduler::note_small(TimePoint now, std::size_t bytes) {
  refill(now);
  // A large body's piece may be sent in spite of small messages (kLongestPause) and lower the
  // tokens further. Small messages neither lower nor raise the tokens then.
  const double lower_bound = std::min(tokens_, -static_cast<double>(piece_));
  tokens_ = std::max(tokens_ - static_cast<double>(bytes), lower_bound);
}

void LinkScheduler::refill(TimePoint now) {
  if (now <= refilled_) {
    return;
  }
  const double seconds = std::chrono::duration<double>(now - refilled_).count();
  refilled_ = now;
  tokens_ = std::min(tokens_ + seconds * rate_, 2.0 * static_cast<double>(piece_));
}

bool LinkScheduler::is_due(TimePoint now) const {
  return tokens_ >= static_cast<double>(piece_) || now - last_piece_ >= kLongestPause;
}

std::map<BodyId, LinkScheduler::Body>::iterator LinkScheduler::choose() {
  const auto promised = std::find_if(bodies_.begin(), bodies_.end(), [](const auto& item) {
    return item.second.rank == BodyRank::kPromised && item.second.in_flight == 0;
  });
  const auto shared = choose_shared();
  if (promised == bodies_.end() || shared == bodies_.end()) {
    return promised == bodies_.end() ? shared : promised;
  }
  return pieces_ % kPiecesPerShared == 0 ? shared : promised;
}

std::map<BodyId, LinkScheduler::Body>::iterator LinkScheduler::choose_shared() {
  const bool oldest_first = shared_pieces_ % kPiecesPerOldest == 0;
  auto best = bodies_.end();
  for (auto item = bodies_.begin(); item != bodies_.end(); ++item) {
    if (item->second.in_flight > 0 || item->second.rank != BodyRank::kShared) {
      continue;
    }
    if (best == bodies_.end() ||
        (!oldest_first && item->second.remaining < best->second.remaining)) {
      best = item;
    }
  }
  return best;
}

std::vector<Piece> LinkScheduler::take(TimePoint now) {
  std::vector<Piece> pieces;
  refill(now);
  while (is_due(now)) {
    const auto body = choose();
    if (body == bodies_.end()) {
      break;
    }
    const std::size_t bytes = std::min(piece_, body->second.remaining);
    body->second.in_flight = bytes;
    tokens_ -= static_cast<double>(bytes);
    last_piece_ = now;
    ++pieces_;
    shared_pieces_ += body->second.rank == BodyRank::kShared ? 1 : 0;
    pieces.push_back({body->first, bytes});
  }
  return pieces;
}

std::optional<TimePoint> LinkScheduler::next_due() const {
  const bool is_waiting = std::any_of(bodies_.begin(), bodies_.end(),
                                      [](const auto& item) { return item.second.in_flight == 0; });
  if (!is_waiting) {
    return std::nullopt;
  }
  const double missing = std::max(0.0, static_cast<double>(piece_) - tokens_);
  return std::min(refilled_ + time_for(missing), last_piece_ + kLongestPause);
}

Duration LinkScheduler::time_for(double bytes) const {
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(bytes / rate_));
}

Duration LinkScheduler::backlog() const { return time_for(static_cast<double>(remaining_)); }

}  // namespace planktray::link
