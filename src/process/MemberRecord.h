/// \file
/// The membership record of one VM.
///
/// Thread safety: values.
#pragma once

#include <cstdint>
#include <string_view>

#include "base/Ids.h"
#include "base/NetworkAddress.h"
#include "base/Units.h"
#include "process/DepartedUpstreams.h"

namespace tarragontray {

/// The state of a node according to failure detection.
enum class NodeState : std::uint8_t
{
  Alive,
  Suspect,
  /// Failed or left. The record is retained for a while so that outdated
  /// records of the node lose against it.
  Dead,
};

/// The state of the upstream in a VM.
enum class UpstreamState : std::uint8_t
{
  /// No upstream has announced itself, or its announcement lapsed.
  Absent,
  /// Runs with cold caches; receives a reduced share of calls.
  Starting,
  Live,
  /// Shutting down; receives no new calls.
  Draining,
};

std::string_view
Name(NodeState aState);
std::string_view
Name(UpstreamState aState);

/// What an upstream announced to the node on its VM.
struct UpstreamAnnouncement
{
  ServiceId m_service;
  UpstreamVersion m_version;
  UpstreamState m_state = UpstreamState::Absent;
  SlotCount m_slots{ 0 };

  bool operator==(const UpstreamAnnouncement&) const = default;
};

/// One VM in the membership. Of two records of the same VM, the one with the
/// higher (incarnation, sequence) wins; if these are equal, the later node
/// state in the order of NodeState wins.
struct MemberRecord
{
  VmId m_vm;
  DataCentreId m_dataCentre;
  /// The unit within which this member gossips and shifts traffic: its data
  /// centre, or a name that several data centres share to act as one.
  DataCentreId m_cell;
  RegionId m_region;
  /// The UDP and TCP address at which other nodes reach this one.
  NetworkAddress m_peerAddress;
  Incarnation m_incarnation;
  /// Incremented with each change that the node makes to its own record.
  std::uint32_t m_sequence = 0;
  NodeState m_state = NodeState::Alive;
  UpstreamAnnouncement m_upstream;
  /// Survives the node that acknowledged them: a table that replaces a record
  /// keeps its entries; see MemberTable.
  DepartedUpstreams m_departed;

  bool operator==(const MemberRecord&) const = default;
};

} // namespace tarragontray
