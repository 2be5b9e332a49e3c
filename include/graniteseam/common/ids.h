/// @file
/// Identifiers shared by all components. Each is a distinct type, so that a shard number cannot be
/// passed in place of a term.
#pragma once

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace graniteseam {

/// A numeric identifier. `Tag` makes each use a distinct type.
template <class Tag>
struct NumericId {
  std::uint64_t value = 0;

  constexpr auto operator<=>(const NumericId&) const = default;
  constexpr NumericId Next() const { return NumericId{value + 1}; }
};

/// A textual identifier. `Tag` makes each use a distinct type.
template <class Tag>
struct NameId {
  std::string value;

  auto operator<=>(const NameId&) const = default;
  bool Empty() const { return value.empty(); }
};

/// A control process: the consensus member's stable id from its settings. Never 0.
using ControlId = NumericId<struct ControlIdTag>;
/// Identifies one initialisation of a control process's data folder; generated when the folder is
/// initialised.
using DiskIncarnation = NumericId<struct DiskIncarnationTag>;
/// A consensus term (Raft, Ongaro and Ousterhout 2014, section 5.1).
using Term = NumericId<struct TermTag>;
/// A position in the replicated log; the first entry has index 1.
using LogIndex = NumericId<struct LogIndexTag>;
/// A fencing epoch of one shard; strictly increases with each assignment, starts at 1.
using Epoch = NumericId<struct EpochTag>;
/// Identifies one start of a server process; different for every start.
using Incarnation = NumericId<struct IncarnationTag>;
/// The version number of a bundle, chosen by its author, greater than 0.
using BundleVersion = NumericId<struct BundleVersionTag>;

/// A back-end server: the stable name of the machine's server from its settings.
using ServerId = NameId<struct ServerIdTag>;
/// A router process.
using RouterId = NameId<struct RouterIdTag>;
/// A service named in the bundle, for example "transcripts".
using ServiceName = NameId<struct ServiceNameTag>;
/// A group named in the bundle, for example "carrier-a".
using GroupName = NameId<struct GroupNameTag>;
/// A zone, for example "istanbul-1".
using ZoneName = NameId<struct ZoneNameTag>;
/// A caller's operation id: a time-ordered UUID (RFC 9562, version 7) in canonical lower-case text.
using OperationId = NameId<struct OperationIdTag>;

/// One shard of a keyed service: key hash modulo the service's shard count.
struct ShardId {
  ServiceName service;
  std::uint32_t index = 0;

  auto operator<=>(const ShardId&) const = default;
};
BOOST_DESCRIBE_STRUCT(ShardId, (), (service, index))

}  // namespace graniteseam

template <class Tag>
struct std::hash<graniteseam::NumericId<Tag>> {
  std::size_t operator()(const graniteseam::NumericId<Tag>& id) const noexcept {
    return std::hash<std::uint64_t>()(id.value);
  }
};

template <class Tag>
struct std::hash<graniteseam::NameId<Tag>> {
  std::size_t operator()(const graniteseam::NameId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value);
  }
};

template <>
struct std::hash<graniteseam::ShardId> {
  std::size_t operator()(const graniteseam::ShardId& shard) const noexcept {
    constexpr std::size_t kMixer = 0x9e3779b97f4a7c15ULL;
    return std::hash<std::string>()(shard.service.value) ^ (shard.index * kMixer);
  }
};
