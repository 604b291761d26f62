#pragma once
/// Writes log records on a thread of its own, so that a slow sync delays no heartbeat. Everything
/// that waits when a sync ends goes out with the next one (group commit).

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "consensus/messages.hpp"
#include "storage/log_store.hpp"

namespace planktray::transport {

class StorageWorker {
 public:
  /// Called on the main loop's thread with the highest sequence that lasts, or the failure.
  using Callback = std::function<void(common::Result<std::uint64_t> persisted)>;

  /// @param store is used by this worker alone from now on and must outlive it.
  StorageWorker(storage::LogStore& store, Callback callback);
  StorageWorker(const StorageWorker&) = delete;
  StorageWorker& operator=(const StorageWorker&) = delete;
  ~StorageWorker();

  void submit(std::vector<consensus::PersistRequest> requests);

 private:
  void work();

  storage::LogStore& store_;
  Callback callback_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<consensus::PersistRequest> waiting_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace planktray::transport
