#pragma once
/// Detects changes of a settings file by SIGHUP or by its modification time.

#include <functional>
#include <string>

#include "transport/event_loop.hpp"

namespace planktray::transport {

class SettingsWatch {
 public:
  /// Calls `changed` after each change. @param path empty: only SIGHUP counts as a change.
  SettingsWatch(EventLoop& loop, std::string path, std::function<void()> changed);

 private:
  void check_file();

  std::string path_;
  std::function<void()> changed_;
  std::int64_t changed_at_ = 0;  ///< last seen modification time, in nanoseconds
};

}  // namespace planktray::transport
