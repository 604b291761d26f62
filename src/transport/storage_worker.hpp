#pragma once
/// Writes log records on a thread of its own, so that a slow sync delays no heartbeat. Everything
/// that waits when a sync ends goes out with the next one (group commit). A disk that refuses to
/// take more bytes is asked again until it does; meanwhile nothing counts as written.

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
  /// Called on the main loop's thread with the highest sequence that lasts, or the failure after
  /// which what the folder holds is not known.
  using Callback = std::function<void(common::Result<std::uint64_t> persisted)>;
  /// Called on the main loop's thread when the disk begins to refuse.
  using RefusalCallback = std::function<void(const common::Error& error)>;

  /// @param store is used by this worker alone from now on and must outlive it.
  StorageWorker(storage::LogStore& store, Callback callback, RefusalCallback on_refusal);
  StorageWorker(const StorageWorker&) = delete;
  StorageWorker& operator=(const StorageWorker&) = delete;
  ~StorageWorker();

  void submit(std::vector<consensus::PersistRequest> requests);
  /// The longest time that the disk took for a batch since the last call.
  common::Duration take_longest_persist();

 private:
  void work();
  /// Persists a batch, again and again while the disk refuses it.
  common::Result<std::uint64_t> persist(const std::vector<consensus::PersistRequest>& batch);
  bool rest_or_stop();

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
