#pragma once
/// Strong identifier types. Each wraps one value, is compared by the value, and is encoded as the
/// bare value.

#include <compare>
#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <ostream>
#include <string>
#include <utility>

namespace planktray::common {

/// An identifier that wraps a `Rep`. `Tag` gives each kind of identifier a type of its own.
template <typename Tag, typename Rep>
struct StrongId {
  Rep value{};

  StrongId() = default;
  explicit StrongId(Rep initial) : value(std::move(initial)) {}
  auto operator<=>(const StrongId&) const = default;

  template <typename Packer>
  void msgpack_pack(Packer& packer) const {
    packer.pack(value);
  }
  void msgpack_unpack(const msgpack::object& object) { object.convert(value); }
  friend std::ostream& operator<<(std::ostream& out, const StrongId& id) { return out << id.value; }
};

/// Identity of one controller data folder. A new folder is a new replica.
using ReplicaId = StrongId<struct ReplicaTag, std::uint64_t>;
/// Election term of the replicated log.
using Term = StrongId<struct TermTag, std::uint64_t>;
/// Position in the replicated log; the first entry has index 1.
using LogIndex = StrongId<struct LogIndexTag, std::uint64_t>;
/// Fencing token of a shard assignment: the log index of the entry that created it.
using Epoch = StrongId<struct EpochTag, std::uint64_t>;
/// A registered incarnation of a back end: the log index of its registration entry. 0: none.
using BackendId = StrongId<struct BackendTag, std::uint64_t>;
/// A service of a tenant within one cell. 0: none.
using ServiceId = StrongId<struct ServiceIdTag, std::uint64_t>;
/// Number of a shard within its service, from 0.
using ShardNumber = StrongId<struct ShardTag, std::uint32_t>;
/// Revision of a template or tenant. The first is 1; 0: none exists yet.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;

using CellName = StrongId<struct CellTag, std::string>;
using MachineName = StrongId<struct MachineTag, std::string>;
using ZoneName = StrongId<struct ZoneTag, std::string>;
using PoolName = StrongId<struct PoolTag, std::string>;
using TenantName = StrongId<struct TenantTag, std::string>;
using TemplateName = StrongId<struct TemplateTag, std::string>;
using ServiceName = StrongId<struct ServiceNameTag, std::string>;
using RouterName = StrongId<struct RouterTag, std::string>;
/// Identity that a back end process generates at startup.
using Incarnation = StrongId<struct IncarnationTag, std::string>;
/// Identity that an operator assigns to a change; identifies a resend.
using ChangeId = StrongId<struct ChangeTag, std::string>;
/// Identity of a caller's request.
using RequestId = StrongId<struct RequestTag, std::string>;

/// Name of a service as used by operators and callers.
struct ServiceKey {
  TenantName tenant;
  ServiceName service;
  auto operator<=>(const ServiceKey&) const = default;
  MSGPACK_DEFINE_ARRAY(tenant, service)
};

/// One shard of one service.
struct ShardRef {
  ServiceId service;
  ShardNumber shard;
  auto operator<=>(const ShardRef&) const = default;
  MSGPACK_DEFINE_ARRAY(service, shard)
};

}  // namespace planktray::common

template <typename Tag, typename Rep>
struct std::hash<planktray::common::StrongId<Tag, Rep>> {
  std::size_t operator()(const planktray::common::StrongId<Tag, Rep>& id) const noexcept {
    return std::hash<Rep>{}(id.value);
  }
};
