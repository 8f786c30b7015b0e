/// A fixed set of seeded moves of every kind, with bounds from the aim.
#include <algorithm>
#include <string>

#include <criterion/criterion.h>

#include "version/SequentialMovePolicy.h"
#include "version/testing/MoveScenarios.h"

namespace tarragontray::testing {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kSeeds = 2;
/// Part of all calls that a bad version may hurt.
constexpr double kMaxFaultyFraction = 0.05;
/// The same when there is hardly any traffic to find it by.
constexpr double kMaxFaultyFractionLittleTraffic = 0.5;

ScenarioOutcome
RunWithSequentialPolicy(ScenarioKind aKind, std::uint64_t aSeed)
{
  return RunScenario(aKind, aSeed, [] {
    return SequentialMovePolicy::Create(SequentialSettings{}).value();
  });
}

} // namespace

Test(MoveRegression, EveryBadVersionIsTakenBack)
{
  for (const ScenarioKind kind : AllScenarioKinds()) {
    const double bound = kind == ScenarioKind::BadWithLittleTraffic
                           ? kMaxFaultyFractionLittleTraffic
                           : kMaxFaultyFraction;
    for (std::uint64_t seed = 1; IsBad(kind) && seed <= kSeeds; ++seed) {
      const ScenarioOutcome outcome = RunWithSequentialPolicy(kind, seed);
      const std::string name(Name(kind));
      cr_expect(outcome.m_isTakenBack, "%s %lu", name.c_str(), seed);
      cr_expect(outcome.m_faultyFraction < bound,
                "%s %lu hurt %f",
                name.c_str(),
                seed,
                outcome.m_faultyFraction);
    }
  }
}

Test(MoveRegression, EveryGoodVersionIsDoneInTime)
{
  for (const ScenarioKind kind : AllScenarioKinds()) {
    for (std::uint64_t seed = 1; !IsBad(kind) && seed <= kSeeds; ++seed) {
      const ScenarioOutcome outcome = RunWithSequentialPolicy(kind, seed);
      const std::string name(Name(kind));
      cr_expect(outcome.m_isDoneInTime,
                "%s %lu: %s",
                name.c_str(),
                seed,
                outcome.m_result.m_reason.c_str());
    }
  }
}

/// A share that rose and fell within one window: the new version had carried
/// the peak alone, and the window counted as one of equal load.
Test(MoveRegression, ALoadPeakThatHurtsBothVersionsTakesNoneBack)
{
  constexpr std::uint64_t kSeed = 47;
  const ScenarioOutcome outcome =
    RunWithSequentialPolicy(ScenarioKind::LoadPeak, kSeed);
  cr_assert(!outcome.m_isTakenBack, "%s", outcome.m_result.m_reason.c_str());
  cr_assert(outcome.m_isDoneInTime);
}

} // namespace tarragontray::testing
