#include "version/SlowCallTest.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace tarragontray {

namespace {

/// The fraction of the reference distribution that is spread evenly over all
/// buckets, so that a latency never seen before is unlikely but not impossible.
constexpr double kUniformFraction = 0.02;

/// The normalized distribution, with neighbouring buckets smoothed.
LatencyCounts
Smooth(const LatencyCounts& aCounts)
{
  const double total = std::accumulate(aCounts.begin(), aCounts.end(), 0.0);
  LatencyCounts smooth{};
  smooth.fill(kUniformFraction / static_cast<double>(kLatencyBuckets));
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    const double part = (1.0 - kUniformFraction) * aCounts[i] / total;
    smooth[i] += part / 2;
    smooth[i == 0 ? 0 : i - 1] += part / 4;
    smooth[std::min(i + 1, kLatencyBuckets - 1)] += part / 4;
  }
  return smooth;
}

/// Moves all latencies by aOffset buckets; the outermost buckets collect those
/// that would leave the range.
LatencyCounts
Shift(const LatencyCounts& aCounts, int aOffset)
{
  LatencyCounts shifted{};
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    const int to = std::clamp(
      static_cast<int>(i) + aOffset, 0, static_cast<int>(kLatencyBuckets) - 1);
    shifted[static_cast<std::size_t>(to)] += aCounts[i];
  }
  // A shift leaves buckets empty at one end.
  for (double& probability : shifted) {
    probability = std::max(
      probability, kUniformFraction / static_cast<double>(kLatencyBuckets));
  }
  return shifted;
}

} // namespace

SlowCallTest::SlowCallTest(const LatencyCounts& aReference)
{
  const LatencyCounts reference = Smooth(aReference);
  for (std::size_t k = 0; k < kOffsets; ++k) {
    const int offset = kMinOffset + static_cast<int>(k);
    const LatencyCounts usual = Shift(reference, offset);
    for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
      m_null[k][i] = std::log(usual[i]);
    }
    for (std::size_t a = 0; a < kAlternatives.size(); ++a) {
      const auto& [further, fraction] = kAlternatives[a];
      const LatencyCounts slow = Shift(reference, offset + further);
      for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
        m_alternatives[a][k][i] =
          std::log((1.0 - fraction) * usual[i] + fraction * slow[i]);
      }
    }
  }
}

double
SlowCallTest::Best(const LogProbabilities& aLogs, const LatencyCounts& aCounts)
{
  double best = -std::numeric_limits<double>::infinity();
  for (std::size_t k = 0; k < kOffsets; ++k) {
    const double likelihood = std::inner_product(
      aCounts.begin(), aCounts.end(), aLogs[k].begin(), kOffsetPriors[k]);
    best = std::max(best, likelihood);
  }
  return best;
}

double
SlowCallTest::Score(const std::vector<LatencyCounts>& aTargets) const
{
  double score = -std::numeric_limits<double>::infinity();
  for (const LogProbabilities& alternative : m_alternatives) {
    double sum = 0.0;
    double highest = 0.0;
    for (const LatencyCounts& target : aTargets) {
      const double ratio = Best(alternative, target) - Best(m_null, target);
      sum += ratio;
      highest = std::max(highest, ratio);
    }
    score = std::max(score, aTargets.size() > 1 ? sum - highest : sum);
  }
  return score;
}

} // namespace tarragontray
