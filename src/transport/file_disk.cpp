#include "transport/file_disk.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace planktray::transport {
namespace {

constexpr const char* kLockFile = ".lock";
constexpr const char* kTemporarySuffix = ".tmp";
constexpr int kFileMode = 0640;

tl::unexpected<common::Error> io_error(const std::string& step, const std::string& file) {
  return common::fail(common::ErrorCode::kIo, step, file, std::strerror(errno));
}

common::Result<void> write_all(int file, const std::string& bytes, const std::string& name) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count = ::write(file, bytes.data() + written, bytes.size() - written);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      return io_error("write", name);
    }
    written += static_cast<std::size_t>(count);
  }
  return {};
}

}  // namespace

common::Result<std::unique_ptr<FileDisk>> FileDisk::open(const std::string& folder) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  if (error) {
    return common::fail(common::ErrorCode::kIo, "make data folder", folder, error.message());
  }
  const std::string lock_path = folder + "/" + kLockFile;
  const int lock = ::open(lock_path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, kFileMode);
  if (lock < 0) {
    return io_error("open lock", folder);
  }
  if (::flock(lock, LOCK_EX | LOCK_NB) != 0) {
    ::close(lock);
    return common::fail(common::ErrorCode::kUnavailable, "lock data folder", folder,
                        "another process uses it");
  }
  return std::unique_ptr<FileDisk>(new FileDisk(folder, lock));
}

FileDisk::~FileDisk() {
  close_file();
  ::close(lock_);
}

std::vector<std::string> FileDisk::list() const {
  std::vector<std::string> names;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder_, error)) {
    const std::string name = entry.path().filename().string();
    if (name != kLockFile && !name.ends_with(kTemporarySuffix)) {
      names.push_back(name);
    }
  }
  return names;
}

common::Result<std::string> FileDisk::read(const std::string& name) const {
  std::ifstream file(path(name), std::ios::binary);
  if (!file) {
    return common::fail(common::ErrorCode::kNotFound, "read", name, "no such file");
  }
  std::ostringstream bytes;
  bytes << file.rdbuf();
  if (file.bad()) {
    return io_error("read", name);
  }
  return bytes.str();
}

common::Result<void> FileDisk::use(const std::string& name) {
  if (open_name_ == name && open_file_ >= 0) {
    return {};
  }
  close_file();
  const bool is_new = !std::filesystem::exists(path(name));
  open_file_ = ::open(path(name).c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, kFileMode);
  if (open_file_ < 0) {
    return io_error("open", name);
  }
  open_name_ = name;
  return is_new ? sync_folder() : common::Result<void>();
}

void FileDisk::close_file() {
  if (open_file_ >= 0) {
    ::close(open_file_);
    open_file_ = -1;
  }
}

common::Result<void> FileDisk::append(const std::string& name, const std::string& bytes) {
  if (auto opened = use(name); !opened) {
    return opened;
  }
  return write_all(open_file_, bytes, name);
}

common::Result<void> FileDisk::sync(const std::string& name) {
  if (auto opened = use(name); !opened) {
    return opened;
  }
  return ::fdatasync(open_file_) == 0 ? common::Result<void>() : io_error("sync", name);
}

common::Result<void> FileDisk::replace(const std::string& name, const std::string& bytes) {
  const std::string temporary = path(name) + kTemporarySuffix;
  const int file = ::open(temporary.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, kFileMode);
  if (file < 0) {
    return io_error("open", name);
  }
  auto written = write_all(file, bytes, name);
  const bool synced = ::fsync(file) == 0;
  ::close(file);
  if (!written) {
    return written;
  }
  if (!synced || ::rename(temporary.c_str(), path(name).c_str()) != 0) {
    return io_error("replace", name);
  }
  if (open_name_ == name) {
    close_file();
  }
  return sync_folder();
}

common::Result<void> FileDisk::truncate(const std::string& name, std::size_t size) {
  if (::truncate(path(name).c_str(), static_cast<off_t>(size)) != 0) {
    return io_error("truncate", name);
  }
  return sync(name);
}

common::Result<void> FileDisk::remove(const std::string& name) {
  if (open_name_ == name) {
    close_file();
  }
  if (::unlink(path(name).c_str()) != 0 && errno != ENOENT) {
    return io_error("remove", name);
  }
  return sync_folder();
}

common::Result<void> FileDisk::sync_folder() const {
  const int folder = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) {
    return io_error("open folder", folder_);
  }
  const bool synced = ::fsync(folder) == 0;
  ::close(folder);
  return synced ? common::Result<void>() : io_error("sync folder", folder_);
}

}  // namespace planktray::transport
