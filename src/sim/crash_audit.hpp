#pragma once
/// Judges requests that crash the targets which begin to run them, by what targets and callers
/// could see.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "common/time.hpp"

namespace planktray::sim {

class CrashAudit {
 public:
  /// The request has crashed one more target.
  void on_crash(common::TimePoint now, std::uint64_t digest) {
    Seen& seen = seen_[digest];
    ++seen.crashes;
    if (seen.crashes == kCrashes) {
      seen.third = now;
    }
  }
  /// The request arrives at a target. @param in_touch whether its router reached the leader for the
  /// time within which it has to know.
  void on_arrival(common::TimePoint now, std::uint64_t digest, bool in_touch,
                  const std::function<void(const std::string&)>& violate) {
    Seen& seen = seen_[digest];
    if (!in_touch || !seen.third.has_value() || now < *seen.third + kContact) {
      return;
    }
    ++seen.late;
    if (seen.late == kRetries + 1) {
      violate("request " + std::to_string(digest) + " reaches targets " +
              std::to_string(seen.late) + " times after it has crashed three");
    }
  }
  std::uint64_t crashed_three() const {
    std::uint64_t count = 0;
    for (const auto& [digest, seen] : seen_) {
      count += seen.third.has_value() ? 1 : 0;
    }
    return count;
  }

 private:
  // As promised to users.
  static constexpr std::uint32_t kCrashes = 3;
  static constexpr std::uint32_t kRetries = 3;
  static constexpr common::Duration kContact = std::chrono::milliseconds(3000);

  struct Seen {
    std::uint32_t crashes = 0;
    std::uint32_t late = 0;
    std::optional<common::TimePoint> third;
  };

  std::map<std::uint64_t, Seen> seen_;
};

}  // namespace planktray::sim
