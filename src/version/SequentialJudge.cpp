#include "version/SequentialJudge.h"

#include <algorithm>
#include <utility>

namespace tarragontray {

namespace {

/// Bad calls below which a score is chance.
constexpr std::uint64_t kSuspectCalls = 2;
constexpr std::uint64_t kComparisonBadCalls = 3;
constexpr std::uint64_t kVerdictCalls = 3;
/// A comparison ends well after this many calls of the new version, or fewer
/// and this time, with nothing against it.
constexpr std::uint64_t kComparisonCalls = 40;
constexpr std::uint64_t kFewComparisonCalls = 12;
/// At this score few calls are enough.
constexpr double kClearScore = 1.0;
constexpr Duration kComparisonTime = std::chrono::seconds(20);
constexpr Duration kMinComparisonTime = std::chrono::seconds(3);
/// Comparisons after which a version counts as bad under load.
constexpr int kMaxFailuresUnderLoad = 3;
/// Comparisons at loads that the old version never carried.
constexpr int kMaxUnprovenComparisons = 2;

Verdict
MakeVerdict(VerdictKind aKind,
            const RouteName& aRoute,
            const SignalScore& aScore)
{
  return Verdict{
    aKind, aRoute, Describe(aScore), CallCount(aScore.m_new.m_calls)
  };
}

std::uint64_t
NewCalls(const EvidenceWindow& aWindow)
{
  std::uint64_t calls = 0;
  for (const WindowEntry& entry : aWindow.m_entries) {
    calls += entry.m_side == VersionSide::New ? entry.m_counters.m_calls : 0;
  }
  return calls;
}

} // namespace

void
SequentialJudge::AddHistory(const EvidenceWindow& aWindow)
{
  std::map<RouteName, std::vector<WindowEntry>> byRoute;
  for (const WindowEntry& entry : aWindow.m_entries) {
    if (entry.m_side == VersionSide::Old) {
      byRoute[entry.m_route].push_back(entry);
    }
  }
  for (auto& [route, entries] : byRoute) {
    m_routes[route].AddHistory(std::move(entries));
  }
}

void
SequentialJudge::AddWindow(const EvidenceWindow& aWindow)
{
  std::map<RouteName, std::vector<WindowEntry>> byRoute;
  for (const WindowEntry& entry : aWindow.m_entries) {
    byRoute[entry.m_route].push_back(entry);
    m_routes.try_emplace(entry.m_route);
    if (entry.m_side == VersionSide::New) {
      m_targets.insert(entry.m_target);
    }
  }
  // Load first: during a comparison only windows at comparable load count.
  m_loads.Add(aWindow, IsOldHealthy());
  const bool isComparable = m_loads.IsComparable();
  const WindowUse use{ aWindow.m_length,
                       !m_comparison || isComparable,
                       isComparable };
  for (auto& [name, route] : m_routes) {
    route.Add(byRoute[name], use);
  }
}

bool
SequentialJudge::IsOldHealthy() const
{
  return std::all_of(m_routes.begin(), m_routes.end(), [](const auto& aRoute) {
    return aRoute.second.IsOldHealthy(Signal::Failures) &&
           aRoute.second.IsOldHealthy(Signal::SlowCalls);
  });
}

SequentialJudge::WorstRoute
SequentialJudge::FindWorst(TestKind aKind) const
{
  WorstRoute worst;
  for (const auto& [name, route] : m_routes) {
    const SignalScore score = route.Worst(aKind, m_targets.size());
    if (worst.m_route.IsEmpty() || score.m_score > worst.m_score.m_score) {
      worst = WorstRoute{ name, score };
    }
  }
  return worst;
}

void
SequentialJudge::ResetSuspicion()
{
  for (auto& [name, route] : m_routes) {
    route.ResetSuspicion();
  }
}

Verdict
SequentialJudge::BeginComparison(const WorstRoute& aWorst)
{
  Verdict suspect =
    MakeVerdict(VerdictKind::Suspect, aWorst.m_route, aWorst.m_score);
  const bool isProven = m_loads.IsLoadProven();
  if (!isProven && m_unprovenComparisons >= kMaxUnprovenComparisons) {
    return suspect;
  }
  m_unprovenComparisons += isProven ? 0 : 1;
  Comparison comparison;
  comparison.m_cause = suspect;
  comparison.m_signal = aWorst.m_score.m_signal;
  comparison.m_isProven = isProven;
  m_comparison = std::move(comparison);
  ResetSuspicion();
  Verdict verdict = suspect;
  verdict.m_kind = VerdictKind::NeedsComparison;
  return verdict;
}

Verdict
SequentialJudge::EndComparison()
{
  const Comparison ended = *m_comparison;
  m_comparison.reset();
  ResetSuspicion();
  if (!m_limits.m_detectsLoadFaults || !ended.m_isProven ||
      !ended.m_wasOldHealthy) {
    return Verdict();
  }
  ++m_failuresUnderLoad;
  if (m_failuresUnderLoad < kMaxFailuresUnderLoad) {
    return Verdict();
  }
  Verdict verdict = ended.m_cause;
  verdict.m_kind = VerdictKind::Bad;
  verdict.m_reason += " only-under-load=" + std::to_string(m_failuresUnderLoad);
  return verdict;
}

Verdict
SequentialJudge::AbandonComparison()
{
  m_comparison.reset();
  ResetSuspicion();
  return Verdict();
}

Verdict
SequentialJudge::Compare(const EvidenceWindow& aWindow,
                         const WorstRoute& aWorst)
{
  m_comparison->m_length += aWindow.m_length;
  if (!m_loads.IsComparable()) {
    return m_comparison->m_length < kComparisonTime ? m_comparison->m_cause
                                                    : AbandonComparison();
  }
  const auto route = m_routes.find(m_comparison->m_cause.m_route);
  m_comparison->m_wasOldHealthy &=
    route == m_routes.end() ||
    route->second.IsOldHealthy(m_comparison->m_signal);
  m_comparison->m_comparableLength += aWindow.m_length;
  m_comparison->m_calls += NewCalls(aWindow);
  if (aWorst.m_score.m_score >= m_limits.m_suspectScore) {
    return MakeVerdict(VerdictKind::Suspect, aWorst.m_route, aWorst.m_score);
  }
  const bool isEnough = m_comparison->m_calls >= kComparisonCalls &&
                        m_comparison->m_comparableLength >= kMinComparisonTime;
  const bool isClear = aWorst.m_score.m_score <= kClearScore ||
                       m_comparison->m_comparableLength >= kComparisonTime;
  if (isEnough || (isClear && m_comparison->m_calls >= kFewComparisonCalls)) {
    return EndComparison();
  }
  return m_comparison->m_cause;
}

Verdict
SequentialJudge::Judge(const EvidenceWindow& aWindow)
{
  AddWindow(aWindow);
  const WorstRoute compared = FindWorst(TestKind::Verdict);
  if (compared.m_score.m_score >= m_limits.m_verdictScore &&
      compared.m_score.m_new.m_bad >= kVerdictCalls) {
    return MakeVerdict(VerdictKind::Bad, compared.m_route, compared.m_score);
  }
  if (m_comparison) {
    return Compare(aWindow, compared);
  }
  const WorstRoute worst = FindWorst(TestKind::Suspicion);
  if (worst.m_score.m_score < m_limits.m_suspectScore ||
      worst.m_score.m_new.m_bad < kSuspectCalls) {
    return Verdict();
  }
  if (m_loads.IsComparable()) {
    return MakeVerdict(VerdictKind::Suspect, worst.m_route, worst.m_score);
  }
  return worst.m_score.m_new.m_bad < kComparisonBadCalls
           ? Verdict()
           : BeginComparison(worst);
}

} // namespace tarragontray
