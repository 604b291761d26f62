#pragma once
/// Targets that name how many requests a second they take from all routers together: which they
/// are, and whether this router may send one more.
///
/// Two ways hold the sum, and neither needs this router to know what others send:
///  - *Admission.* The leader knows the demand for the keys of an owner from all routers, and tells
///    all the same part of it that may be sent. Each router sends that part of its own requests.
///  - *Equal parts* (`RateShare`), where the leader has said nothing for `admission_lease`, and for
///    targets that can be passed by.
/// Both plan with half of the limit: with many routers a count is Poisson distributed, and a bound
/// of one and a half times the limit and 5 in 4 s is then exceeded with a probability of 1e-5 for
/// one such time at the worst limit (0.66 a second), 1.4e-6 at 1 and 8e-10 at 4.8 a second.
///
/// A limit holds until an answer of the same target comes without one. Who hears so tells the
/// leader, which tells all: a router alone may send to such a target once in minutes.

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

/// What one answer says of its target's limit.
struct AnswerLimit {
  bool is_stated = false;            ///< the answer tells whether there is one
  std::optional<double> per_second;  ///< none: the target names no limit
};

struct LimitedTargetsOptions {
  /// Part of a limit that is planned with.
  double share = 0.5;
  /// Least rate, of all routers together, that is planned with, in requests a second: a target
  /// whose limit is 0 has to get one now and then, or nobody hears that the limit has ended. Six in
  /// 4 s, one more than may come at a limit of 0, have a probability below 1e-5.
  double min_rate = 0.1;
  /// The leader's word on admission is used for this long. Longer than two hellos of the largest
  /// fleet (1.25 s apart), so that one late answer does not end it.
  common::Duration admission_lease = std::chrono::milliseconds(2500);
  /// That a limit has ended is told for this long: it outlives a change of leader.
  common::Duration end_memory = std::chrono::milliseconds(5000);
  /// Safeguard; off only in mutants.
  bool is_enabled = true;
};

class LimitedTargets {
 public:
  explicit LimitedTargets(LimitedTargetsOptions options);

  /// An answer of the target came. @return true where this is news.
  bool on_answer(common::TimePoint now, BackendId target, const AnswerLimit& word);
  /// The leader's list. @param asked_at when the hello was sent that it had read: what this router
  /// has not reported by then is not in the list.
  /// @param is_complete whether a target that the list lacks names no limit.
  void on_leader_list(common::TimePoint now, common::TimePoint asked_at,
                      const std::vector<TargetLimit>& limits, bool is_complete);
  /// Forgets targets that the table lacks, and ends that are old.
  template <typename IsKnown>
  void keep_only(common::TimePoint now, const IsKnown& is_known) {
    std::erase_if(targets_, [&](const auto& item) {
      return !is_known(item.first) || is_spent(now, item.second);
    });
    parts_.keep_only([this](BackendId id) { return is_limited(id); });
  }

  bool is_limited(BackendId target) const;
  /// Whether one more request for keys of this owner is admitted; to be asked once a request.
  /// @return nothing where the leader has not said lately which part is: see has_share.
  std::optional<bool> admits(common::TimePoint now, BackendId owner, common::RandomEngine& random);
  /// Whether this router's equal part leaves room for one more now.
  bool has_share(common::TimePoint now, BackendId target, std::uint32_t routers,
                 common::RandomEngine& random);
  void on_sent(common::TimePoint now, BackendId target, std::uint32_t routers);
  /// What this router knows of limits, for the leader; `most` at most.
  std::vector<LimitReport> reports(common::TimePoint now, std::size_t most);
  std::size_t count() const;

 private:
  struct Target {
    std::optional<double> limit;
    std::optional<common::TimePoint> heard;     ///< when an answer told something here
    std::optional<common::TimePoint> reported;  ///< since when hellos say what holds now
    double admission = 1;
    common::TimePoint admission_until;
    EvenShare admitted;
  };

  double planned_rate(const Target& target) const;
  /// True where this router knows something that the leader's list cannot show yet.
  static bool is_ahead(const Target& target, common::TimePoint asked_at) {
    return target.heard.has_value() &&
           !(target.reported.has_value() && *target.reported <= asked_at);
  }
  bool is_spent(common::TimePoint now, const Target& target) const;

  LimitedTargetsOptions options_;
  bool reports_all_ = true;  ///< whether the last report had room for all that was heard
  std::unordered_map<BackendId, Target> targets_;
  RateShare parts_;
};

}  // namespace planktray::routing
