/// \file
/// A likelihood-ratio test of whether a fraction of a version's calls is
/// several times slower than the reference version's.
///
///     SlowCallTest test(referenceLatency);
///     if (test.Score(latencyByTarget) >= threshold) { ... }
///
/// The null hypothesis is that each target's latency is distributed as the
/// reference, scaled by a factor of its own between 1/2 and 2, since targets
/// differ in speed and load. The alternative is that a fraction of the calls to
/// every target is slower by a further factor of at least 4. Comparing whole
/// distributions detects slow calls that are still within the range of the
/// reference version's slowest ones.
///
/// Thread safety: immutable.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "version/EvidenceReport.h"

namespace tarragontray {

/// The number of calls in each latency bucket.
using LatencyCounts = std::array<double, kLatencyBuckets>;

/// The test against one reference distribution; see the file comment.
class SlowCallTest
{
public:
  /// Precondition: aReference contains at least one call.
  explicit SlowCallTest(const LatencyCounts& aReference);

  /// The natural logarithm of the likelihood ratio of the best alternative to
  /// the null hypothesis, with the target excluded that supports the
  /// alternative most. Negative values favour the null hypothesis.
  double Score(const std::vector<LatencyCounts>& aTargets) const;

private:
  /// Factors of a target's own speed, as bucket offsets.
  static constexpr int kMinOffset = -2;
  static constexpr int kMaxOffset = 2;
  static constexpr std::size_t kOffsets = kMaxOffset - kMinOffset + 1;
  /// The logarithms of the offsets' relative prior probabilities.
  static constexpr std::array<double, kOffsets> kOffsetPriors{ -3.0,
                                                               -1.0,
                                                               0.0,
                                                               -1.0,
                                                               -3.0 };
  /// A slow call's further offset, and the fraction of slow calls.
  struct Alternative
  {
    int m_offset;
    double m_fraction;
  };
  static constexpr std::array<Alternative, 8> kAlternatives{ { { 4, 0.1 },
                                                               { 4, 0.2 },
                                                               { 4, 0.45 },
                                                               { 4, 1.0 },
                                                               { 6, 0.1 },
                                                               { 6, 0.2 },
                                                               { 6, 0.45 },
                                                               { 6, 1.0 } } };
  using LogProbabilities =
    std::array<std::array<double, kLatencyBuckets>, kOffsets>;

  static double Best(const LogProbabilities& aLogs,
                     const LatencyCounts& aCounts);

  LogProbabilities m_null;
  std::array<LogProbabilities, kAlternatives.size()> m_alternatives;
};

} // namespace tarragontray
