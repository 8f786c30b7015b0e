/// \file
/// Randomized scenarios of moves that last seconds, at the scale of a small
/// deployment, each determined by its kind and a seed.
///
///     BriefOutcome outcome = RunBriefScenario(BriefKind::Slow, 7, MakePolicy);
///
/// For tests and experiments. Thread safety: pure functions.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "version/testing/MoveSession.h"

namespace tarragontray::testing {

/// The kinds of scenarios. Those with a bad version come first.
enum class BriefKind : std::uint8_t
{
  /// A fraction of the calls fails.
  Fails,
  /// A fraction of the calls is several times slower.
  Slow,
  FailsUnderLoad,
  SlowUnderLoad,
  FailsOnOneRoute,
  FailsLate,
  /// Bad while calls to both versions fail or are slow.
  BadAndSharedFault,
  BadInLoadPeak,
  BadWhileCoordinatorCut,
  Healthy,
  FaultyTargets,
  SlowTargets,
  SharedFault,
  SharedSlowness,
  LoadPeak,
  CoordinatorCut,
};

inline constexpr std::size_t kBriefKinds = 16;

/// All kinds in order. Thread safety: pure function.
std::array<BriefKind, kBriefKinds>
AllBriefKinds();

/// The stable name, for example "fails-late".
std::string_view
Name(BriefKind aKind);

/// Whether the new version is bad and must be rolled back.
bool
IsBad(BriefKind aKind);

/// The session settings of a scenario, with parameters drawn from the seed.
SessionSettings
MakeBriefScenario(BriefKind aKind, std::uint64_t aSeed);

/// The outcome of one scenario.
struct BriefOutcome
{
  bool m_isDone = false;
  bool m_isTakenBack = false;
  /// The calls to the new version as a fraction of the calls between the start
  /// and the deadline.
  double m_exposure = 0.0;
  /// Whether the calls to the new version exceed a tenth of the calls between
  /// the start and the deadline by more than 50.
  bool m_isOverexposed = false;
  SessionResult m_result;
};

/// Runs a scenario.
BriefOutcome
RunBriefScenario(BriefKind aKind,
                 std::uint64_t aSeed,
                 const PolicyFactory& aPolicy);

} // namespace tarragontray::testing
