#include "version/SlowCallTest.h"

#include <criterion/criterion.h>

namespace tarragontray {

namespace {

/// Calls whose latencies spread over a factor of about ten.
LatencyCounts
Usual(double aCalls)
{
  constexpr std::array<double, 8> kShares{ 0.05, 0.12, 0.18, 0.2,
                                           0.18, 0.14, 0.08, 0.05 };
  LatencyCounts counts{};
  for (std::size_t i = 0; i < kShares.size(); ++i) {
    counts[14 + i] = aCalls * kShares[i];
  }
  return counts;
}

/// Makes a fraction of the calls slower by aBuckets buckets.
LatencyCounts
Slower(const LatencyCounts& aCounts, std::size_t aBuckets, double aFraction)
{
  LatencyCounts counts{};
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    counts[i] += (1 - aFraction) * aCounts[i];
    if (i + aBuckets < kLatencyBuckets) {
      counts[i + aBuckets] += aFraction * aCounts[i];
    }
  }
  return counts;
}

constexpr double kDecisive = 8.0;

} // namespace

Test(SlowCallTest, DetectsAFractionOfSlowCalls)
{
  const SlowCallTest test(Usual(400));
  const LatencyCounts target = Slower(Usual(25), 6, 0.3);
  cr_assert_gt(test.Score({ target, target, target }), kDecisive);
}

Test(SlowCallTest, IgnoresTargetsOfAnotherSpeed)
{
  const SlowCallTest test(Usual(400));
  cr_assert_lt(test.Score({ Usual(50), Slower(Usual(50), 2, 1.0), Usual(50) }),
               kDecisive / 2);
}

Test(SlowCallTest, IgnoresASingleSlowTarget)
{
  const SlowCallTest test(Usual(400));
  cr_assert_lt(test.Score({ Usual(50), Slower(Usual(50), 6, 1.0), Usual(50) }),
               0);
}

Test(SlowCallTest, ScoresTheReferenceItselfBelowZero)
{
  const SlowCallTest test(Usual(400));
  cr_assert_lt(test.Score({ Usual(40), Usual(40), Usual(40) }), 0);
}

} // namespace tarragontray
