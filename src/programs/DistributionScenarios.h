/// \file
/// The scenarios that tarragontray-experiment-distribution measures. They run
/// in virtual time, so that a seed gives the same figures on every machine.
///
///     PropagationFigures figures = MeasureChange({ .m_nodes = 40 });
///
/// Thread safety: pure functions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/Units.h"

namespace tarragontray {

/// The simulated fleet of a scenario.
struct ScenarioSettings
{
  std::size_t m_nodes = 40;
  std::size_t m_dataCentres = 4;
  std::uint64_t m_seed = 1;
  /// Fraction of the datagrams that the network drops, 0 to 1.
  double m_loss = 0;
};

/// Propagation delays of document changes and the traffic that they caused.
struct PropagationFigures
{
  /// Delay from the write of a change until a node applies it.
  Duration m_p50{ 0 };
  Duration m_p99{ 0 };
  Duration m_max{ 0 };
  /// (node, change) pairs that were not applied by the end of the scenario.
  std::size_t m_missing = 0;
  /// Mean over the nodes of the bytes sent and received per second, including
  /// UDP, TCP and IP headers.
  double m_meanBytesPerSecond = 0;
  /// The same figure for the node with the most traffic.
  double m_maxBytesPerSecond = 0;
  /// Calls to the platform per second, of all nodes together.
  double m_platformCallsPerSecond = 0;
};

/// Failure detection times and false positives.
struct DetectionFigures
{
  /// Time from killing a node until all other nodes in its data centre list it
  /// as suspect or dead; mean and maximum over the kills.
  Duration m_meanSuspected{ 0 };
  Duration m_maxSuspected{ 0 };
  /// Time until all nodes in all data centres list it as dead.
  Duration m_meanDead{ 0 };
  Duration m_maxDead{ 0 };
  /// Members that a node newly lists as dead, or as suspect, although they have
  /// been running for at least a second; per node and hour.
  double m_falseDeathsPerNodeHour = 0;
  double m_falseSuspicionsPerNodeHour = 0;
  double m_meanBytesPerSecond = 0;
};

/// No document changes.
PropagationFigures
MeasureRest(const ScenarioSettings& aSettings);
/// Single changes at intervals of 2 s.
PropagationFigures
MeasureChange(const ScenarioSettings& aSettings);
/// 100 changes within a second.
PropagationFigures
MeasureBurst(const ScenarioSettings& aSettings);
/// All nodes start at once, without any documents.
PropagationFigures
MeasureReturn(const ScenarioSettings& aSettings);
/// The baselines run the same scenarios with every node watching the platform
/// directly, without gossip.
PropagationFigures
MeasureBaselineChange(const ScenarioSettings& aSettings);
PropagationFigures
MeasureBaselineBurst(const ScenarioSettings& aSettings);
PropagationFigures
MeasureBaselineReturn(const ScenarioSettings& aSettings);
/// Kills nodes one after another while others pause at random.
/// \param aPausedShare fraction of the nodes that is paused at any time, each
///        node for 2 to 10 s.
DetectionFigures
MeasureDetection(const ScenarioSettings& aSettings, double aPausedShare);

} // namespace tarragontray
