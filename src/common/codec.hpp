#pragma once
/// MessagePack encoding of typed messages. A variant is encoded as [alternative index, value].

#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <variant>

#include "common/error.hpp"

namespace planktray::common {

/// Nesting limit against hostile input; valid messages nest less than half as deep.
inline constexpr std::size_t kMaxDecodeDepth = 32;

/// Encodes a value of any type that MessagePack supports.
template <typename T>
std::string encode(const T& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return std::string(buffer.data(), buffer.size());
}

/// Decodes one value that must occupy all of `bytes`.
/// @param step, peer reported in the error.
/// @return the value, or kCorrupt for damaged, truncated or oversized input.
template <typename T>
Result<T> decode(std::string_view bytes, std::string_view step, std::string_view peer) {
  try {
    // No container or string has more elements than the input has bytes. The limit keeps a short
    // message with a false length from reserving excessive memory.
    const std::size_t max_size = bytes.size();
    const msgpack::unpack_limit limit(max_size, max_size, max_size, max_size, max_size,
                                      kMaxDecodeDepth);
    std::size_t offset = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
    if (offset != bytes.size()) {
      return fail(ErrorCode::kCorrupt, std::string(step), std::string(peer), "trailing bytes");
    }
    T value{};
    handle.get().convert(value);
    return value;
  } catch (const std::exception& error) {
    return fail(ErrorCode::kCorrupt, std::string(step), std::string(peer), error.what());
  }
}

/// A variant with a MessagePack encoding. Messages and commands use it.
template <typename... Alternatives>
struct EncodedVariant {
  std::variant<Alternatives...> value;

  EncodedVariant() = default;
  template <typename T>
  requires(std::is_same_v<T, Alternatives> || ...) EncodedVariant(T alternative)
      : value(std::move(alternative)) {}  // NOLINT: implicit by design

  template <typename Packer>
  void msgpack_pack(Packer& packer) const {
    packer.pack_array(2);
    packer.pack(static_cast<std::uint32_t>(value.index()));
    std::visit([&packer](const auto& alternative) { packer.pack(alternative); }, value);
  }
  void msgpack_unpack(const msgpack::object& object) {
    if (object.type != msgpack::type::ARRAY || object.via.array.size != 2) {
      throw msgpack::type_error();
    }
    const auto index = object.via.array.ptr[0].as<std::uint32_t>();
    const bool is_known = assign<0>(index, object.via.array.ptr[1]);
    if (!is_known) {
      throw msgpack::type_error();
    }
  }

 private:
  template <std::size_t kPosition>
  bool assign(std::uint32_t index, const msgpack::object& object) {
    if constexpr (kPosition < sizeof...(Alternatives)) {
      if (index != kPosition) {
        return assign<kPosition + 1>(index, object);
      }
      value = object.as<std::variant_alternative_t<kPosition, std::variant<Alternatives...>>>();
      return true;
    }
    return false;
  }
};

/// Overload set of several lambdas, for std::visit.
template <typename... Functions>
struct Overloaded : Functions... {
  using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

}  // namespace planktray::common
