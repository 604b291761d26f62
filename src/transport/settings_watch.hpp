#pragma once
/// Notices that a settings file has changed: by SIGHUP, or by its time of change without a signal.

#include <functional>
#include <string>

#include "transport/event_loop.hpp"

namespace planktray::transport {

class SettingsWatch {
 public:
  /// Calls `changed` after each change. @param path empty: SIGHUP alone counts.
  SettingsWatch(EventLoop& loop, std::string path, std::function<void()> changed);

 private:
  void look();

  std::string path_;
  std::function<void()> changed_;
  std::int64_t changed_at_ = 0;  ///< time of the last change that was seen, in nanoseconds
};

}  // namespace planktray::transport
