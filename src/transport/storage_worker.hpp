#pragma once
/// Writes log records on a separate thread, so that a slow sync does not delay heartbeats. All
/// requests that wait when a sync ends are written with the next one (group commit). A write that
/// the disk rejects, for example because it is full, is retried until it succeeds; until then,
/// nothing of the batch is reported as persisted.

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "common/time.hpp"
#include "consensus/messages.hpp"
#include "storage/log_store.hpp"

namespace planktray::transport {

class StorageWorker {
 public:
  /// Called on the main loop's thread with the highest durable sequence, or with the error after
  /// which the content of the folder is unknown.
  using Callback = std::function<void(common::Result<std::uint64_t> persisted)>;
  /// Called on the main loop's thread at the first rejected write of a batch.
  using RefusalCallback = std::function<void(const common::Error& error)>;

  /// @param store used only by this worker from now on; must outlive it.
  StorageWorker(storage::LogStore& store, Callback callback, RefusalCallback on_refusal);
  StorageWorker(const StorageWorker&) = delete;
  StorageWorker& operator=(const StorageWorker&) = delete;
  ~StorageWorker();

  void submit(std::vector<consensus::PersistRequest> requests);
  /// Returns the longest time to persist a batch since the last call and resets it.
  common::Duration take_longest_persist();

 private:
  void work();
  /// Persists a batch; retries while the disk rejects it.
  common::Result<std::uint64_t> persist(const std::vector<consensus::PersistRequest>& batch);
  bool wait_or_stop();

  storage::LogStore& store_;
  Callback callback_;
  RefusalCallback on_refusal_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<consensus::PersistRequest> waiting_;
  bool stopping_ = false;
  common::Duration longest_persist_{0};  ///< guarded by the mutex
  std::thread thread_;
};

}  // namespace planktray::transport
