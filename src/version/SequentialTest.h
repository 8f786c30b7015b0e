/// \file
/// A sequential test of whether calls go bad more often than a reference.
///
///     SequentialTest test;
///     test.Add(reference, { { target, calls, bad }, ... });
///     if (test.Score(targets) >= kVerdictScore) { ... }
///
/// Cumulative sums of log likelihood ratios (E. S. Page, "Continuous
/// inspection schemes", 1954; the ratio is that of A. Wald's sequential test,
/// 1945) against several alternatives. A sum never falls below zero, so that
/// a version that turns bad late is found as fast as one that is bad at once.
/// The score leaves the worst target out, so that one sick target among
/// healthy ones of its version does not condemn the version.
///
/// Thread safety: one thread.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "base/Ids.h"

namespace tarragontray {

/// Calls of one target within one window.
struct TargetSample
{
  VmId m_target;
  std::uint64_t m_calls = 0;
  std::uint64_t m_bad = 0;
};

/// Calls of a version, and how many of them were bad.
struct BadCount
{
  std::uint64_t m_calls = 0;
  std::uint64_t m_bad = 0;

  BadCount& operator+=(const BadCount& aOther)
  {
    m_calls += aOther.m_calls;
    m_bad += aOther.m_bad;
    return *this;
  }
};

/// The probabilities that a test tells apart.
struct TestRates
{
  /// Bad calls under the hypothesis that the version is good, in (0, 1).
  double m_reference = 0.0;
  /// What is added to the reference under each alternative.
  std::array<double, 3> m_excess{};
};

/// The sums of one signal of one route.
class SequentialTest
{
public:
  /// Takes one window in.
  void Add(const TestRates& aRates, const std::vector<TargetSample>& aSamples);

  /// The strongest alternative's sum without its worst target; the natural
  /// logarithm of a likelihood ratio.
  /// \param aTargets targets of the version. While only one of several has
  /// been seen here the score is zero.
  double Score(std::size_t aTargets) const;

  /// All calls since the sums last were at zero.
  BadCount Episode() const { return m_episode; }

  /// Forgets all evidence.
  void Reset() { *this = SequentialTest(); }

private:
  static constexpr std::size_t kAlternatives = 3;
  struct Sums
  {
    double m_all = 0.0;
    /// The sum with one target left out.
    std::map<VmId, double> m_without;
  };

  void AddAlternative(std::size_t aAlternative,
                      const TestRates& aRates,
                      const std::vector<TargetSample>& aSamples);

  std::array<Sums, kAlternatives> m_sums;
  BadCount m_episode;
};

} // namespace tarragontray
