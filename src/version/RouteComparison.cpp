#include "version/RouteComparison.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace tarragontray {

namespace {

/// Calls that the old version's past weighs in a window's reference.
constexpr double kHistoryWeight = 20.0;
/// Assumed of an old version without a past.
constexpr double kPriorRate = 0.002;
constexpr double kPriorCalls = 5.0;
/// What one window's past is worth at the next one.
constexpr double kHistoryDecay = 0.98;
/// The same for a window in which the old version was unhealthy, so that a
/// passing fault does not hide a later one.
constexpr double kUnhealthyWeight = 0.1;
/// Bad calls of the old version in one window that count as a shared fault.
constexpr std::uint64_t kSharedFaultCalls = 2;
/// How far above the old version's rate a shared fault may show in the new one.
constexpr double kSharedFaultDeviations = 1.5;
/// Windows are joined until the old version has so many calls, or so long.
constexpr std::uint64_t kMinOldCalls = 12;
constexpr Duration kMaxWait = std::chrono::seconds(10);
/// Calls that a latency limit needs.
constexpr double kLatencyCalls = 30.0;
constexpr double kSlowQuantile = 0.9;
constexpr double kMedianQuantile = 0.5;
/// Buckets from a quantile's to the limit; each is a factor of sqrt(2).
constexpr std::size_t kLimitBuckets = 1;

/// How far above the old version the new one may be, and what counts as bad.
struct SignalRule
{
  std::string_view m_name;
  double m_tolerance;
  std::array<double, 3> m_excess;
};

constexpr std::array<SignalRule, kSignals> kRules{ {
  { "failures", 0.005, { 0.03, 0.15, 0.5 } },
  { "caller-errors", 0.02, { 0.05, 0.2, 0.5 } },
  { "slow-calls", 0.05, { 0.1, 0.25, 0.5 } },
  { "above-median", 0.15, { 0.1, 0.2, 0.4 } },
} };

std::size_t
Index(Signal aSignal)
{
  return static_cast<std::size_t>(aSignal);
}

double
Rate(const BadCount& aCount)
{
  return aCount.m_calls == 0 ? 0.0
                             : static_cast<double>(aCount.m_bad) /
                                 static_cast<double>(aCount.m_calls);
}

/// One standard deviation above the past rate, so that a thin past does not
/// count for more than it knows.
double
HistoryRate(double aCalls, double aBad)
{
  const double calls = aCalls + kPriorCalls;
  const double rate = (aBad + kPriorRate * kPriorCalls) / calls;
  return rate + std::sqrt(rate * (1.0 - rate) / calls);
}

/// The old version's rate in a window, steadied by its past.
double
Reference(const BadCount& aOld, double aPastRate)
{
  const auto calls = static_cast<double>(aOld.m_calls);
  const auto bad = static_cast<double>(aOld.m_bad);
  const double pooled =
    (bad + kHistoryWeight * aPastRate) / (calls + kHistoryWeight);
  if (aOld.m_bad < kSharedFaultCalls) {
    return pooled;
  }
  const double rate = bad / calls;
  const double deviation = std::sqrt(rate * (1.0 - rate) / calls);
  return std::max(pooled, rate + kSharedFaultDeviations * deviation);
}

/// The limit that lies above a number of calls.
std::size_t
LimitAbove(const std::array<double, kLatencyBuckets>& aLatency, double aCalls)
{
  double below = 0.0;
  std::size_t bucket = 0;
  while (bucket + 1 < kLatencyBuckets) {
    below += aLatency[bucket];
    if (below >= aCalls) {
      break;
    }
    ++bucket;
  }
  return std::min(bucket + kLimitBuckets, kLatencyBuckets - 2);
}

} // namespace

std::string_view
Name(Signal aSignal)
{
  return kRules[Index(aSignal)].m_name;
}

std::string
Describe(const SignalScore& aScore)
{
  const auto ratio = [](const BadCount& aCount) {
    return std::to_string(aCount.m_bad) + "/" + std::to_string(aCount.m_calls);
  };
  return std::string(Name(aScore.m_signal)) + " new=" + ratio(aScore.m_new) +
         " old=" + ratio(aScore.m_old);
}

std::optional<std::uint64_t>
RouteComparison::BadCalls(const WindowEntry& aEntry, Signal aSignal) const
{
  if (aEntry.m_hasTooFewCalls) {
    return std::nullopt;
  }
  const VersionCounters& counters = aEntry.m_counters;
  switch (aSignal) {
    case Signal::Failures:
      return counters.m_failures;
    case Signal::CallerErrors:
      return counters.m_callerErrors;
    case Signal::SlowCalls:
    case Signal::AboveMedian:
      break;
  }
  if (aEntry.m_isWarming || !m_limits) {
    return std::nullopt;
  }
  const std::size_t limit =
    aSignal == Signal::SlowCalls ? m_limits->m_slow : m_limits->m_median;
  const auto first =
    counters.m_latency.begin() + static_cast<std::ptrdiff_t>(limit) + 1;
  return std::accumulate(first, counters.m_latency.end(), std::uint64_t{ 0 });
}

void
RouteComparison::TestState::Add(const TestRates& aRates,
                                const std::vector<TargetSample>& aSamples,
                                const BadCount& aOld)
{
  m_test.Add(aRates, aSamples);
  m_oldEpisode += aOld;
  if (m_test.Episode().m_calls == 0) {
    m_oldEpisode = BadCount();
  }
}

void
RouteComparison::AddSignal(Signal aSignal, const WindowUse& aUse)
{
  BadCount old;
  std::vector<TargetSample> samples;
  for (const WindowEntry& entry : m_pending) {
    const std::optional<std::uint64_t> bad = BadCalls(entry, aSignal);
    if (!bad) {
      continue;
    }
    const std::uint64_t calls = entry.m_counters.m_calls;
    const std::uint64_t bounded = std::min(*bad, calls);
    if (entry.m_side == VersionSide::Old) {
      old += BadCount{ calls, bounded };
    } else {
      samples.push_back({ entry.m_target, calls, bounded });
    }
  }
  SignalState& state = m_signals[Index(aSignal)];
  const SignalRule& rule = kRules[Index(aSignal)];
  const double pastRate = HistoryRate(state.m_historyCalls, state.m_historyBad);
  state.m_reference = Reference(old, pastRate) + rule.m_tolerance;
  state.m_isOldHealthy = old.m_bad < kSharedFaultCalls ||
                         Rate(old) <= pastRate + 4 * rule.m_tolerance;
  const TestRates rates{ state.m_reference, rule.m_excess };
  if (aUse.m_test && !samples.empty()) {
    state.m_suspicion.Add(rates, samples, old);
  }
  if (aUse.m_isComparable && !samples.empty()) {
    state.m_verdict.Add(rates, samples, old);
  }
  if (old.m_calls > 0) {
    const double weight = state.m_isOldHealthy ? 1.0 : kUnhealthyWeight;
    state.m_historyCalls = state.m_historyCalls * kHistoryDecay +
                           weight * static_cast<double>(old.m_calls);
    state.m_historyBad = state.m_historyBad * kHistoryDecay +
                         weight * static_cast<double>(old.m_bad);
  }
}

void
RouteComparison::AddLatencyHistory()
{
  bool sawOld = false;
  std::array<double, kLatencyBuckets> window{};
  for (const WindowEntry& entry : m_pending) {
    if (entry.m_side == VersionSide::New || entry.m_hasTooFewCalls ||
        entry.m_isWarming) {
      continue;
    }
    sawOld = true;
    for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
      window[i] += static_cast<double>(entry.m_counters.m_latency[i]);
    }
  }
  if (!sawOld) {
    return;
  }
  const double weight =
    IsOldHealthy(Signal::SlowCalls) ? 1.0 : kUnhealthyWeight;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    m_latencyHistory[i] =
      m_latencyHistory[i] * kHistoryDecay + weight * window[i];
  }
  SetLatencyLimits();
}

void
RouteComparison::SetLatencyLimits()
{
  const double total =
    std::accumulate(m_latencyHistory.begin(), m_latencyHistory.end(), 0.0);
  if (total < kLatencyCalls) {
    return;
  }
  m_limits = LatencyLimits{
    LimitAbove(m_latencyHistory, kSlowQuantile * total),
    LimitAbove(m_latencyHistory, kMedianQuantile * total),
  };
}

bool
RouteComparison::MustWait(const WindowUse& aUse) const
{
  if (!aUse.m_test || !aUse.m_isComparable || m_pendingLength >= kMaxWait) {
    return false;
  }
  std::uint64_t oldCalls = 0;
  for (const WindowEntry& entry : m_pending) {
    oldCalls += entry.m_side == VersionSide::Old ? entry.m_counters.m_calls : 0;
  }
  return oldCalls < kMinOldCalls;
}

void
RouteComparison::AddHistory(std::vector<WindowEntry> aEntries)
{
  for (WindowEntry& entry : aEntries) {
    entry.m_hasTooFewCalls = false;
    entry.m_isWarming = false;
  }
  m_pending = std::move(aEntries);
  // First, since the limits decide which calls were slow.
  AddLatencyHistory();
  const WindowUse pastOnly{ Duration::zero(), false, false };
  for (std::size_t i = 0; i < kSignals; ++i) {
    AddSignal(static_cast<Signal>(i), pastOnly);
  }
  m_pending.clear();
}

void
RouteComparison::Add(const std::vector<WindowEntry>& aEntries,
                     const WindowUse& aUse)
{
  m_pending.insert(m_pending.end(), aEntries.begin(), aEntries.end());
  m_pendingLength += aUse.m_length;
  if (MustWait(aUse)) {
    return;
  }
  for (std::size_t i = 0; i < kSignals; ++i) {
    AddSignal(static_cast<Signal>(i), aUse);
  }
  AddLatencyHistory();
  m_pending.clear();
  m_pendingLength = Duration::zero();
}

SignalScore
RouteComparison::Worst(TestKind aKind, std::size_t aTargets) const
{
  SignalScore worst;
  for (std::size_t i = 0; i < kSignals; ++i) {
    const SignalState& state = m_signals[i];
    const TestState& test =
      aKind == TestKind::Verdict ? state.m_verdict : state.m_suspicion;
    const double score = test.m_test.Score(aTargets);
    if (i == 0 || score > worst.m_score) {
      worst = SignalScore{ static_cast<Signal>(i),
                           score,
                           test.m_test.Episode(),
                           test.m_oldEpisode,
                           state.m_reference };
    }
  }
  return worst;
}

bool
RouteComparison::IsOldHealthy(Signal aSignal) const
{
  return m_signals[Index(aSignal)].m_isOldHealthy;
}

void
RouteComparison::ResetSuspicion()
{
  for (SignalState& state : m_signals) {
    state.m_suspicion = TestState();
  }
}

} // namespace tarragontray
