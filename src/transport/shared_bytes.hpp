#pragma once
/// Immutable bytes with several owners: the body of a request is held once, however many attempts
/// and connections send it.

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace planktray::transport {

class SharedBytes {
 public:
  SharedBytes() = default;
  SharedBytes(std::string bytes)  // NOLINT(google-explicit-constructor): stands for its bytes
      : bytes_(bytes.empty() ? nullptr : std::make_shared<const std::string>(std::move(bytes))) {}
  SharedBytes(std::string_view bytes) : SharedBytes(std::string(bytes)) {}  // NOLINT: as above
  SharedBytes(const char* bytes) : SharedBytes(std::string(bytes)) {}       // NOLINT: as above

  std::string_view view() const { return bytes_ == nullptr ? std::string_view() : *bytes_; }
  operator std::string_view() const { return view(); }  // NOLINT: stands for its bytes
  std::size_t size() const { return view().size(); }
  bool empty() const { return bytes_ == nullptr; }
  bool operator==(std::string_view other) const { return view() == other; }

 private:
  std::shared_ptr<const std::string> bytes_;  ///< nullptr: empty
};

}  // namespace planktray::transport
