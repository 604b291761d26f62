#include "transport/send_queue.hpp"

namespace planktray::transport {
namespace {

/// Smaller bodies are copied behind the bytes before them, which saves a system call.
constexpr std::size_t kCopiedBytes = std::size_t{16} * 1024;

}  // namespace

void SendQueue::append(std::string_view bytes) {
  if (bytes.empty()) {
    return;
  }
  if (segments_.empty() || !segments_.back().shared.empty()) {
    segments_.emplace_back();
  }
  segments_.back().own.append(bytes);
  size_ += bytes.size();
}

void SendQueue::append(const SharedBytes& bytes) {
  if (bytes.size() <= kCopiedBytes) {
    return append(bytes.view());
  }
  segments_.push_back({"", bytes});
  size_ += bytes.size();
}

void SendQueue::clear() {
  segments_.clear();
  sent_ = 0;
  size_ = 0;
}

std::string_view SendQueue::front() const {
  return segments_.empty() ? std::string_view() : segments_.front().view().substr(sent_);
}

void SendQueue::pop(std::size_t bytes) {
  sent_ += bytes;
  size_ -= bytes;
  if (!segments_.empty() && sent_ == segments_.front().view().size()) {
    segments_.erase(segments_.begin());
    sent_ = 0;
  }
}

}  // namespace planktray::transport
