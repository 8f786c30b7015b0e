/// \file
/// A sequential test of whether the rate of bad calls exceeds a reference rate.
///
///     SequentialTest test;
///     test.Add(rates, { { target, calls, bad }, ... });
///     if (test.Score(targets) >= kVerdictScore) { ... }
///
/// Computes cumulative sums (CUSUM; E. S. Page, "Continuous inspection
/// schemes", 1954) of log-likelihood ratios (A. Wald's sequential test, 1945)
/// for several alternatives. A sum is bounded below by zero, so that a version
/// that turns bad late is detected as fast as one that is bad from the start.
/// The score excludes the worst target, so that one faulty target among healthy
/// ones is not attributed to the version.
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

/// The calls to one target within one window.
struct TargetSample
{
  VmId m_target;
  std::uint64_t m_calls = 0;
  std::uint64_t m_bad = 0;
};

/// The calls to a version, and how many of them were bad.
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

/// The probabilities that a test distinguishes.
struct TestRates
{
  /// The probability of a bad call if the version is good, in (0, 1).
  double m_reference = 0.0;
  /// The increase over the reference under each alternative.
  std::array<double, 3> m_excess{};
};

/// The test of one signal on one route; see the file comment.
class SequentialTest
{
public:
  /// Adds one window.
  void Add(const TestRates& aRates, const std::vector<TargetSample>& aSamples);

  /// The highest sum over all alternatives, with the worst target excluded: the
  /// natural logarithm of a likelihood ratio.
  /// \param aTargets the number of targets of the version. The score is zero
  /// while only one of several targets has been observed.
  double Score(std::size_t aTargets) const;

  /// All calls since all sums were last zero.
  BadCount Episode() const { return m_episode; }

  /// Discards all evidence.
  void Reset() { *this = SequentialTest(); }

private:
  static constexpr std::size_t kAlternatives = 3;
  struct Sums
  {
    double m_all = 0.0;
    /// The sum without the calls of each target.
    std::map<VmId, double> m_without;
  };

  void AddAlternative(std::size_t aAlternative,
                      const TestRates& aRates,
                      const std::vector<TargetSample>& aSamples);

  std::array<Sums, kAlternatives> m_sums;
  BadCount m_episode;
};

} // namespace tarragontray
