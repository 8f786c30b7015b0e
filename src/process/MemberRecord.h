/// \file
/// What the membership knows of one VM.
///
/// Thread safety: values.
#pragma once

#include <cstdint>
#include <string_view>

#include "base/Ids.h"
#include "base/NetworkAddress.h"
#include "base/Units.h"

namespace tarragontray {

/// The state of a node as its peers see it.
enum class NodeState : std::uint8_t
{
  Alive,
  Suspect,
  /// Failed or left; kept for a while so that old rumours lose.
  Dead,
};

/// The state of the upstream in a VM.
enum class UpstreamState : std::uint8_t
{
  /// None has announced itself, or its announcement lapsed.
  Absent,
  /// Runs but is cold: gets little work.
  Starting,
  Live,
  /// Leaves: gets no new work.
  Draining,
};

std::string_view
Name(NodeState aState);
std::string_view
Name(UpstreamState aState);

/// What an upstream announced to the node of its VM.
struct UpstreamAnnouncement
{
  ServiceId m_service;
  UpstreamVersion m_version;
  UpstreamState m_state = UpstreamState::Absent;
  SlotCount m_slots{ 0 };

  bool operator==(const UpstreamAnnouncement&) const = default;
};

/// One VM in the membership. Of two records of one VM the one with the higher
/// (incarnation, sequence) wins; at equal ones the graver node state wins.
struct MemberRecord
{
  VmId m_vm;
  DataCentreId m_dataCentre;
  /// The name under which this member gossips and moves traffic: its data
  /// centre's, or one for several data centres that act as one.
  DataCentreId m_cell;
  RegionId m_region;
  /// The UDP and TCP address for other nodes.
  NetworkAddress m_peerAddress;
  Incarnation m_incarnation;
  /// Rises with each change that the node itself makes to its record.
  std::uint32_t m_sequence = 0;
  NodeState m_state = NodeState::Alive;
  UpstreamAnnouncement m_upstream;

  bool operator==(const MemberRecord&) const = default;
};

} // namespace tarragontray
