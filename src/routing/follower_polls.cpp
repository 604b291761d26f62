#include "routing/follower_polls.hpp"

#include <algorithm>
#include <utility>

namespace planktray::routing {

void FollowerPolls::set_interval(common::TimePoint now, common::Duration interval) {
  if (interval == interval_) {
    return;
  }
  interval_ = interval;
  next_due_ = interval.count() == 0 ? common::TimePoint::max() : now + interval;
}

void FollowerPolls::on_zone(const std::string& address, const common::ZoneName& zone) {
  zones_[address] = zone;
}

void FollowerPolls::keep_only(const std::vector<std::string>& controllers) {
  std::erase_if(zones_, [&](const auto& item) {
    return std::find(controllers.begin(), controllers.end(), item.first) == controllers.end();
  });
}

void FollowerPolls::on_answered(const std::string& address) {
  if (answering_.empty() || is_own_zone(address)) {
    answering_ = address;
  }
}

std::vector<std::string> FollowerPolls::begin_poll(common::TimePoint now,
                                                   std::vector<std::string> followers,
                                                   common::RandomEngine& random) {
  next_due_ = now + interval_;
  const std::string answering = std::exchange(answering_, "");
  if (std::find(followers.begin(), followers.end(), answering) != followers.end()) {
    return with_unknown(answering, followers);
  }
  if (followers.empty()) {
    return {};
  }
  // A random order, in which one of the own zone comes first.
  const auto first = common::uniform(random, 0, followers.size() - 1);
  std::rotate(followers.begin(), followers.begin() + static_cast<std::ptrdiff_t>(first),
              followers.end());
  std::stable_partition(followers.begin(), followers.end(),
                        [this](const std::string& address) { return is_own_zone(address); });
  std::vector<std::string> polled = {followers.front()};
  const auto other = std::find_if(followers.begin() + 1, followers.end(),
                                  [this](const auto& address) { return !is_own_zone(address); });
  if (other != followers.end()) {
    polled.push_back(*other);
  }
  return polled;
}

std::vector<std::string> FollowerPolls::with_unknown(
    const std::string& answering, const std::vector<std::string>& followers) const {
  const auto unknown = std::find_if(followers.begin(), followers.end(), [&](const auto& address) {
    return address != answering && !zones_.contains(address);
  });
  if (is_own_zone(answering) || unknown == followers.end()) {
    return {answering};
  }
  return {answering, *unknown};
}

bool FollowerPolls::is_own_zone(const std::string& address) const {
  const auto found = zones_.find(address);
  return found != zones_.end() && found->second == own_zone_;
}

}  // namespace planktray::routing
