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
#include "process/Settings.h"

namespace tarragontray {

/// All that a node is told at its start.
struct NodeSettings
{
  VmId m_vm;
  DataCentreId m_dataCentre;
  RegionId m_region;
  /// Callers' HTTP.
  NetworkAddress m_frontAddress;
  /// UDP and TCP for other nodes.
  NetworkAddress m_peerAddress;
  /// The operators' and the own upstream's HTTP.
  NetworkAddress m_adminAddress;
  std::vector<NetworkAddress> m_platform;
  std::vector<NetworkAddress> m_seeds;
  std::uint32_t m_frontThreads = 1;
  Duration m_drainLimit{ 0 };
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
