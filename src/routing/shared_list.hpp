#pragma once
/// A list that is sent in many messages, such as the changes of a table. A leader sends the same
/// changes to hundreds of routers. Copies share the elements and their encoding, which is made
/// once: with 281 routers and 20 back ends replaced per second, building and encoding each update
/// on its own took 37% of the leader's instructions (11% for building, 26% for encoding).

#include <cstddef>
#include <initializer_list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/codec.hpp"
#include "common/compression.hpp"

namespace planktray::routing {

/// Encodings of this size or more are compressed for receivers that can read them.
inline constexpr std::size_t kLeastCompressedBytes = 4096;
/// Bound of a compressed list's original size.
inline constexpr std::size_t kMaxListBytes = 64 * 1024 * 1024;

/// A list of T with value semantics (copy-on-write).
/// Invariant: a cached encoding always matches the elements.
template <typename T>
class SharedList {
 public:
  using const_iterator = typename std::vector<T>::const_iterator;

  SharedList() = default;
  SharedList(std::initializer_list<T> elements)
      : shared_(std::make_shared<Shared>(Shared{std::vector<T>(elements), {}, {}})) {}
  explicit SharedList(std::vector<T> elements)
      : shared_(std::make_shared<Shared>(Shared{std::move(elements), {}, {}})) {}

  bool empty() const { return elements().empty(); }
  std::size_t size() const { return elements().size(); }
  const_iterator begin() const { return elements().begin(); }
  const_iterator end() const { return elements().end(); }
  const T& front() const { return elements().front(); }
  const T& operator[](std::size_t position) const { return elements()[position]; }
  T& operator[](std::size_t position) { return detach()[position]; }
  void push_back(T element) { detach().push_back(std::move(element)); }
  /// Sets whether this copy is encoded compressed if it is large: the receiver can read that.
  void set_compressible(bool compressible) { compressible_ = compressible; }

  template <typename Packer>
  void msgpack_pack(Packer& packer) const {
    if (shared_ == nullptr) {
      packer.pack_array(0);
      return;
    }
    if (shared_->encoded.empty()) {
      shared_->encoded = common::encode(shared_->elements);
    }
    if (compressible_ && shared_->encoded.size() >= kLeastCompressedBytes) {
      if (shared_->compressed.empty()) {
        shared_->compressed = common::compress(shared_->encoded);
      }
      packer.pack_bin(static_cast<std::uint32_t>(shared_->compressed.size()));
      packer.pack_bin_body(shared_->compressed.data(),
                           static_cast<std::uint32_t>(shared_->compressed.size()));
      return;
    }
    // pack_bin_body() copies the bytes verbatim; the cached encoding is a complete MessagePack
    // value.
    packer.pack_bin_body(shared_->encoded.data(),
                         static_cast<std::uint32_t>(shared_->encoded.size()));
  }
  void msgpack_unpack(const msgpack::object& object) {
    std::vector<T> elements = object.type == msgpack::type::BIN
                                  ? read_compressed({object.via.bin.ptr, object.via.bin.size})
                                  : object.as<std::vector<T>>();
    shared_ = std::make_shared<Shared>(Shared{std::move(elements), {}, {}});
  }

 private:
  struct Shared {
    std::vector<T> elements;
    std::string encoded;     ///< empty until first needed
    std::string compressed;  ///< the same, of `encoded`
  };

  static std::vector<T> read_compressed(std::string_view bytes) {
    const auto encoded = common::decompress(bytes, kMaxListBytes);
    if (!encoded.has_value()) {
      throw msgpack::type_error();
    }
    auto elements = common::decode<std::vector<T>>(*encoded, "read compressed list", "");
    if (!elements.has_value()) {
      throw msgpack::type_error();
    }
    return std::move(*elements);
  }

  const std::vector<T>& elements() const {
    static const std::vector<T> kNone;
    return shared_ == nullptr ? kNone : shared_->elements;
  }
  /// Copies the elements, without the encoding, and returns the copy for modification.
  std::vector<T>& detach() {
    shared_ = std::make_shared<Shared>(Shared{elements(), {}, {}});
    return shared_->elements;
  }

  std::shared_ptr<Shared> shared_;
  bool compressible_ = false;
};

}  // namespace planktray::routing
