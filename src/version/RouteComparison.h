/// \file
/// The new version against the old one on one route.
///
///     RouteComparison route;
///     route.Add(entriesOfTheRoute, use);
///     if (route.Worst(TestKind::Verdict, targets).m_score >= kVerdictScore) {
///     ... }
///
/// Four signals: failures, errors that blame the caller (4xx), and calls that
/// are slower than either of two limits set by the old version's latency. Each
/// signal's reference is what the old version shows in the same window,
/// steadied by its recent past; whatever hurts both versions raises the
/// reference with it.
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

/// What can speak against a version.
enum class Signal : std::uint8_t
{
  Failures,
  CallerErrors,
  /// Far above the old version's slowest tenth.
  SlowCalls,
  /// Well above the old version's median: shows a slowdown of all calls where
  /// latency is spread widely.
  AboveMedian,
};

inline constexpr std::size_t kSignals = 4;

std::string_view
Name(Signal aSignal);

/// One signal's figures since its sums last were at zero.
struct SignalScore
{
  Signal m_signal = Signal::Failures;
  /// Natural logarithm of the likelihood ratio.
  double m_score = 0.0;
  BadCount m_new;
  BadCount m_old;
  /// What the new version may show, tolerance included.
  double m_reference = 0.0;
};

/// "failures new=12/40 old=1/400".
std::string
Describe(const SignalScore& aScore);

/// What a window is used for.
struct WindowUse
{
  Duration m_length{ 0 };
  /// False: only the old version's past is updated.
  bool m_test = true;
  /// Both versions carry comparable load. Windows are joined until the old
  /// version has enough calls to show a fault of both versions.
  bool m_isComparable = false;
};

/// The two tests of each signal.
enum class TestKind : std::uint8_t
{
  /// Over all windows; it calls for a comparison.
  Suspicion,
  /// Over windows of comparable load; it condemns.
  Verdict,
};

/// All evidence of one route.
class RouteComparison
{
public:
  /// Takes in what was seen of the old version before.
  void AddHistory(std::vector<WindowEntry> aEntries);

  /// Takes one window's entries of this route in.
  void Add(const std::vector<WindowEntry>& aEntries, const WindowUse& aUse);

  /// The signal that speaks most against the new version.
  /// \param aTargets targets of the new version.
  SignalScore Worst(TestKind aKind, std::size_t aTargets) const;

  /// The old version's bad calls of a signal in the last window stayed within
  /// what its past allows.
  bool IsOldHealthy(Signal aSignal) const;

  /// Forgets the suspicion, not the verdict's test and the old one's past.
  void ResetSuspicion();

private:
  struct TestState
  {
    SequentialTest m_test;
    /// The old version's calls over the test's episode.
    BadCount m_oldEpisode;

    void Add(const TestRates& aRates,
             const std::vector<TargetSample>& aSamples,
             const BadCount& aOld);
  };
  struct SignalState
  {
    TestState m_suspicion;
    TestState m_verdict;
    /// The old version's decayed past.
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
  /// Entries of the windows that are not judged yet.
  std::vector<WindowEntry> m_pending;
  Duration m_pendingLength{ 0 };
  std::array<double, kLatencyBuckets> m_latencyHistory{};
  /// Calls in a bucket above these are slow, or above the median.
  struct LatencyLimits
  {
    std::size_t m_slow = 0;
    std::size_t m_median = 0;
  };
  std::optional<LatencyLimits> m_limits;
};

} // namespace tarragontray
