#include "version/BriefMovePolicy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <iomanip>
#include <limits>
#include <map>
#include <sstream>
#include <string>
#include <utility>

#include "version/EvidenceTable.h"

namespace tarragontray {

namespace {

/// A share that is due from a fraction of the planned time on.
struct Stage
{
  double m_from;
  double m_share;
};

/// At a constant call rate, the stages below the full share receive 6 % of the
/// calls between start and deadline.
constexpr std::array<Stage, 7> kStages{ { { 0.20, 0.02 },
                                          { 0.30, 0.04 },
                                          { 0.40, 0.07 },
                                          { 0.58, 0.14 },
                                          { 0.62, 0.28 },
                                          { 0.66, 0.50 },
                                          { 0.70, 1.00 } } };
/// The minimum time between two raises, as a fraction of the planned time.
constexpr double kMinStepFraction = 0.035;

/// With fewer bad calls to the new version, a high score may be chance.
constexpr double kMinBadCalls = 4;
/// The smallest increase of the failure rate and of the slow-call rate that the
/// tests are to detect.
constexpr double kFailureExcess = 0.15;
constexpr double kSlowExcess = 0.30;
/// Lower bounds of the old version's rates: lower observed rates are not
/// reliable.
constexpr double kMinFailureRate = 0.01;
constexpr double kMinSlowRate = 0.05;
constexpr double kMaxRate = 0.95;
/// The fraction of the old version's calls that counts as not slow.
constexpr double kUsualFraction = 0.97;
/// Distance in buckets from the usual to the slow latencies of the old
/// version: a factor of four.
constexpr std::size_t kSlowBuckets = 4;
/// Calls to the old version required to determine its usual latency.
constexpr std::uint64_t kMinHistoryCalls = 20;

/// A number of calls, and how many of them were bad.
struct Counts
{
  double m_calls = 0;
  double m_bad = 0;

  Counts& operator+=(const Counts& aOther)
  {
    m_calls += aOther.m_calls;
    m_bad += aOther.m_bad;
    return *this;
  }
};

Counts
Failures(const VersionCounters& aCounters)
{
  return { static_cast<double>(aCounters.m_calls),
           static_cast<double>(aCounters.m_failures +
                               aCounters.m_callerErrors) };
}

Counts
SlowCalls(const VersionCounters& aCounters, std::size_t aFirstSlow)
{
  Counts counts{ static_cast<double>(aCounters.m_calls), 0 };
  for (std::size_t i = aFirstSlow; i < kLatencyBuckets; ++i) {
    counts.m_bad += aCounters.m_latency[i];
  }
  return counts;
}

/// The first bucket that counts as slow compared with the old version's calls.
std::size_t
FirstSlowBucket(const VersionCounters& aHistory)
{
  double seen = 0;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    seen += aHistory.m_latency[i];
    if (seen >= kUsualFraction * static_cast<double>(aHistory.m_calls)) {
      return std::min(i + kSlowBuckets, kLatencyBuckets - 1);
    }
  }
  return kLatencyBuckets;
}

double
Rate(const Counts& aCounts, double aLeast)
{
  return aCounts.m_calls > 0 ? std::max(aLeast, aCounts.m_bad / aCounts.m_calls)
                             : aLeast;
}

double
LogLikelihoodRatio(const Counts& aCounts, double aReference, double aExcess)
{
  const double reference = std::min(aReference, kMaxRate - aExcess);
  const double alternative = reference + aExcess;
  const double good = aCounts.m_calls - aCounts.m_bad;
  return aCounts.m_bad * std::log(alternative / reference) +
         good * std::log((1 - alternative) / (1 - reference));
}

/// One kind of bad call, with the lower bound of the old version's rate and the
/// increase to detect.
struct Signal
{
  const char* m_name;
  double m_minRate;
  double m_excess;
};

constexpr Signal kFailureSignal{ "failures", kMinFailureRate, kFailureExcess };
constexpr Signal kSlowSignal{ "slow-calls", kMinSlowRate, kSlowExcess };

using CountsByTarget = std::map<VmId, Counts>;

/// The counts of all targets except the one with the most bad calls.
Counts
WithoutWorst(const CountsByTarget& aTargets)
{
  Counts all;
  const Counts* worst = nullptr;
  for (const auto& [target, counts] : aTargets) {
    all += counts;
    if (worst == nullptr || counts.m_bad > worst->m_bad) {
      worst = &counts;
    }
  }
  if (aTargets.size() > 1) {
    all.m_calls -= worst->m_calls;
    all.m_bad -= worst->m_bad;
  }
  return all;
}

std::string
Describe(const Signal& aSignal, const Counts& aNew, const Counts& aOld)
{
  const auto text = [](double aNumber) {
    return std::to_string(static_cast<std::uint64_t>(aNumber));
  };
  return std::string(aSignal.m_name) + " new=" + text(aNew.m_bad) + "/" +
         text(aNew.m_calls) + " old=" + text(aOld.m_bad) + "/" +
         text(aOld.m_calls);
}

std::string
ScoreText(double aScore)
{
  std::ostringstream text;
  text << " score=" << std::fixed << std::setprecision(1) << aScore;
  return text.str();
}

/// The counters of one route within BriefMoveSettings::m_lookback.
struct RouteCounters
{
  std::map<VmId, VersionCounters> m_new;
  VersionCounters m_old;
};

class BriefJudge final : public VersionJudge
{
public:
  explicit BriefJudge(const BriefMoveSettings& aSettings)
    : m_settings(aSettings)
  {
  }

  void AddHistory(const EvidenceWindow& aWindow) override
  {
    for (const WindowEntry& entry : aWindow.m_entries) {
      if (entry.m_side == VersionSide::Old) {
        AddCounters(m_history[entry.m_route], entry.m_counters);
      }
    }
  }

  Verdict Judge(const EvidenceWindow& aWindow) override
  {
    AddHistory(aWindow);
    AddWindow(aWindow);
    Verdict worst;
    double highest = -std::numeric_limits<double>::infinity();
    for (const auto& [route, routeCounters] : Sum()) {
      ScoreSignal(route, routeCounters, kFailureSignal, highest, worst);
      ScoreSignal(route, routeCounters, kSlowSignal, highest, worst);
    }
    return worst;
  }

private:
  void AddWindow(const EvidenceWindow& aWindow)
  {
    m_windows.push_back(aWindow);
    m_length += aWindow.m_length;
    while (m_length - m_windows.front().m_length >= m_settings.m_lookback) {
      m_length -= m_windows.front().m_length;
      m_windows.pop_front();
    }
  }

  std::map<RouteName, RouteCounters> Sum() const
  {
    std::map<RouteName, RouteCounters> routes;
    for (const EvidenceWindow& window : m_windows) {
      for (const WindowEntry& entry : window.m_entries) {
        RouteCounters& route = routes[entry.m_route];
        AddCounters(entry.m_side == VersionSide::New
                      ? route.m_new[entry.m_target]
                      : route.m_old,
                    entry.m_counters);
      }
    }
    return routes;
  }

  void ScoreSignal(const RouteName& aRoute,
                   const RouteCounters& aRouteCounters,
                   const Signal& aSignal,
                   double& aHighest,
                   Verdict& aVerdict) const
  {
    const auto known = m_history.find(aRoute);
    static const VersionCounters kNone;
    const VersionCounters& history =
      known == m_history.end() ? kNone : known->second;
    const bool isSlow = &aSignal == &kSlowSignal;
    if (isSlow && history.m_calls < kMinHistoryCalls) {
      return;
    }
    const std::size_t firstSlow = FirstSlowBucket(history);
    const auto count = [&](const VersionCounters& aCounters) {
      return isSlow ? SlowCalls(aCounters, firstSlow) : Failures(aCounters);
    };
    CountsByTarget targets;
    for (const auto& [target, counters] : aRouteCounters.m_new) {
      targets[target] = count(counters);
    }
    const Counts newCounts = WithoutWorst(targets);
    // The higher of the historical and the current rate, so that a fault of
    // both versions is not attributed to the new one.
    const double reference =
      std::max(Rate(count(history), aSignal.m_minRate),
               Rate(count(aRouteCounters.m_old), aSignal.m_minRate));
    const double score =
      LogLikelihoodRatio(newCounts, reference, aSignal.m_excess);
    if (newCounts.m_calls <= 0 || score < aHighest) {
      return;
    }
    aHighest = score;
    const std::string reason = Describe(aSignal, newCounts, count(history));
    aVerdict = Verdict();
    aVerdict.m_evidence = aRoute.Value() + " " + reason + ScoreText(score);
    if (newCounts.m_bad >= kMinBadCalls && score >= m_settings.m_verdictScore) {
      aVerdict.m_kind = VerdictKind::Bad;
      aVerdict.m_route = aRoute;
      aVerdict.m_reason = reason;
      aVerdict.m_calls =
        CallCount(static_cast<std::uint64_t>(newCounts.m_calls));
    }
  }

  BriefMoveSettings m_settings;
  std::deque<EvidenceWindow> m_windows;
  Duration m_length{ 0 };
  std::map<RouteName, VersionCounters> m_history;
};

} // namespace

Result<std::unique_ptr<MovePolicy>>
BriefMovePolicy::Create(const BriefMoveSettings& aSettings)
{
  if (aSettings.m_verdictScore <= 0 ||
      aSettings.m_lookback <= Duration::zero()) {
    return Error(ErrorCode::InvalidArgument,
                 "moves.policy",
                 "",
                 "the verdict score and the lookback must be positive");
  }
  return std::unique_ptr<MovePolicy>(new BriefMovePolicy(aSettings));
}

Share
BriefMovePolicy::NextShare(const PaceInput& aInput) const
{
  const Duration planned = aInput.m_plan.m_deadline - aInput.m_plan.m_start;
  const Duration elapsed = aInput.m_wall - aInput.m_plan.m_start;
  const auto shortest =
    std::chrono::duration_cast<Duration>(planned * kMinStepFraction);
  const bool isFirst = aInput.m_share == Share::None();
  if (elapsed < Duration::zero() ||
      (!isFirst && aInput.m_sinceChange < shortest)) {
    return aInput.m_share;
  }
  const double fraction =
    std::chrono::duration<double>(elapsed).count() /
    std::chrono::duration<double>(std::max(planned, Duration(1))).count();
  // At most one stage per call, even if several are overdue.
  for (const Stage& stage : kStages) {
    const Share share = Share::FromFraction(stage.m_share);
    if (fraction >= stage.m_from && share > aInput.m_share) {
      return share;
    }
  }
  return aInput.m_share;
}

std::unique_ptr<VersionJudge>
BriefMovePolicy::MakeJudge(EvidenceScope aScope) const
{
  BriefMoveSettings settings = m_settings;
  if (aScope == EvidenceScope::Node) {
    // Each of many nodes can veto, so each needs stronger evidence.
    constexpr double kNodeFactor = 1.5;
    settings.m_verdictScore *= kNodeFactor;
  }
  return std::make_unique<BriefJudge>(settings);
}

} // namespace tarragontray
