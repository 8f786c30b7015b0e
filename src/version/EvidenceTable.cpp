#include "version/EvidenceTable.h"

#include <algorithm>

#include "version/VersionSplit.h"

namespace tarragontray {

namespace {

/// Calls of a target before it counts as evidence.
constexpr std::uint64_t kFirstCalls = 2;
/// Calls of a target, and time since its first one, before its latency counts.
constexpr std::uint64_t kWarmUpCalls = 5;
constexpr Duration kWarmUp = std::chrono::seconds(5);

VersionCounters
Difference(const VersionCounters& aLater, const VersionCounters& aEarlier)
{
  VersionCounters delta;
  delta.m_calls = aLater.m_calls - aEarlier.m_calls;
  delta.m_failures = aLater.m_failures - aEarlier.m_failures;
  delta.m_callerErrors = aLater.m_callerErrors - aEarlier.m_callerErrors;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    delta.m_latency[i] = aLater.m_latency[i] - aEarlier.m_latency[i];
  }
  return delta;
}

} // namespace

void
MergeMax(VersionCounters& aInto, const VersionCounters& aFrom)
{
  aInto.m_calls = std::max(aInto.m_calls, aFrom.m_calls);
  aInto.m_failures = std::max(aInto.m_failures, aFrom.m_failures);
  aInto.m_callerErrors = std::max(aInto.m_callerErrors, aFrom.m_callerErrors);
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    aInto.m_latency[i] = std::max(aInto.m_latency[i], aFrom.m_latency[i]);
  }
}

void
AddCounters(VersionCounters& aInto, const VersionCounters& aFrom)
{
  aInto.m_calls += aFrom.m_calls;
  aInto.m_failures += aFrom.m_failures;
  aInto.m_callerErrors += aFrom.m_callerErrors;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    aInto.m_latency[i] += aFrom.m_latency[i];
  }
}

EvidenceTable::Reporter*
EvidenceTable::FindReporter(const EvidenceReport& aReport, bool& aIsFirst)
{
  const auto found = m_reporters.find(aReport.m_reporter);
  aIsFirst = found == m_reporters.end();
  if (aIsFirst) {
    if (m_reporters.size() >= kMaxReporters) {
      ++m_rejectedCount;
      return nullptr;
    }
    Reporter& reporter = m_reporters[aReport.m_reporter];
    reporter.m_incarnation = aReport.m_incarnation;
    return &reporter;
  }
  Reporter& reporter = found->second;
  if (aReport.m_incarnation < reporter.m_incarnation) {
    return nullptr;
  }
  if (aReport.m_incarnation > reporter.m_incarnation) {
    reporter = Reporter{ aReport.m_incarnation, {} };
  }
  return &reporter;
}

void
EvidenceTable::AddEntry(Reporter& aReporter,
                        const EvidenceEntry& aEntry,
                        bool aIsBaseline)
{
  if (aEntry.m_version != m_plan.m_to &&
      !MatchesVersion(m_plan.m_from, m_plan.m_to, aEntry.m_version)) {
    return;
  }
  const EntryKey key{ aEntry.m_route, aEntry.m_version, aEntry.m_target };
  if (aReporter.m_entries.size() >= kMaxEntries &&
      !aReporter.m_entries.contains(key)) {
    ++m_rejectedCount;
    return;
  }
  Entry& entry = aReporter.m_entries[key];
  MergeMax(entry.m_latest, aEntry.m_counters);
  if (aIsBaseline) {
    entry.m_taken = entry.m_latest;
  }
}

void
EvidenceTable::AddReport(const EvidenceReport& aReport)
{
  bool isFirst = false;
  Reporter* const reporter = FindReporter(aReport, isFirst);
  if (reporter == nullptr) {
    return;
  }
  for (const EvidenceEntry& entry : aReport.m_entries) {
    AddEntry(*reporter, entry, m_isFirstReportBaseline && isFirst);
  }
}

std::map<EvidenceTable::EntryKey, VersionCounters>
EvidenceTable::TakeDeltas()
{
  std::map<EntryKey, VersionCounters> deltas;
  for (auto& [vm, reporter] : m_reporters) {
    for (auto& [key, entry] : reporter.m_entries) {
      if (entry.m_latest == entry.m_taken) {
        continue;
      }
      AddCounters(deltas[key], Difference(entry.m_latest, entry.m_taken));
      entry.m_taken = entry.m_latest;
    }
  }
  return deltas;
}

WindowEntry
EvidenceTable::MakeEntry(const EntryKey& aKey,
                         const VersionCounters& aDelta,
                         MonotonicTime aNow)
{
  const auto& [route, version, target] = aKey;
  const auto [known, isNew] = m_targets.try_emplace(
    std::tuple{ version, target }, TargetHistory{ 0, aNow });
  const TargetHistory& history = known->second;
  WindowEntry entry;
  entry.m_route = route;
  entry.m_side = version == m_plan.m_to ? VersionSide::New : VersionSide::Old;
  entry.m_target = target;
  entry.m_counters = aDelta;
  entry.m_hasTooFewCalls = history.m_calls < kFirstCalls;
  entry.m_isWarming =
    history.m_calls < kWarmUpCalls || aNow - history.m_firstSeen < kWarmUp;
  return entry;
}

EvidenceWindow
EvidenceTable::TakeWindow(MonotonicTime aNow)
{
  EvidenceWindow window;
  window.m_length = aNow - m_lastTaken;
  m_lastTaken = aNow;
  const std::map<EntryKey, VersionCounters> deltas = TakeDeltas();
  for (const auto& [key, delta] : deltas) {
    window.m_entries.push_back(MakeEntry(key, delta, aNow));
  }
  // Counted after all entries are made, so that a target's first window is
  // fresh on every route.
  for (const auto& [key, delta] : deltas) {
    const auto& [route, version, target] = key;
    m_targets[std::tuple{ version, target }].m_calls += delta.m_calls;
  }
  return window;
}

} // namespace tarragontray
