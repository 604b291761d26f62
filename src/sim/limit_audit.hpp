#pragma once
/// Judges what back ends that name a limit get, by what they and callers could see: which router
/// has passed such an answer on, and which requests arrived from those routers.

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace planktray::sim {

class LimitAudit {
 public:
  /// The back end names a limit from now on, or none.
  void on_named(common::BackendId backend, std::optional<double> limit) {
    if (limit.has_value()) {
      named_[backend] = Named{*limit, std::nullopt, {}, {}};
    } else {
      named_.erase(backend);
    }
  }
  /// A router has read an answer with the limit.
  void on_told(common::TimePoint now, common::BackendId backend, std::size_t router) {
    const auto found = named_.find(backend);
    if (found != named_.end()) {
      found->second.first = found->second.first.value_or(now);
      found->second.told.try_emplace(router, now);
    }
  }
  /// The router forgets, or is cut off: what it sends is excused from now on.
  void excuse(std::size_t router) {
    for (auto& [id, named] : named_) {
      named.told.erase(router);
    }
  }
  void on_arrival(common::TimePoint now, common::BackendId backend, std::size_t router,
                  const std::function<void(const std::string&)>& violate) {
    const auto found = named_.find(backend);
    if (found == named_.end() || !found->second.first.has_value()) {
      return;
    }
    Named& named = found->second;
    const auto told = named.told.find(router);
    const bool counts =
        now >= *named.first + kContact && told != named.told.end() && now >= told->second + kTold;
    if (!counts) {
      return;
    }
    ++counted_;
    named.window.push_back(now);
    while (named.window.front() <= now - kWindow) {
      named.window.pop_front();
    }
    const double allowed = kSlack * named.limit * std::chrono::duration<double>(kWindow).count();
    if (static_cast<double>(named.window.size()) > allowed + kExtra) {
      violate("back end " + std::to_string(backend.value) + " with a limit of " +
              std::to_string(named.limit) + " a second gets " +
              std::to_string(named.window.size()) + " requests in 4 s");
      named.window.clear();
    }
  }
  std::uint64_t counted() const { return counted_; }

 private:
  // As promised to users: from when on, over which time and by how much all routers may exceed it.
  static constexpr common::Duration kContact = std::chrono::milliseconds(3000);
  static constexpr common::Duration kTold = std::chrono::milliseconds(500);
  static constexpr common::Duration kWindow = std::chrono::milliseconds(4000);
  static constexpr double kSlack = 1.5;
  static constexpr double kExtra = 5;

  struct Named {
    double limit = 0;
    std::optional<common::TimePoint> first;
    std::map<std::size_t, common::TimePoint> told;
    std::deque<common::TimePoint> window;
  };

  std::map<common::BackendId, Named> named_;
  std::uint64_t counted_ = 0;
};

}  // namespace planktray::sim
