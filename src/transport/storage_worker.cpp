#include "transport/storage_worker.hpp"

#include <algorithm>
#include <utility>

#include "transport/event_loop.hpp"

namespace planktray::transport {

namespace {

/// Time before a rejected write is retried.
constexpr std::chrono::milliseconds kRetryInterval(200);

}  // namespace

StorageWorker::StorageWorker(storage::LogStore& store, Callback callback,
                             RefusalCallback on_refusal)
    : store_(store),
      callback_(std::move(callback)),
      on_refusal_(std::move(on_refusal)),
      thread_([this] { work(); }) {}

StorageWorker::~StorageWorker() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void StorageWorker::submit(std::vector<consensus::PersistRequest> requests) {
  {
    const std::lock_guard lock(mutex_);
    std::move(requests.begin(), requests.end(), std::back_inserter(waiting_));
  }
  wake_.notify_one();
}

void StorageWorker::work() {
  std::unique_lock lock(mutex_);
  while (true) {
    wake_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
    if (waiting_.empty()) {
      return;
    }
    const std::vector<consensus::PersistRequest> batch = std::exchange(waiting_, {});
    lock.unlock();
    const common::TimePoint began = boot_time_now();
    const auto result = persist(batch);
    const common::Duration took = boot_time_now() - began;
    EventLoop::post([callback = callback_, result] { callback(result); });
    lock.lock();
    longest_persist_ = std::max(longest_persist_, took);
  }
}

common::Duration StorageWorker::take_longest_persist() {
  const std::lock_guard lock(mutex_);
  return std::exchange(longest_persist_, common::Duration(0));
}

common::Result<std::uint64_t> StorageWorker::persist(
    const std::vector<consensus::PersistRequest>& batch) {
  for (bool is_first = true;; is_first = false) {
    const auto written = store_.persist(batch);
    if (written.has_value()) {
      return batch.back().sequence;
    }
    if (store_.is_broken() || wait_or_stop()) {
      return tl::unexpected(written.error());
    }
    if (is_first) {
      EventLoop::post([callback = on_refusal_, error = written.error()] { callback(error); });
    }
  }
}

bool StorageWorker::wait_or_stop() {
  std::unique_lock lock(mutex_);
  return wake_.wait_for(lock, kRetryInterval, [this] { return stopping_; });
}

}  // namespace planktray::transport
