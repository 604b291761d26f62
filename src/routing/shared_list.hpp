#pragma once
/// A list that many messages carry, such as the changes of a table. One leader sends the same
/// changes to hundreds of routers: copies share them, and their encoding, which is made once. With
/// 281 routers, making updates and encoding each was 37% of a leader's decisions (11% and 26% of
/// counted instructions, the start included, 20 back ends replaced a second).

#include <cstddef>
#include <initializer_list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/codec.hpp"

namespace planktray::routing {

/// A list of T with value semantics: what is changed is copied before, if it is shared.
/// Invariant: the encoding, where there is one, is that of the elements.
template <typename T>
class SharedList {
 public:
  using const_iterator = typename std::vector<T>::const_iterator;

  SharedList() = default;
  SharedList(std::initializer_list<T> elements)
      : shared_(std::make_shared<Shared>(Shared{std::vector<T>(elements), {}})) {}
  explicit SharedList(std::vector<T> elements)
      : shared_(std::make_shared<Shared>(Shared{std::move(elements), {}})) {}

  bool empty() const { return elements().empty(); }
  std::size_t size() const { return elements().size(); }
  const_iterator begin() const { return elements().begin(); }
  const_iterator end() const { return elements().end(); }
  const T& front() const { return elements().front(); }
  const T& operator[](std::size_t position) const { return elements()[position]; }
  T& operator[](std::size_t position) { return own()[position]; }
  void push_back(T element) { own().push_back(std::move(element)); }

  template <typename Packer>
  void msgpack_pack(Packer& packer) const {
    if (shared_ == nullptr) {
      packer.pack_array(0);
      return;
    }
    if (shared_->encoded.empty()) {
      shared_->encoded = common::encode(shared_->elements);
    }
    // The body of a text of bytes is written as it is: it is a whole MessagePack value.
    packer.pack_bin_body(shared_->encoded.data(),
                         static_cast<std::uint32_t>(shared_->encoded.size()));
  }
  void msgpack_unpack(const msgpack::object& object) {
    shared_ = std::make_shared<Shared>(Shared{object.as<std::vector<T>>(), {}});
  }

 private:
  struct Shared {
    std::vector<T> elements;
    std::string encoded;  ///< empty: not made yet
  };

  const std::vector<T>& elements() const {
    static const std::vector<T> kNone;
    return shared_ == nullptr ? kNone : shared_->elements;
  }
  /// The elements for a change: nobody else's, and without an encoding.
  std::vector<T>& own() {
    shared_ = std::make_shared<Shared>(Shared{elements(), {}});
    return shared_->elements;
  }

  std::shared_ptr<Shared> shared_;
};

}  // namespace planktray::routing
