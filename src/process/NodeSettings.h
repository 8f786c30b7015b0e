/// \file
/// The settings of tarragontray-node.
///
/// Thread safety: values.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/NetworkAddress.h"
#include "base/Units.h"
#include "process/AccountRules.h"
#include "process/FreshnessLease.h"
#include "process/Gossip.h"
#include "process/Settings.h"
#include "request/ColdUpstream.h"
#include "request/RetryBudget.h"
#include "version/Moves.h"

namespace tarragontray {

/// Limits of what callers can make a node keep; see process/CallerBudget.h.
struct NodeCallerSettings
{
  /// For all listeners together.
  ByteCount m_memory;
  /// Connections to the front listeners; 0: as the descriptors allow.
  std::size_t m_connections = 0;
  std::size_t m_headerFields = 0;
  /// For the requests and answers of one connection.
  ByteCount m_pipelined;
};

/// The settings of a node; fixed for the life of the process.
struct NodeSettings
{
  VmId m_vm;
  DataCentreId m_dataCentre;
  /// Name shared by data centres that act as one for gossip and moves. Empty:
  /// this VM's data centre alone.
  DataCentreId m_cell;
  RegionId m_region;
  /// The service of this VM's upstream; empty when unknown.
  ServiceName m_service;
  /// Listens for callers' HTTP.
  NetworkAddress m_frontAddress;
  /// Listens for other nodes, by UDP and TCP.
  NetworkAddress m_peerAddress;
  /// Listens for HTTP from operators and this VM's upstream; at least one.
  std::vector<NetworkAddress> m_adminAddresses;
  /// Addresses of the platform, in order of preference.
  std::vector<NetworkAddress> m_platform;
  /// Peer addresses of nodes through which this node joins.
  std::vector<NetworkAddress> m_seeds;
  std::uint32_t m_frontThreads = 1;
  /// Longest wait for running calls after the leave notice.
  Duration m_drainLimit{ 0 };
  /// How long the node keeps serving after a stop is requested, so that callers
  /// and peers can switch to other nodes.
  Duration m_leaveNotice{ 0 };
  /// An upstream that has not announced itself for this long counts as absent.
  Duration m_announcementLapse{ 0 };
  /// Whether nodes find each other by registering with the platform.
  bool m_isRegistered = false;
  DepartureHistory m_departureHistory = DepartureHistory::Peers;
  /// How long one watch request to the platform waits for a change.
  Duration m_watchWait{ 0 };
  /// Delay from a change to the next watch request.
  Duration m_watchRest{ 0 };
  /// Key prefixes watched at the platform. Empty: configurations only.
  std::vector<WatchedPrefix> m_prefixes;
  GossipSettings m_gossip;
  MovesSettings m_moves;
  /// Whether moves take seconds rather than minutes.
  bool m_hasBriefMoves = false;
  /// Admits calls by their objectives instead of by fair shares of accounts.
  bool m_admitsByObjective = false;
  RetryBudgetSettings m_retries;
  /// Limits the calls to an upstream that is or may be cold; not set: no limit.
  std::optional<ColdAllowance> m_cold;
  FreshnessSettings m_freshness;
  RateSettings m_rates;
  NodeCallerSettings m_callers;
  /// "debug", "info", "warning" or "error".
  std::string m_logLevel;
};

/// Returns a parser with all settings of tarragontray-node declared.
SettingsParser
NodeSettingsParser();

/// Converts parsed settings. Precondition: aSettings was parsed by
/// NodeSettingsParser.
NodeSettings
ReadNodeSettings(const Settings& aSettings);

} // namespace tarragontray
