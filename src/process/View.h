/// \file
/// An immutable snapshot of configurations and targets that the control thread
/// publishes to traffic threads.
///
/// The control thread builds a new View when a configuration, the membership or
/// a move's share changes, and posts it to each traffic thread as
/// shared_ptr<const View>. Traffic threads read it without locks.
///
/// Thread safety: immutable; concurrent reads are safe.
#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "base/Ids.h"
#include "base/NetworkAddress.h"
#include "base/Units.h"
#include "process/AccountRules.h"
#include "process/MemberRecord.h"
#include "version/Configuration.h"
#include "version/VersionSplit.h"

namespace tarragontray {

class KeyPlacement;

/// A VM whose upstream may receive calls.
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
  /// The node's incarnation at the time of this view. A query about a lost
  /// operation carries it, so that a restarted node does not answer for its
  /// previous process.
  Incarnation m_incarnation;
  /// When this node first saw this incarnation of the target
  /// (request/TargetAges.h); the epoch when that was long ago.
  MonotonicTime m_knownSince{};

  bool operator==(const Target&) const = default;
};

/// A service with the targets that may receive its calls.
struct ServiceView
{
  ServiceId m_id;
  VersionSplit m_split;
  /// This node's subset of the targets, from SelectSubset (request/Subset.h).
  std::vector<Target> m_targets;
  /// Assigns callers' idempotency keys to home targets, over all targets of the
  /// service. Nodes with the same targets compute the same placement. When
  /// null, calls are not placed by key.
  std::shared_ptr<const KeyPlacement> m_keys;
};

/// A node and where its guard listens.
struct AccountPeer
{
  VmId m_vm;
  NetworkAddress m_address;
};

/// The configuration with accounts, and the nodes that take part in checking
/// its freshness and its rates. A deployment has one such configuration.
struct AccountsView
{
  ClientAccountId m_owner;
  /// The newest version that this node uses or has rejected.
  Revision m_revision;
  AccountRates m_rates;
  /// The possible coordinators of this node's data centre, by rank.
  std::vector<AccountPeer> m_coordinators;
  /// The nodes that read the store's revision, by rank.
  std::vector<AccountPeer> m_readers;
  /// The first coordinator of each other data centre.
  std::vector<AccountPeer> m_otherCoordinators;
  /// Nodes of all data centres, dead ones that are still remembered included.
  std::size_t m_knownNodes = 1;
  std::size_t m_dataCentres = 1;
};

/// Everything a traffic thread needs to serve a call.
struct View
{
  /// Number of nodes that are not dead, including this one.
  std::size_t m_nodes = 1;
  std::unordered_map<ClientAccountId, std::shared_ptr<const Configuration>>
    m_configurations;
  std::unordered_map<ServiceId, ServiceView> m_services;
  /// Null without accounts.
  std::shared_ptr<const AccountsView> m_accounts;
};

} // namespace tarragontray
