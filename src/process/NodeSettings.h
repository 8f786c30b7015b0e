/// \file
/// The settings of tarragontray-node.
///
/// Thread safety: values.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/NetworkAddress.h"
#include "base/Units.h"
#include "process/Gossip.h"
#include "process/Settings.h"
#include "request/RetryBudget.h"
#include "version/Moves.h"

namespace tarragontray {

/// All that a node is told at its start.
struct NodeSettings
{
  VmId m_vm;
  DataCentreId m_dataCentre;
  /// The data centres that act as one for gossip and moves; empty: the own
  /// one alone.
  DataCentreId m_cell;
  RegionId m_region;
  /// The service of this VM; empty when unknown.
  ServiceName m_service;
  /// Callers' HTTP.
  NetworkAddress m_frontAddress;
  /// UDP and TCP for other nodes.
  NetworkAddress m_peerAddress;
  /// The operators' and the own upstream's HTTP; at least one.
  std::vector<NetworkAddress> m_adminAddresses;
  std::vector<NetworkAddress> m_platform;
  std::vector<NetworkAddress> m_seeds;
  std::uint32_t m_frontThreads = 1;
  Duration m_drainLimit{ 0 };
  /// Callers and peers get this long to hear that the node leaves, while it
  /// still answers.
  Duration m_leaveNotice{ 0 };
  /// An upstream that is silent for so long counts as absent.
  Duration m_announcementLapse{ 0 };
  /// Nodes find each other through the platform.
  bool m_isRegistered = false;
  Duration m_watchWait{ 0 };
  /// From a change to the next watch.
  Duration m_watchRest{ 0 };
  /// Keys that the platform is watched for; empty: configurations.
  std::vector<WatchedPrefix> m_prefixes;
  GossipSettings m_gossip;
  MovesSettings m_moves;
  bool m_hasBriefMoves = false;
  bool m_admitsByObjective = false;
  RetryBudgetSettings m_retries;
  std::string m_logLevel;
};

/// The parser of the node's flags.
SettingsParser
NodeSettingsParser();

/// Reads checked settings. Precondition: aSettings comes from
/// NodeSettingsParser.
NodeSettings
ReadNodeSettings(const Settings& aSettings);

} // namespace tarragontray
