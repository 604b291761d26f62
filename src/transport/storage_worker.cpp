#include "transport/storage_worker.hpp"

#include <utility>

#include "transport/event_loop.hpp"

namespace planktray::transport {

StorageWorker::StorageWorker(storage::LogStore& store, Callback callback)
    : store_(store), callback_(std::move(callback)), thread_([this] { work(); }) {}

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
    const auto written = store_.persist(batch);
    common::Result<std::uint64_t> result = batch.back().sequence;
    if (!written.has_value()) {
      result = tl::unexpected(written.error());
    }
    EventLoop::post([callback = callback_, result] { callback(result); });
    lock.lock();
  }
}

}  // namespace planktray::transport
