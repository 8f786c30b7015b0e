/// \file
/// Compares the new version with the old one on one route.
///
///     RouteComparison route;
///     route.Add(entriesOfTheRoute, use);
///     if (route.Worst(TestKind::Verdict, targets).m_score >= kVerdictScore) {
///     ... }
///
/// There are four signals: failures, caller errors (4xx), and calls that exceed
/// either of two latency limits derived from the old version. The reference
/// rate of each signal is the old version's rate in the same window, smoothed
/// with its recent history. A fault of both versions thus raises the reference
/// too.
///
/// Thread safety: one thread.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "version/EvidenceWindow.h"
#include "version/SequentialTest.h"

namespace tarragontray {

/// The kinds of evidence against a version.
enum class Signal : std::uint8_t
{
  Failures,
  CallerErrors,
  /// Calls above the limit set by the old version's 90th percentile.
  SlowCalls,
  /// Calls above the limit set by the old version's median. Detects a slowdown
  /// of all calls where latency varies widely.
  AboveMedian,
};

inline constexpr std::size_t kSignals = 4;

/// The stable name, for example "slow-calls".
std::string_view
Name(Signal aSignal);

/// A signal's score and counts since its sums were last zero.
struct SignalScore
{
  Signal m_signal = Signal::Failures;
  /// Natural logarithm of the likelihood ratio.
  double m_score = 0.0;
  BadCount m_new;
  BadCount m_old;
  /// The rate allowed for the new version, including the tolerance.
  double m_reference = 0.0;
};

/// The evidence in one line, for example "failures new=12/40 old=1/400".
std::string
Describe(const SignalScore& aScore);

/// How a window is used.
struct WindowUse
{
  Duration m_length{ 0 };
  /// If false, only the old version's history is updated.
  bool m_runsTests = true;
  /// Whether both versions carry comparable load. If so, windows are merged
  /// until the old version has enough calls to reveal a fault of both versions.
  bool m_isComparable = false;
};

/// The two tests of each signal.
enum class TestKind : std::uint8_t
{
  /// Uses all windows; triggers a comparison at equal load.
  Suspicion,
  /// Uses windows of comparable load; rejects the version.
  Verdict,
};

/// The comparison of both versions on one route; see the file comment.
class RouteComparison
{
public:
  /// Adds earlier evidence of the old version.
  void AddHistory(std::vector<WindowEntry> aEntries);

  /// Adds one window's entries of this route.
  void Add(const std::vector<WindowEntry>& aEntries, const WindowUse& aUse);

  /// The signal with the highest score.
  /// \param aTargets the number of targets of the new version.
  SignalScore Worst(TestKind aKind, std::size_t aTargets) const;

  /// Whether the old version's bad calls of a signal in the last window were
  /// consistent with its history.
  bool IsOldHealthy(Signal aSignal) const;

  /// Resets the Suspicion tests; keeps the Verdict tests and the history.
  void ResetSuspicion();

private:
  struct TestState
  {
    SequentialTest m_test;
    /// The old version's calls since the test's sums were last zero.
    BadCount m_oldEpisode;

    void Add(const TestRates& aRates,
             const std::vector<TargetSample>& aSamples,
             const BadCount& aOld);
  };
  struct SignalState
  {
    TestState m_suspicion;
    TestState m_verdict;
    /// The old version's history, with exponential decay.
    double m_historyCalls = 0.0;
    double m_historyBad = 0.0;
    double m_reference = 0.0;
    bool m_isOldHealthy = true;
  };

  std::optional<std::uint64_t> BadCalls(const WindowEntry& aEntry,
                                        Signal aSignal) const;
  bool MustWait(const WindowUse& aUse) const;
  void AddSignal(Signal aSignal, const WindowUse& aUse);
  void AddLatencyHistory();
  void SetLatencyLimits();

  std::array<SignalState, kSignals> m_signals;
  /// Entries of the windows that have not been evaluated yet.
  std::vector<WindowEntry> m_pending;
  Duration m_pendingLength{ 0 };
  std::array<double, kLatencyBuckets> m_latencyHistory{};
  /// Calls in a higher bucket count as slow or as above the median.
  struct LatencyLimits
  {
    std::size_t m_slow = 0;
    std::size_t m_median = 0;
  };
  std::optional<LatencyLimits> m_limits;
};

} // namespace tarragontray
