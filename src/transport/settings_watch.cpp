#include "transport/settings_watch.hpp"

#include <sys/stat.h>

#include <utility>

namespace planktray::transport {
namespace {

constexpr common::Duration kCheckInterval = std::chrono::milliseconds(2000);

/// Returns the file's modification time in nanoseconds, or 0 if it cannot be read.
std::int64_t change_time(const std::string& path) {
  struct stat status {};
  if (path.empty() || ::stat(path.c_str(), &status) != 0) {
    return 0;
  }
  constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;
  return status.st_mtim.tv_sec * kNanosecondsPerSecond + status.st_mtim.tv_nsec;
}

}  // namespace

SettingsWatch::SettingsWatch(EventLoop& loop, std::string path, std::function<void()> changed)
    : path_(std::move(path)), changed_(std::move(changed)), changed_at_(change_time(path_)) {
  loop.on_hangup([this] {
    changed_at_ = change_time(path_);
    changed_();
  });
  if (!path_.empty()) {
    loop.every(kCheckInterval, [this] { check_file(); });
  }
}

void SettingsWatch::check_file() {
  const std::int64_t now = change_time(path_);
  if (now != 0 && now != changed_at_) {
    changed_at_ = now;
    changed_();
  }
}

}  // namespace planktray::transport
