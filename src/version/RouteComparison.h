/// \file
/// The new version against the old one on one route.
///
///     RouteComparison route;
///     route.Add(entriesOfTheRoute, use);
///     if (route.Worst().m_score >= kVerdictScore) { ... }
///
/// Three signals: failures, errors that blame the caller (4xx), and calls that
/// are slower than a limit set by the old version's latency. Each signal's
/// reference is what the old version shows in the same window, steadied by its
/// recent past; whatever hurts both versions raises the reference with it.
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
  SlowCalls,
};

inline constexpr std::size_t kSignals = 3;

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
  /// Join windows until the old version has enough calls to show a fault of
  /// both versions.
  bool m_waitForOld = false;
};

/// All evidence of one route.
class RouteComparison
{
public:
  /// Takes one window's entries of this route in.
  void Add(const std::vector<WindowEntry>& aEntries, const WindowUse& aUse);

  /// The signal that speaks most against the new version.
  SignalScore Worst() const;

  /// The old version's bad calls of a signal in the last window stayed within
  /// what its past allows.
  bool IsOldHealthy(Signal aSignal) const;

  /// Forgets what spoke against the new version, not the old one's past.
  void ResetTests();

private:
  struct SignalState
  {
    SequentialTest m_test;
    /// The old version's calls over the test's episode.
    BadCount m_oldEpisode;
    /// The old version's decayed past.
    double m_pastCalls = 0.0;
    double m_pastBad = 0.0;
    double m_reference = 0.0;
    bool m_isOldHealthy = true;
  };

  std::optional<std::uint64_t> BadCalls(const WindowEntry& aEntry,
                                        Signal aSignal) const;
  bool MustWait(const WindowUse& aUse) const;
  void AddSignal(Signal aSignal, bool aTest);
  void AddLatencyPast();
  void SetSlowLimit();

  std::array<SignalState, kSignals> m_signals;
  /// Entries of the windows that are not judged yet.
  std::vector<WindowEntry> m_pending;
  Duration m_pendingLength{ 0 };
  std::array<double, kLatencyBuckets> m_pastLatency{};
  /// Calls in a bucket above this one are slow.
  std::optional<std::size_t> m_slowLimit;
};

} // namespace tarragontray
