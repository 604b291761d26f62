#include "transport/settings_watch.hpp"

#include <sys/stat.h>

#include <utility>

namespace planktray::transport {
namespace {

constexpr common::Duration kLookInterval = std::chrono::milliseconds(2000);

/// When the file last changed, 0 where it cannot be looked at.
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
    loop.every(kLookInterval, [this] { look(); });
  }
}

void SettingsWatch::look() {
  const std::int64_t now = change_time(path_);
  if (now != 0 && now != changed_at_) {
    changed_at_ = now;
    changed_();
  }
}

}  // namespace planktray::transport
