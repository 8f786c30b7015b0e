#include "version/BriefJudge.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <limits>
#include <sstream>
#include <string>
#include <vector>

#include "version/EvidenceTable.h"
#include "version/SlowCallTest.h"

namespace tarragontray {

namespace {

/// The time spans evaluated, as divisors of the lookback.
constexpr std::array<int, 3> kSpanDivisors{ 18, 6, 1 };
/// Calls to the old version are concurrent with one to the new version if they
/// end between kConcurrentBefore before it and kConcurrentAfter after it. A
/// disturbance of both versions that has just begun does not show in earlier
/// calls.
constexpr Duration kConcurrentBefore = std::chrono::milliseconds(300);
constexpr Duration kConcurrentAfter = std::chrono::seconds(1);
/// The fraction of the verdict score from which the version is suspect.
constexpr double kSuspicion = 0.4;
/// The fraction of the verdict score from which the version is in doubt.
constexpr double kDoubt = 0.3;
/// Up to this share a suspect version keeps its share.
constexpr double kMaxSuspectShare = 0.2;
/// With fewer bad calls to the new version, a high score may be chance.
constexpr double kMinBadCalls = 3;
/// The increases of the failure rate that the test considers.
constexpr std::array<double, 3> kFailureExcess{ 0.05, 0.15, 0.5 };
/// Lower bound of the old version's failure rate: a lower observed rate is not
/// reliable.
constexpr double kMinFailureRate = 0.01;
constexpr double kMaxFailureRate = 0.98;
/// The ratio between the rates of the old version that the test considers.
constexpr double kRateStep = 1.25;
/// Concurrent calls to the old version required for a verdict.
constexpr double kMinConcurrentCalls = 20;
/// Calls to the old version required to determine its latency.
constexpr double kMinLatencyCalls = 20;
/// The fraction of the old version's calls that a verdict's reason does not
/// count as slow.
constexpr double kUsualFraction = 0.97;

/// The calls to one target or version; fractional, as they may be weighted.
struct Counts
{
  double m_calls = 0;
  double m_failures = 0;
  LatencyCounts m_latency{};

  void Add(const VersionCounters& aCounters, double aWeight = 1.0)
  {
    m_calls += aWeight * static_cast<double>(aCounters.m_calls);
    m_failures += aWeight * static_cast<double>(aCounters.m_failures +
                                                aCounters.m_callerErrors);
    for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
      m_latency[i] += aWeight * aCounters.m_latency[i];
    }
  }

  void Add(const Counts& aOther, double aWeight = 1.0)
  {
    m_calls += aWeight * aOther.m_calls;
    m_failures += aWeight * aOther.m_failures;
    for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
      m_latency[i] += aWeight * aOther.m_latency[i];
    }
  }
};

using CountsByTarget = std::map<VmId, Counts>;

Counts
Total(const CountsByTarget& aTargets)
{
  Counts total;
  for (const auto& [target, counts] : aTargets) {
    total.Add(counts);
  }
  return total;
}

/// The total of all targets except the one with the most failures.
Counts
TotalWithoutWorst(const CountsByTarget& aTargets)
{
  Counts total = Total(aTargets);
  const auto worst = std::max_element(
    aTargets.begin(),
    aTargets.end(),
    [](const auto& aFirst, const auto& aSecond) {
      return aFirst.second.m_failures < aSecond.second.m_failures;
    });
  if (aTargets.size() > 1) {
    total.Add(worst->second, -1.0);
  }
  return total;
}

/// The calls of one route within a span.
struct Comparison
{
  CountsByTarget m_new;
  /// The old version's calls, weighted by the new version's concurrent calls.
  CountsByTarget m_old;
  /// The number of unweighted calls that m_old is as reliable as.
  double m_oldCalls = 0;
};

/// For each window, the calls to the new version that its calls to the old one
/// are concurrent with.
std::vector<double>
ConcurrentCalls(const std::vector<const EvidenceWindow*>& aWindows,
                const RouteName& aRoute)
{
  std::vector<double> calls(aWindows.size());
  std::vector<Duration> ends(aWindows.size());
  Duration end{ 0 };
  for (std::size_t i = 0; i < aWindows.size(); ++i) {
    end += aWindows[i]->m_length;
    ends[i] = end;
    for (const WindowEntry& entry : aWindows[i]->m_entries) {
      if (entry.m_route == aRoute && entry.m_side == VersionSide::New) {
        calls[i] += static_cast<double>(entry.m_counters.m_calls);
      }
    }
  }
  std::vector<double> concurrent(aWindows.size());
  std::size_t first = 0;
  std::size_t last = 0;
  double sum = 0;
  for (std::size_t i = 0; i < aWindows.size(); ++i) {
    while (last < aWindows.size() &&
           ends[last] - ends[i] <= kConcurrentBefore) {
      sum += calls[last++];
    }
    while (ends[i] - ends[first] > kConcurrentAfter) {
      sum -= calls[first++];
    }
    concurrent[i] = sum;
  }
  return concurrent;
}

Comparison
Compare(const std::vector<const EvidenceWindow*>& aWindows,
        const RouteName& aRoute)
{
  const std::vector<double> weights = ConcurrentCalls(aWindows, aRoute);
  Comparison comparison;
  double weighted = 0;
  double weightedSquares = 0;
  for (std::size_t i = 0; i < aWindows.size(); ++i) {
    for (const WindowEntry& entry : aWindows[i]->m_entries) {
      if (entry.m_route != aRoute) {
        continue;
      }
      if (entry.m_side == VersionSide::New) {
        comparison.m_new[entry.m_target].Add(entry.m_counters);
        continue;
      }
      if (weights[i] > 0) {
        const auto calls = static_cast<double>(entry.m_counters.m_calls);
        comparison.m_old[entry.m_target].Add(entry.m_counters, weights[i]);
        weighted += weights[i] * calls;
        weightedSquares += weights[i] * weights[i] * calls;
      }
    }
  }
  // Kish's effective sample size.
  comparison.m_oldCalls =
    weightedSquares > 0 ? weighted * weighted / weightedSquares : 0;
  return comparison;
}

/// Scales aCounts to aCalls calls.
Counts
Scaled(const Counts& aCounts, double aCalls)
{
  Counts result;
  if (aCounts.m_calls > 0) {
    result.Add(aCounts, aCalls / aCounts.m_calls);
  }
  return result;
}

double
LogLikelihood(const Counts& aCounts, double aRate)
{
  return aCounts.m_failures * std::log(aRate) +
         (aCounts.m_calls - aCounts.m_failures) * std::log(1 - aRate);
}

/// One log-likelihood ratio for each of kFailureExcess.
using ExcessScores = std::array<double, kFailureExcess.size()>;

double
Best(const ExcessScores& aScores)
{
  return *std::max_element(aScores.begin(), aScores.end());
}

/// The log-likelihood ratios of the alternatives, in which the new version
/// fails more often than the old one, to equal failure rates. The old version's
/// rate is estimated under either hypothesis.
ExcessScores
FailureScores(const Counts& aNew, const Counts& aOld)
{
  const auto bounded = [](double aRate) {
    return std::clamp(aRate, kMinFailureRate, kMaxFailureRate);
  };
  const double equal = bounded((aNew.m_failures + aOld.m_failures) /
                               (aNew.m_calls + aOld.m_calls));
  const double null = LogLikelihood(aNew, equal) + LogLikelihood(aOld, equal);
  ExcessScores scores{};
  for (std::size_t i = 0; i < scores.size(); ++i) {
    const double excess = kFailureExcess[i];
    double best = -std::numeric_limits<double>::infinity();
    for (double old = kMinFailureRate; old + excess <= kMaxFailureRate;
         old *= kRateStep) {
      best = std::max(
        best, LogLikelihood(aNew, old + excess) + LogLikelihood(aOld, old));
    }
    scores[i] = best - null;
  }
  return scores;
}

void
AddScores(const ExcessScores& aScores, ExcessScores& aSum)
{
  for (std::size_t i = 0; i < aSum.size(); ++i) {
    aSum[i] += aScores[i];
  }
}

/// The old version's calls.
struct OldCounts
{
  Counts m_all;
  Counts m_withoutWorst;
};

OldCounts
MakeOldCounts(const CountsByTarget& aTargets)
{
  return { Total(aTargets), TotalWithoutWorst(aTargets) };
}

/// The concurrent calls to the old version, scaled to the number of calls that
/// they are as reliable as.
OldCounts
ConcurrentCounts(const Comparison& aComparison)
{
  const OldCounts weighted = MakeOldCounts(aComparison.m_old);
  const double calls = aComparison.m_oldCalls;
  if (calls <= 0) {
    return {};
  }
  return { Scaled(weighted.m_all, calls),
           Scaled(weighted.m_withoutWorst,
                  calls * weighted.m_withoutWorst.m_calls /
                    weighted.m_all.m_calls) };
}

/// The first bucket above the usual latencies of aReference.
std::size_t
FirstSlowBucket(const Counts& aReference)
{
  const double limit = kUsualFraction * aReference.m_calls;
  double seen = 0;
  std::size_t bucket = 0;
  while (bucket < kLatencyBuckets && seen < limit) {
    seen += aReference.m_latency[bucket++];
  }
  return bucket;
}

double
SlowCalls(const Counts& aCounts, std::size_t aFirstSlow)
{
  double calls = 0;
  for (std::size_t i = aFirstSlow; i < kLatencyBuckets; ++i) {
    calls += aCounts.m_latency[i];
  }
  return calls;
}

/// The target with the most failures on all routes together; empty when there
/// is only one target.
VmId
WorstTarget(const std::map<RouteName, CountsByTarget>& aRoutes)
{
  std::map<VmId, double> failures;
  for (const auto& [route, targets] : aRoutes) {
    for (const auto& [target, counts] : targets) {
      failures[target] += counts.m_failures;
    }
  }
  const auto worst =
    std::max_element(failures.begin(),
                     failures.end(),
                     [](const auto& aFirst, const auto& aSecond) {
                       return aFirst.second < aSecond.second;
                     });
  return failures.size() > 1 ? worst->first : VmId();
}

Counts
TotalWithout(const VmId& aTarget, const CountsByTarget& aTargets)
{
  Counts total = Total(aTargets);
  if (const auto found = aTargets.find(aTarget); found != aTargets.end()) {
    total.Add(found->second, -1.0);
  }
  return total;
}

std::string
Fraction(double aBad, double aCalls)
{
  return std::to_string(std::lround(aBad)) + "/" +
         std::to_string(std::lround(aCalls));
}

std::string
ScoreText(double aScore)
{
  std::ostringstream text;
  text << " score=" << std::fixed << std::setprecision(1) << aScore;
  return text.str();
}

} // namespace

void
BriefJudge::AddHistory(const EvidenceWindow& aWindow)
{
  for (const WindowEntry& entry : aWindow.m_entries) {
    if (entry.m_side == VersionSide::Old) {
      AddCounters(m_history[entry.m_route][entry.m_target], entry.m_counters);
    }
  }
}

void
BriefJudge::AddWindow(const EvidenceWindow& aWindow)
{
  m_windows.push_back(aWindow);
  m_length += aWindow.m_length;
  while (m_length - m_windows.front().m_length >= m_settings.m_lookback) {
    m_length -= m_windows.front().m_length;
    m_windows.pop_front();
  }
}

std::set<RouteName>
BriefJudge::RoutesOfNewVersion() const
{
  std::set<RouteName> routes;
  for (const EvidenceWindow& window : m_windows) {
    for (const WindowEntry& entry : window.m_entries) {
      if (entry.m_side == VersionSide::New) {
        routes.insert(entry.m_route);
      }
    }
  }
  return routes;
}

Verdict
BriefJudge::Judge(const EvidenceWindow& aWindow)
{
  AddHistory(aWindow);
  AddWindow(aWindow);
  Findings findings;
  findings.m_verdictScore = kSuspicion * m_settings.m_verdictScore;
  const std::set<RouteName> routes = RoutesOfNewVersion();
  for (const RouteName& route : routes) {
    ScoreRoute(route, findings);
  }
  for (const int divisor : kSpanDivisors) {
    ScoreRoutesTogether(routes, m_settings.m_lookback / divisor, findings);
  }
  // Evidence at a large share costs many calls, and the rest may be too few for
  // a comparison.
  if (findings.m_verdict.m_kind == VerdictKind::Suspect &&
      aWindow.m_share > Share::FromFraction(kMaxSuspectShare)) {
    findings.m_verdict.m_kind = VerdictKind::NeedsComparison;
  }
  return findings.m_verdict;
}

/// The old version's calls on a route since the judge began.
struct BriefJudge::RouteHistory
{
  OldCounts m_counts;
};

struct BriefJudge::TargetHistory
{
  CountsByTarget m_targets;
};

BriefJudge::TargetHistory
BriefJudge::HistoryOf(const RouteName& aRoute) const
{
  TargetHistory history;
  if (const auto known = m_history.find(aRoute); known != m_history.end()) {
    for (const auto& [target, counters] : known->second) {
      history.m_targets[target].Add(counters);
    }
  }
  return history;
}

std::vector<const EvidenceWindow*>
BriefJudge::LastWindows(Duration aSpan) const
{
  std::vector<const EvidenceWindow*> windows;
  Duration length{ 0 };
  for (auto window = m_windows.rbegin();
       window != m_windows.rend() && length < aSpan;
       ++window) {
    length += window->m_length;
    windows.push_back(&*window);
  }
  std::reverse(windows.begin(), windows.end());
  return windows;
}

void
BriefJudge::ScoreRoutesTogether(const std::set<RouteName>& aRoutes,
                                Duration aSpan,
                                Findings& aFindings) const
{
  const std::vector<const EvidenceWindow*> windows = LastWindows(aSpan);
  std::map<RouteName, Comparison> comparisons;
  std::map<RouteName, CountsByTarget> fresh;
  std::map<RouteName, CountsByTarget> old;
  std::map<RouteName, CountsByTarget> history;
  double oldCalls = 0;
  for (const RouteName& route : aRoutes) {
    const Comparison& comparison = comparisons[route] = Compare(windows, route);
    fresh[route] = comparison.m_new;
    old[route] = comparison.m_old;
    history[route] = HistoryOf(route).m_targets;
    oldCalls += comparison.m_oldCalls;
  }
  const VmId worstNew = WorstTarget(fresh);
  const VmId worstOld = WorstTarget(old);
  const VmId worstHistoric = WorstTarget(history);
  ExcessScores historic{};
  ExcessScores concurrent{};
  Counts allNew;
  Counts allOld;
  RouteName worstRoute;
  double worstScore = -std::numeric_limits<double>::infinity();
  for (const RouteName& route : aRoutes) {
    const Comparison& comparison = comparisons[route];
    const Counts newCounts = TotalWithout(worstNew, comparison.m_new);
    if (newCounts.m_calls <= 0) {
      continue;
    }
    const ExcessScores scores =
      FailureScores(newCounts, TotalWithout(worstHistoric, history[route]));
    AddScores(scores, historic);
    const Counts weighted = TotalWithout(worstOld, comparison.m_old);
    const double weight = Total(comparison.m_old).m_calls;
    const Counts oldCounts =
      weight > 0
        ? Scaled(weighted, comparison.m_oldCalls * weighted.m_calls / weight)
        : Counts();
    AddScores(FailureScores(newCounts, oldCounts), concurrent);
    allNew.Add(newCounts);
    allOld.Add(oldCounts);
    if (Best(scores) > worstScore) {
      worstScore = Best(scores);
      worstRoute = route;
    }
  }
  if (allNew.m_calls <= 0) {
    return;
  }
  const bool isCompared = oldCalls >= kMinConcurrentCalls;
  const double score =
    isCompared ? std::min(Best(historic), Best(concurrent)) : Best(historic);
  aFindings.m_verdict.m_isInDoubt |=
    allNew.m_failures >= kMinBadCalls &&
    score >= kDoubt * m_settings.m_verdictScore;
  // Suspicion only: a disturbance of several targets that begins with a large
  // share shows in the sum of the routes, and hardly any calls to the old
  // version are left to compare with.
  Offer({ .m_score = score,
          .m_bad = allNew.m_failures,
          .m_calls = allNew.m_calls,
          .m_isCompared = false,
          .m_route = worstRoute,
          .m_reason = "failures on all routes new=" +
                      Fraction(allNew.m_failures, allNew.m_calls) +
                      " old=" + Fraction(allOld.m_failures, allOld.m_calls) },
        aFindings);
}

void
BriefJudge::Offer(const Finding& aFinding, Findings& aFindings) const
{
  Verdict& verdict = aFindings.m_verdict;
  if (aFinding.m_score >= aFindings.m_evidenceScore) {
    aFindings.m_evidenceScore = aFinding.m_score;
    verdict.m_evidence = aFinding.m_route.Value() + " " + aFinding.m_reason +
                         ScoreText(aFinding.m_score);
  }
  const bool isCertain =
    aFinding.m_isCompared && aFinding.m_score >= m_settings.m_verdictScore;
  if (aFinding.m_bad < kMinBadCalls ||
      aFinding.m_score < aFindings.m_verdictScore ||
      (verdict.m_kind == VerdictKind::Bad && !isCertain)) {
    return;
  }
  aFindings.m_verdictScore = aFinding.m_score;
  verdict.m_kind = isCertain ? VerdictKind::Bad : VerdictKind::Suspect;
  verdict.m_route = aFinding.m_route;
  verdict.m_reason = aFinding.m_reason;
  verdict.m_calls = CallCount(static_cast<std::uint64_t>(aFinding.m_calls));
}

void
BriefJudge::ScoreRoute(const RouteName& aRoute, Findings& aFindings) const
{
  const RouteHistory history{ MakeOldCounts(HistoryOf(aRoute).m_targets) };
  for (const int divisor : kSpanDivisors) {
    ScoreSpan(aRoute, m_settings.m_lookback / divisor, history, aFindings);
  }
}

void
BriefJudge::ScoreSpan(const RouteName& aRoute,
                      Duration aSpan,
                      const RouteHistory& aHistory,
                      Findings& aFindings) const
{
  const std::vector<const EvidenceWindow*> windows = LastWindows(aSpan);
  const Comparison comparison = Compare(windows, aRoute);
  const Counts newCounts = TotalWithoutWorst(comparison.m_new);
  if (newCounts.m_calls <= 0) {
    return;
  }
  const OldCounts& historic = aHistory.m_counts;
  const OldCounts concurrent = ConcurrentCounts(comparison);
  const bool isCompared = comparison.m_oldCalls >= kMinConcurrentCalls;
  const auto offer =
    [&](double aScore, double aBad, const std::string& aReason) {
      Offer({ .m_score = aScore,
              .m_bad = aBad,
              .m_calls = newCounts.m_calls,
              .m_isCompared = isCompared,
              .m_route = aRoute,
              .m_reason = aReason },
            aFindings);
    };
  const auto score = [&](const auto& aTest) {
    const double historicScore = aTest(historic);
    return isCompared ? std::min(historicScore, aTest(concurrent))
                      : historicScore;
  };

  offer(score([&](const OldCounts& aOld) {
          return Best(FailureScores(newCounts, aOld.m_withoutWorst));
        }),
        newCounts.m_failures,
        "failures new=" + Fraction(newCounts.m_failures, newCounts.m_calls) +
          " old=" +
          Fraction(concurrent.m_withoutWorst.m_failures,
                   concurrent.m_withoutWorst.m_calls));

  if (historic.m_all.m_calls < kMinLatencyCalls) {
    return;
  }
  const Counts allNew = Total(comparison.m_new);
  const std::size_t firstSlow = FirstSlowBucket(historic.m_all);
  const double newSlow = SlowCalls(allNew, firstSlow);
  if (newSlow < kMinBadCalls) {
    return;
  }
  std::vector<LatencyCounts> targets;
  for (const auto& [target, counts] : comparison.m_new) {
    targets.push_back(counts.m_latency);
  }
  offer(score([&](const OldCounts& aOld) {
          return SlowCallTest(aOld.m_all.m_latency).Score(targets);
        }),
        newSlow,
        "slow-calls new=" + Fraction(newSlow, allNew.m_calls) + " old=" +
          Fraction(SlowCalls(concurrent.m_all, firstSlow),
                   concurrent.m_all.m_calls));
}

} // namespace tarragontray
