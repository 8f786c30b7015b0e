/// \file
/// Kinds of good and bad moves, each drawn from a seed.
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

/// What happens in a move. Bad kinds come first.
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
  /// A bad version and a disturbance of another kind.
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
  /// Two disturbances of a good version.
  TwoDisturbances,
};

inline constexpr std::size_t kScenarioKinds = 26;

/// All kinds in order. Thread safety: pure function.
std::array<ScenarioKind, kScenarioKinds>
AllScenarioKinds();

/// The stable name, for example "fails-late".
std::string_view
Name(ScenarioKind aKind);

/// Whether the new version is bad and must be taken back.
bool
IsBad(ScenarioKind aKind);

/// The script of a kind with what varies drawn from the seed.
SessionSettings
MakeScenario(ScenarioKind aKind, std::uint64_t aSeed);

/// What one scenario came to.
struct ScenarioOutcome
{
  ScenarioKind m_kind = ScenarioKind::Healthy;
  std::uint64_t m_seed = 0;
  /// Whole at the deadline and done at the end.
  bool m_isDoneInTime = false;
  bool m_isTakenBack = false;
  /// Calls that the new version's own fault made worse, as a part of all.
  double m_faultyFraction = 0.0;
  /// From the first of them to the last call to the new version; set when it
  /// was taken back after it showed itself.
  std::optional<Duration> m_reaction;
  SessionResult m_result;
};

/// Plays a scenario.
ScenarioOutcome
RunScenario(ScenarioKind aKind,
            std::uint64_t aSeed,
            const PolicyFactory& aPolicy);

} // namespace tarragontray::testing
