#pragma once
/// Which callers of one router ask much more than the others, by what came from each address of
/// late. It decides nothing while there is room: see AdmissionInput::is_greedy.

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

#include "common/time.hpp"

namespace planktray::routing {

struct CallerShareOptions {
  /// What came this long ago counts half: returns that come at once show within a second, and a
  /// caller that keeps to its share again is treated as before a few seconds later.
  common::Duration half_life = std::chrono::milliseconds(1000);
  /// A caller that asks this many times as much as the others do on average takes more than its
  /// share; less is what pages that load together, or a few users behind one address, do.
  double factor = 4;
  /// Requests of late below which nobody takes too much.
  double minimum = 8;
  /// Callers kept; beyond it the one that asked least of late is forgotten.
  std::size_t maximum_callers = 256;
};

class CallerShares {
 public:
  explicit CallerShares(CallerShareOptions options = {}) : options_(options) {}

  /// A request of `caller` came. @return true where it has taken more than its share of late.
  bool note(common::TimePoint now, std::string_view caller);
  std::size_t size() const { return callers_.size(); }

 private:
  struct Asked {
    double count = 0;
    common::TimePoint at;
  };
  double faded(common::TimePoint now, const Asked& asked) const;
  void forget_least(common::TimePoint now);

  CallerShareOptions options_;
  std::unordered_map<std::string, Asked> callers_;
  Asked all_;
};

}  // namespace planktray::routing
