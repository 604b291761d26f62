#pragma once
/// Which followers a router polls for changes of its table, and when. In a large fleet the leader
/// sends routers only answers to their hellos, and followers, which have every change too, answer
/// the polls in between. The leader's work then grows with hellos alone, and the bytes of most
/// changes stay within a zone.

#include <map>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/random.hpp"
#include "common/time.hpp"

namespace planktray::routing {

class FollowerPolls {
 public:
  explicit FollowerPolls(common::ZoneName own_zone) : own_zone_(std::move(own_zone)) {}

  /// Sets how often a follower is polled; 0: not at all.
  void set_interval(common::TimePoint now, common::Duration interval);
  /// The controller at this address has stated its zone.
  void on_zone(const std::string& address, const common::ZoneName& zone);
  /// The follower at this address has answered a poll.
  void on_answered(const std::string& address);
  /// Forgets the zones of all other controllers.
  void keep_only(const std::vector<std::string>& controllers);
  /// When the next poll is due; max: never.
  common::TimePoint next_due() const { return next_due_; }
  /// Begins a poll and returns whom to send it to: the follower that has answered the last one or,
  /// if it has not, one of this router's zone and any other one. While a follower of another zone
  /// answers, one whose zone is not known is polled, too.
  /// @param followers addresses of the controllers that do not lead.
  std::vector<std::string> begin_poll(common::TimePoint now, std::vector<std::string> followers,
                                      common::RandomEngine& random);

 private:
  bool is_own_zone(const std::string& address) const;
  /// Returns the answering follower and, if it is of another zone, one of unknown zone.
  std::vector<std::string> with_unknown(const std::string& answering,
                                        const std::vector<std::string>& followers) const;

  common::ZoneName own_zone_;
  std::map<std::string, common::ZoneName> zones_;  ///< of controllers, by address
  std::string answering_;  ///< the follower that has answered since the last poll, if any
  common::Duration interval_{0};
  common::TimePoint next_due_ = common::TimePoint::max();
};

}  // namespace planktray::routing
