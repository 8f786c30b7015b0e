/// \file
/// Randomized scenarios of moves with good and bad versions, each determined by
/// its kind and a seed.
///
///     ScenarioOutcome outcome =
///       RunScenario(ScenarioKind::FailsLate, 7, MakePolicy);
///
/// For tests and experiments. Thread safety: pure functions.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

#include "version/testing/MoveSession.h"

namespace tarragontray::testing {

/// The kinds of scenarios. Those with a bad version come first.
enum class ScenarioKind : std::uint8_t
{
  FailsAtOnce,
  FailsLate,
  FailsInHold,
  Slow,
  SlowUnderLoad,
  CallerErrors,
  OneRoute,
  OneDataCentre,
  BadWithLittleTraffic,
  BadInLoadPeak,
  BadWhilePlatformOut,
  BadWhileCoordinatorPaused,
  BadWithTwoCoordinators,
  BadWhilePartitioned,
  /// A bad version together with another disturbance.
  BadAndDisturbed,
  Healthy,
  OneFaultyTarget,
  LoadPeak,
  SharedFault,
  ColdStarts,
  LittleTraffic,
  PlatformOut,
  DataCentrePartitioned,
  CoordinatorPaused,
  TwoCoordinators,
  /// A good version with two disturbances.
  TwoDisturbances,
};

inline constexpr std::size_t kScenarioKinds = 26;

/// All kinds in order. Thread safety: pure function.
std::array<ScenarioKind, kScenarioKinds>
AllScenarioKinds();

/// The stable name, for example "fails-late".
std::string_view
Name(ScenarioKind aKind);

/// Whether the new version is bad and must be rolled back.
bool
IsBad(ScenarioKind aKind);

/// The session settings of a scenario, with parameters drawn from the seed.
SessionSettings
MakeScenario(ScenarioKind aKind, std::uint64_t aSeed);

/// The outcome of one scenario.
struct ScenarioOutcome
{
  ScenarioKind m_kind = ScenarioKind::Healthy;
  std::uint64_t m_seed = 0;
  /// The move had the full share at the deadline and was done at the end.
  bool m_isDoneInTime = false;
  bool m_isTakenBack = false;
  /// The fraction of all calls affected by a fault of the new version alone.
  double m_faultyFraction = 0.0;
  /// The time from the first affected call to the last call to the new version;
  /// set if the move was rolled back and there were such calls.
  std::optional<Duration> m_reaction;
  SessionResult m_result;
};

/// Runs a scenario.
ScenarioOutcome
RunScenario(ScenarioKind aKind,
            std::uint64_t aSeed,
            const PolicyFactory& aPolicy);

} // namespace tarragontray::testing
