/// \file
/// Judges one move by sequential tests on each route.
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

/// How strict a judge is.
struct JudgeLimits
{
  double m_suspectScore = 0.0;
  double m_verdictScore = 0.0;
  /// Whether repeated comparisons condemn a version as bad under load.
  bool m_detectsLoadFaults = false;
  SettleTimes m_times;
};

/// See the file comment.
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
  /// A time at equal load after the new version looked bad at a higher one.
  struct Comparison
  {
    Verdict m_cause;
    Signal m_signal = Signal::Failures;
    /// The old version had carried the load at which it began.
    bool m_isProven = false;
    bool m_wasOldHealthy = true;
    /// All of it, and the part at comparable load.
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
  /// Comparisons that ended well after a load that the old version carries.
  int m_failuresUnderLoad = 0;
  int m_unprovenComparisons = 0;
};

} // namespace tarragontray
