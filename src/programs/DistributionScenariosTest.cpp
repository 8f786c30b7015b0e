/// \file
/// Checks the figures of small scenarios against the targets: a change is in
/// force on all nodes within 4 s, and control traffic stays below 3 kB/s per
/// node. The scenarios are deterministic, so that the figures are exact.
#include "programs/DistributionScenarios.h"

#include <criterion/criterion.h>

namespace tarragontray {

namespace {

constexpr Duration kMaxDelay = std::chrono::seconds(4);
constexpr double kMaxBytesPerSecond = 3000;
const std::vector<std::size_t> kSizes = { 10, 40, 80 };

} // namespace

Test(DistributionBounds, NodesAtRestStayWithinTheBudget)
{
  for (const std::size_t nodes : kSizes) {
    const PropagationFigures figures = MeasureRest({ .m_nodes = nodes });
    cr_assert_lt(figures.m_maxBytesPerSecond, kMaxBytesPerSecond);
  }
}

Test(DistributionBounds, OneChangeIsInForceInTimeAndWithinTheBudget)
{
  for (const double loss : { 0.0, 0.05 }) {
    for (const std::size_t nodes : kSizes) {
      const ScenarioSettings settings{ .m_nodes = nodes, .m_loss = loss };
      const PropagationFigures figures = MeasureChange(settings);
      cr_assert_eq(figures.m_missing, 0);
      cr_assert_lt(figures.m_max.count(), kMaxDelay.count());
      cr_assert_lt(figures.m_maxBytesPerSecond, kMaxBytesPerSecond);
    }
  }
}

Test(DistributionBounds, BurstIsInForceInTime)
{
  const PropagationFigures figures = MeasureBurst({ .m_nodes = 40 });
  cr_assert_eq(figures.m_missing, 0);
  cr_assert_lt(figures.m_max.count(), kMaxDelay.count());
}

Test(DistributionBounds, ReturningNodesCatchUpInTime)
{
  for (const std::size_t nodes : kSizes) {
    const PropagationFigures figures = MeasureReturn({ .m_nodes = nodes });
    cr_assert_eq(figures.m_missing, 0);
    cr_assert_lt(figures.m_max.count(), kMaxDelay.count());
  }
}

Test(DistributionBounds, PlatformCallsDoNotGrowWithTheFleet)
{
  const PropagationFigures small = MeasureChange({ .m_nodes = 20 });
  const PropagationFigures large = MeasureChange({ .m_nodes = 80 });
  cr_assert_lt(large.m_platformCallsPerSecond,
               1.2 * small.m_platformCallsPerSecond);
  const PropagationFigures baseline = MeasureBaselineChange({ .m_nodes = 80 });
  cr_assert_lt(large.m_platformCallsPerSecond,
               baseline.m_platformCallsPerSecond / 4);
}

Test(DistributionBounds, LossCausesNoFalseDeaths)
{
  for (const double loss : { 0.0, 0.05 }) {
    const DetectionFigures figures =
      MeasureDetection({ .m_nodes = 40, .m_loss = loss }, 0);
    cr_assert_eq(figures.m_falseDeathsPerNodeHour, 0);
    cr_assert_lt(figures.m_meanBytesPerSecond, kMaxBytesPerSecond);
  }
}

} // namespace tarragontray
