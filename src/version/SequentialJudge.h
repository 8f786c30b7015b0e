/// \file
/// A judge that applies sequential tests to each route.
///
///     SequentialJudge judge(limits);
///     Verdict verdict = judge.Judge(window);
///
/// Thread safety: one thread.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "version/LoadComparison.h"
#include "version/MovePolicy.h"
#include "version/RouteComparison.h"

namespace tarragontray {

/// The thresholds of a judge. Scores are natural logarithms of likelihood
/// ratios.
struct JudgeLimits
{
  double m_suspectScore = 0.0;
  double m_verdictScore = 0.0;
  /// Whether a version is rejected if it repeatedly looks bad under load and
  /// good at equal load.
  bool m_detectsLoadFaults = false;
  SettleTimes m_times;
};

/// A judge that applies sequential tests to each route.
class SequentialJudge final : public VersionJudge
{
public:
  explicit SequentialJudge(const JudgeLimits& aLimits)
    : m_limits(aLimits)
    , m_loads(aLimits.m_times)
  {
  }

  void AddHistory(const EvidenceWindow& aWindow) override;
  Verdict Judge(const EvidenceWindow& aWindow) override;

private:
  /// A period at equal load, after the new version looked bad at higher load.
  struct Comparison
  {
    Verdict m_cause;
    Signal m_signal = Signal::Failures;
    /// Whether the old version had carried the load at which it began.
    bool m_isProven = false;
    bool m_wasOldHealthy = true;
    /// The total length, and the length at comparable load.
    Duration m_length{ 0 };
    Duration m_comparableLength{ 0 };
    std::uint64_t m_calls = 0;
  };
  struct WorstRoute
  {
    RouteName m_route;
    SignalScore m_score;
  };

  void AddWindow(const EvidenceWindow& aWindow);
  bool IsOldHealthy() const;
  WorstRoute FindWorst(TestKind aKind) const;
  Verdict BeginComparison(const WorstRoute& aWorst);
  Verdict Compare(const EvidenceWindow& aWindow, const WorstRoute& aWorst);
  Verdict EndComparison();
  Verdict AbandonComparison();
  void ResetSuspicion();

  JudgeLimits m_limits;
  LoadComparison m_loads;
  std::map<RouteName, RouteComparison> m_routes;
  /// Targets of the new version.
  std::set<VmId> m_targets;
  std::optional<Comparison> m_comparison;
  /// Comparisons without evidence against the new version, started at a load
  /// that the old version had carried.
  int m_failuresUnderLoad = 0;
  int m_unprovenComparisons = 0;
};

} // namespace tarragontray
