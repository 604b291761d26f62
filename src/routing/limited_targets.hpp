#pragma once
/// Targets that limit the rate of requests from all routers together, and whether this router may
/// send one more request to such a target.
///
/// Two mechanisms enforce a limit. In both, a router does not need to know what the others send:
///  - *Admission.* The leader knows the demand for an owner's keys from all routers and publishes
///    the share of it that may be sent. Each router sends this share of its own requests.
///  - *Equal shares* (`RateShare`), for targets that other targets can replace, and for owners
///    without an admission from the leader within `admission_lease`.
/// Both use half of the limit. With many routers, the number of requests is Poisson distributed. In
/// a window of 4 s it then exceeds a bound of 1.5 times the limit plus 5 requests with a
/// probability of 1e-5 at the worst limit (0.66 per second), 1.4e-6 at 1 per second and 8e-10
/// at 4.8 per second.
///
/// A limit applies until an answer of the same target states no limit. The router that receives the
/// answer reports the end to the leader, which informs all routers, since one router alone may send
/// to such a target only once in minutes.

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/ids.hpp"
#include "common/random.hpp"
#include "common/time.hpp"
#include "routing/even_share.hpp"
#include "routing/rate_share.hpp"
#include "routing/table_messages.hpp"

namespace planktray::routing {

/// The limit of a target as stated in one answer.
struct AnswerLimit {
  bool is_stated = false;            ///< false: the answer does not state whether there is a limit
  std::optional<double> per_second;  ///< std::nullopt: no limit
};

struct LimitedTargetsOptions {
  /// Fraction of a limit that is used.
  double share = 0.5;
  /// Minimum rate of all routers together, in requests per second: a target with a limit of 0 gets
  /// a request now and then, since only an answer shows that the limit has ended. Six requests in a
  /// window of 4 s, one more than the bound at a limit of 0, have a probability below 1e-5.
  double min_rate = 0.1;
  /// How long an admission from the leader is valid. Longer than two hello intervals of the largest
  /// fleet (1.25 s each), so that one late answer does not invalidate it.
  common::Duration admission_lease = std::chrono::milliseconds(2500);
  /// How long the end of a limit is reported. Longer than a change of leader takes.
  common::Duration end_memory = std::chrono::milliseconds(5000);
  /// Safeguard; disabled only in mutants.
  bool is_enabled = true;
};

class LimitedTargets {
 public:
  explicit LimitedTargets(LimitedTargetsOptions options);

  /// Records the limit stated in an answer of the target. @return true if it has changed.
  bool on_answer(common::TimePoint now, BackendId target, const AnswerLimit& stated);
  /// Applies the leader's list. @param asked_at when the newest hello that the leader had read for
  /// the list was sent: the list does not include what this router reported later.
  /// @param is_complete whether targets that are not in the list have no limit.
  void on_leader_list(common::TimePoint now, common::TimePoint asked_at,
                      const std::vector<TargetLimit>& limits, bool is_complete);
  /// Drops targets that are not in the table, and limits that ended more than `end_memory` ago.
  template <typename IsKnown>
  void keep_only(common::TimePoint now, const IsKnown& is_known) {
    std::erase_if(targets_, [&](const auto& item) {
      return !is_known(item.first) || is_expired(now, item.second);
    });
    equal_shares_.keep_only([this](BackendId id) { return is_limited(id); });
  }

  bool is_limited(BackendId target) const;
  /// Whether one more request for keys of this owner is admitted. To be called once per request,
  /// since each call counts as one. @return std::nullopt without a valid admission from the leader:
  /// has_share() applies.
  std::optional<bool> admits(common::TimePoint now, BackendId owner, common::RandomEngine& random);
  /// Whether this router's equal share of the limit allows one more request now.
  bool has_share(common::TimePoint now, BackendId target, std::uint32_t routers,
                 common::RandomEngine& random);
  void on_sent(common::TimePoint now, BackendId target, std::uint32_t routers);
  /// Limits that answers have stated to this router, for the leader; at most `max_reports`.
  std::vector<LimitReport> reports(common::TimePoint now, std::size_t max_reports);
  /// Number of targets with a limit.
  std::size_t count() const;

 private:
  struct Target {
    std::optional<double> limit;
    std::optional<common::TimePoint> stated;    ///< when an answer last stated the limit
    std::optional<common::TimePoint> reported;  ///< first hello with the current limit
    double admission = 1;
    common::TimePoint admission_until;
    EvenShare admitted;
  };

  double planned_rate(const Target& target) const;
  /// True if the leader's list cannot include this router's newest observation yet.
  static bool is_ahead(const Target& target, common::TimePoint asked_at) {
    return target.stated.has_value() &&
           !(target.reported.has_value() && *target.reported <= asked_at);
  }
  bool is_expired(common::TimePoint now, const Target& target) const;

  LimitedTargetsOptions options_;
  bool reports_all_ = true;  ///< whether the last report included all limits
  std::unordered_map<BackendId, Target> targets_;
  RateShare equal_shares_;
};

}  // namespace planktray::routing
