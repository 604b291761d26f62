#pragma once
/// Judges the retry budget as back ends see it: arrivals at a service beyond the first of their
/// request, in every sliding window, whichever service the request was meant for.

#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/time.hpp"
#include "routing/retry_window.hpp"

namespace planktray::sim {

class RepeatAudit {
 public:
  RepeatAudit(routing::RetryWindowOptions terms, std::size_t services)
      : terms_(terms), services_(services) {}

  /// A caller's request for the service.
  void on_request(common::TimePoint now, std::size_t service);
  /// A request reaches a back end of the service, whatever comes of it.
  void on_arrival(common::TimePoint now, std::size_t service, std::uint64_t request);
  /// Reports each service whose budget was exceeded in some window, with the worst of them.
  void judge(const std::function<void(const std::string&)>& report) const;
  std::uint64_t repeats() const { return repeats_; }

 private:
  /// Counts of one tenth of a second.
  struct Slot {
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
  };
  struct Service {
    std::vector<Slot> slots;
    std::set<std::uint64_t> arrived;
  };

  Slot& slot_at(common::TimePoint now, std::size_t service);

  routing::RetryWindowOptions terms_;
  std::vector<Service> services_;
  std::int64_t first_slot_ = -1;
  std::uint64_t repeats_ = 0;
};

}  // namespace planktray::sim
