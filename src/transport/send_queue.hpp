#pragma once
/// Bytes that wait until the kernel accepts them. Large bodies are referred to, not copied.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "transport/shared_bytes.hpp"

namespace planktray::transport {

class SendQueue {
 public:
  void append(std::string_view bytes);
  void append(const SharedBytes& bytes);
  void clear();

  /// Returns the next contiguous bytes; empty only if the queue is.
  std::string_view front() const;
  /// Removes this many bytes from the front; at most front().size().
  void pop(std::size_t bytes);
  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }

 private:
  /// Bytes of the queue's own, or a body that is shared with others.
  struct Segment {
    std::string own;
    SharedBytes shared;

    std::string_view view() const { return shared.empty() ? std::string_view(own) : shared.view(); }
  };

  std::vector<Segment> segments_;  ///< a few at most
  std::size_t sent_ = 0;           ///< bytes of the first segment that are removed
  std::size_t size_ = 0;
};

}  // namespace planktray::transport
