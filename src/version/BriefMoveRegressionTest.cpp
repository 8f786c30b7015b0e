/// Runs scenarios of moves that last seconds with fixed seeds.
#include <criterion/criterion.h>

#include "version/BriefMovePolicy.h"
#include "version/testing/BriefScenarios.h"

namespace tarragontray::testing {

namespace {

constexpr std::uint64_t kSeeds = 4;

BriefOutcome
RunWithBriefPolicy(BriefKind aKind, std::uint64_t aSeed)
{
  return RunBriefScenario(aKind, aSeed, [] {
    return BriefMovePolicy::Create(BriefMoveSettings{}).value();
  });
}

void
ExpectLimitedExposure(BriefKind aKind)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const BriefOutcome outcome = RunWithBriefPolicy(aKind, seed);
    cr_expect(!outcome.m_isOverexposed && outcome.m_isTakenBack,
              "seed %lu: %.1f %% of the calls",
              seed,
              100.0 * outcome.m_exposure);
  }
}

void
ExpectCompletion(BriefKind aKind)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const BriefOutcome outcome = RunWithBriefPolicy(aKind, seed);
    cr_expect(outcome.m_isDone,
              "seed %lu: %s",
              seed,
              outcome.m_result.m_reason.c_str());
  }
}

} // namespace

Test(BriefMoveRegression, SlowVersionReachesTooManyCalls)
{
  ExpectLimitedExposure(BriefKind::Slow);
}

Test(BriefMoveRegression, VersionFailingUnderLoadReachesTooManyCalls)
{
  ExpectLimitedExposure(BriefKind::FailsUnderLoad);
}

/// Guards against a version whose fault shows late, on several routes, and only
/// in part of its calls under load.
Test(BriefMoveRegression, MildFaultUnderLoadReachesTooManyCalls)
{
  for (const std::uint64_t seed : { 21, 24 }) {
    const BriefOutcome outcome =
      RunWithBriefPolicy(BriefKind::FailsUnderLoad, seed);
    cr_expect(!outcome.m_isOverexposed && outcome.m_isTakenBack,
              "seed %lu: %.1f %% of the calls",
              seed,
              100.0 * outcome.m_exposure);
  }
}

Test(BriefMoveRegression, CutOffCoordinatorCompletesBadVersion)
{
  ExpectLimitedExposure(BriefKind::BadWhileCoordinatorCut);
}

Test(BriefMoveRegression, BadVersionInLoadPeakReachesTooManyCalls)
{
  ExpectLimitedExposure(BriefKind::BadInLoadPeak);
}

Test(BriefMoveRegression, GoodVersionsAreCompleted)
{
  ExpectCompletion(BriefKind::Healthy);
  ExpectCompletion(BriefKind::FaultyTargets);
  ExpectCompletion(BriefKind::SlowTargets);
  ExpectCompletion(BriefKind::SharedSlowness);
  ExpectCompletion(BriefKind::LoadPeak);
  ExpectCompletion(BriefKind::CoordinatorCut);
}

} // namespace tarragontray::testing
