/// \file
/// The immutable view that the control thread publishes to traffic threads.
///
/// Control makes a new View when a configuration, the membership or a move's
/// share changes, and posts it to each traffic thread as
/// shared_ptr<const View>. Traffic reads it without locks.
///
/// Thread safety: immutable; concurrent reads are safe.
#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "base/Ids.h"
#include "base/NetworkAddress.h"
#include "base/Units.h"
#include "process/MemberRecord.h"
#include "version/Configuration.h"
#include "version/VersionSplit.h"

namespace tarragontray {

class KeyPlacement;

/// A VM whose upstream may get work.
struct Target
{
  VmId m_vm;
  DataCentreId m_dataCentre;
  RegionId m_region;
  NetworkAddress m_peerAddress;
  UpstreamVersion m_version;
  /// Starting or Live.
  UpstreamState m_state = UpstreamState::Live;
  SlotCount m_slots{ 0 };
  /// The node's incarnation as this view knows it; goes with a question about
  /// a lost operation, so that a restarted node doesn't vouch for its former
  /// life.
  Incarnation m_incarnation;
  /// Since when this node knows this life of the target (request/TargetAges.h);
  /// unset means for long.
  MonotonicTime m_knownSince{};

  bool operator==(const Target&) const = default;
};

/// A service with the targets that may get work.
struct ServiceView
{
  ServiceId m_id;
  VersionSplit m_split;
  /// This node's subset of the targets, from SelectSubset (request/Subset.h).
  std::vector<Target> m_targets;
  /// Where callers' idempotency keys live, over all targets of the service;
  /// the same on every node of the same view. Null: no calls are placed.
  std::shared_ptr<const KeyPlacement> m_keys;
};

/// Everything a traffic thread needs to serve a call.
struct View
{
  /// Nodes that are not dead, this one among them.
  std::size_t m_nodes = 1;
  std::unordered_map<ClientAccountId, std::shared_ptr<const Configuration>>
    m_configurations;
  std::unordered_map<ServiceId, ServiceView> m_services;
};

} // namespace tarragontray
