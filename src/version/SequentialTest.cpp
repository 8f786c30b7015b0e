#include "version/SequentialTest.h"

#include <algorithm>
#include <cmath>

namespace tarragontray {

namespace {

constexpr double kMaxRate = 0.99;
constexpr double kMinRate = 1e-4;
constexpr double kMinExcess = 0.02;

double
LogLikelihoodRatio(const TargetSample& aSample,
                   double aReference,
                   double aAlternative)
{
  const auto bad = static_cast<double>(aSample.m_bad);
  const auto good = static_cast<double>(aSample.m_calls) - bad;
  return bad * std::log(aAlternative / aReference) +
         good * std::log((1.0 - aAlternative) / (1.0 - aReference));
}

} // namespace

void
SequentialTest::AddAlternative(std::size_t aAlternative,
                               const TestRates& aRates,
                               const std::vector<TargetSample>& aSamples)
{
  const double reference =
    std::clamp(aRates.m_reference, kMinRate, kMaxRate - 0.01);
  const double alternative =
    std::min(reference + aRates.m_excess[aAlternative], kMaxRate);
  if (alternative - reference < kMinExcess) {
    // Nearly all calls of the old version are bad: nothing can be told.
    return;
  }
  Sums& sums = m_sums[aAlternative];
  std::map<VmId, double> ratios;
  double total = 0.0;
  for (const TargetSample& sample : aSamples) {
    const double ratio = LogLikelihoodRatio(sample, reference, alternative);
    ratios[sample.m_target] += ratio;
    total += ratio;
    // A target without a sum of its own had nothing to leave out so far.
    sums.m_without.try_emplace(sample.m_target, sums.m_all);
  }
  for (auto& [target, sum] : sums.m_without) {
    const auto own = ratios.find(target);
    const double rest = own == ratios.end() ? total : total - own->second;
    sum = std::max(0.0, sum + rest);
  }
  sums.m_all = std::max(0.0, sums.m_all + total);
}

void
SequentialTest::Add(const TestRates& aRates,
                    const std::vector<TargetSample>& aSamples)
{
  for (std::size_t i = 0; i < kAlternatives; ++i) {
    AddAlternative(i, aRates, aSamples);
  }
  for (const TargetSample& sample : aSamples) {
    m_episode += BadCount{ sample.m_calls, sample.m_bad };
  }
  const bool atZero =
    std::all_of(m_sums.begin(), m_sums.end(), [](const Sums& aSums) {
      return aSums.m_all <= 0.0;
    });
  if (atZero) {
    m_episode = BadCount();
  }
}

double
SequentialTest::Score(std::size_t aTargets) const
{
  if (aTargets > 1 && m_sums.front().m_without.size() <= 1) {
    return 0.0;
  }
  double score = 0.0;
  for (const Sums& sums : m_sums) {
    double least = sums.m_all;
    if (sums.m_without.size() > 1) {
      for (const auto& [target, sum] : sums.m_without) {
        least = std::min(least, sum);
      }
    }
    score = std::max(score, least);
  }
  return score;
}

} // namespace tarragontray
