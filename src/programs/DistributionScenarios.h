/// \file
/// The sessions that tarragontray-experiment-distribution measures, in virtual
/// time, so that a seed gives the same figures on every machine.
///
///     SpreadFigures figures = MeasureChange({ .m_nodes = 40 });
///
/// Thread safety: pure functions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/Units.h"

namespace tarragontray {

/// What a session runs on.
struct ScenarioSettings
{
  std::size_t m_nodes = 40;
  std::size_t m_dataCentres = 4;
  std::uint64_t m_seed = 1;
  double m_loss = 0;
};

/// How documents spread and what it cost.
struct SpreadFigures
{
  Duration m_p50{ 0 };
  Duration m_p99{ 0 };
  Duration m_max{ 0 };
  /// (node, change) pairs that were not served within the session.
  std::size_t m_missing = 0;
  /// Sent and received bytes of a node with UDP, TCP and IP headers, a second.
  double m_meanBytes = 0;
  /// Of the node with the most.
  double m_maxBytes = 0;
  double m_platformCalls = 0;
};

/// How failures are noticed.
struct DetectionFigures
{
  /// From the end of a process until every other node of its data centre
  /// counts it as suspect or dead; mean and worst over the kills.
  Duration m_meanSuspected{ 0 };
  Duration m_maxSuspected{ 0 };
  /// The same until all nodes of all data centres count it as dead.
  Duration m_meanDead{ 0 };
  Duration m_maxDead{ 0 };
  /// Members that have been running for a second and are newly held for dead,
  /// or suspected, by anyone; for each node and hour.
  double m_falseDeaths = 0;
  double m_falseSuspicions = 0;
  double m_meanBytes = 0;
};

/// Nothing changes.
SpreadFigures
MeasureRest(const ScenarioSettings& aSettings);
/// Single changes, one every 2 s.
SpreadFigures
MeasureChange(const ScenarioSettings& aSettings);
/// 100 changes within a second.
SpreadFigures
MeasureBurst(const ScenarioSettings& aSettings);
/// All nodes start at once with nothing.
SpreadFigures
MeasureReturn(const ScenarioSettings& aSettings);
/// The same with every node watching the platform.
SpreadFigures
MeasureBaselineChange(const ScenarioSettings& aSettings);
SpreadFigures
MeasureBaselineBurst(const ScenarioSettings& aSettings);
SpreadFigures
MeasureBaselineReturn(const ScenarioSettings& aSettings);
/// \param aPausedShare nodes that are paused at random, each for 2 to 10 s.
DetectionFigures
MeasureDetection(const ScenarioSettings& aSettings, double aPausedShare);

} // namespace tarragontray
