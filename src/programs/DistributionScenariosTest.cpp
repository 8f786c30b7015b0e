/// \file
/// Checks the figures of small scenarios against the targets: a change is in
/// force on all nodes within 4 s, and control traffic stays below 3 kB/s per
/// node. The scenarios are deterministic, so that the figures are exact.
#include "programs/DistributionScenarios.h"

#include <criterion/criterion.h>

namespace tarragontray {

namespace {

constexpr Duration kInForce = std::chrono::seconds(4);
constexpr double kControlBytes = 3000;
const std::vector<std::size_t> kSizes = { 10, 40, 80 };

} // namespace

Test(DistributionBounds, NodesAtRestStayWithinTheBudget)
{
  for (const std::size_t nodes : kSizes) {
    const SpreadFigures figures = MeasureRest({ .m_nodes = nodes });
    cr_assert_lt(figures.m_maxBytes, kControlBytes);
  }
}

Test(DistributionBounds, OneChangeIsInForceInTimeAndWithinTheBudget)
{
  for (const double loss : { 0.0, 0.05 }) {
    for (const std::size_t nodes : kSizes) {
      const ScenarioSettings settings{ .m_nodes = nodes, .m_loss = loss };
      const SpreadFigures figures = MeasureChange(settings);
      cr_assert_eq(figures.m_missing, 0);
      cr_assert_lt(figures.m_max.count(), kInForce.count());
      cr_assert_lt(figures.m_maxBytes, kControlBytes);
    }
  }
}

Test(DistributionBounds, BurstIsInForceInTime)
{
  const SpreadFigures figures = MeasureBurst({ .m_nodes = 40 });
  cr_assert_eq(figures.m_missing, 0);
  cr_assert_lt(figures.m_max.count(), kInForce.count());
}

Test(DistributionBounds, ReturningNodesCatchUpInTime)
{
  for (const std::size_t nodes : kSizes) {
    const SpreadFigures figures = MeasureReturn({ .m_nodes = nodes });
    cr_assert_eq(figures.m_missing, 0);
    cr_assert_lt(figures.m_max.count(), kInForce.count());
  }
}

Test(DistributionBounds, PlatformCallsDoNotGrowWithTheFleet)
{
  const SpreadFigures small = MeasureChange({ .m_nodes = 20 });
  const SpreadFigures large = MeasureChange({ .m_nodes = 80 });
  cr_assert_lt(large.m_platformCalls, 1.2 * small.m_platformCalls);
  const SpreadFigures baseline = MeasureBaselineChange({ .m_nodes = 80 });
  cr_assert_lt(large.m_platformCalls, baseline.m_platformCalls / 4);
}

Test(DistributionBounds, LossCausesNoFalseDeaths)
{
  for (const double loss : { 0.0, 0.05 }) {
    const DetectionFigures figures =
      MeasureDetection({ .m_nodes = 40, .m_loss = loss }, 0);
    cr_assert_eq(figures.m_falseDeaths, 0);
    cr_assert_lt(figures.m_meanBytes, kControlBytes);
  }
}

} // namespace tarragontray
