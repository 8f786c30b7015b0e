#include "process/Ledger.h"

#include <algorithm>
#include <utility>

namespace tarragontray {

namespace {

/// Raises aInto to the maximum of both; true when it changed.
bool
Raise(Usage& aInto, const Usage& aFrom)
{
  const Usage before = aInto;
  aInto.m_calls = std::max(aInto.m_calls, aFrom.m_calls);
  aInto.m_slotTime = std::max(aInto.m_slotTime, aFrom.m_slotTime);
  return aInto != before;
}

} // namespace

Result<Ledger>
Ledger::Create(LedgerSettings aSettings)
{
  const bool hasBounds = aSettings.m_reportsPerRound > 0 &&
                         aSettings.m_maxKeys > 0 && aSettings.m_maxSources > 0;
  if (!hasBounds) {
    return Error(ErrorCode::InvalidArgument, "ledger.create", "", "bound=0");
  }
  return Ledger(std::move(aSettings));
}

Ledger::Ledger(LedgerSettings aSettings)
  : m_settings(std::move(aSettings))
  , m_own{ m_settings.m_vm, m_settings.m_incarnation }
{
  m_sources[m_own];
}

void
Ledger::Add(const UsageKey& aKey, const Usage& aUsage)
{
  Source& own = m_sources.at(m_own);
  Usage* usage = FindOrAdd(own, aKey);
  if (usage == nullptr) {
    ++m_turnedAway;
    return;
  }
  usage->m_calls += aUsage.m_calls;
  usage->m_slotTime += aUsage.m_slotTime;
  MarkDirty(own);
}

bool
Ledger::Merge(const UsageReport& aReport)
{
  Source* source = FindOrAddSource({ aReport.m_vm, aReport.m_incarnation });
  if (source == nullptr) {
    ++m_turnedAway;
    return false;
  }
  bool isNew = false;
  for (const UsageEntry& entry : aReport.m_entries) {
    Usage* usage = FindOrAdd(*source, entry.m_key);
    if (usage == nullptr) {
      ++m_turnedAway;
    } else if (Raise(*usage, entry.m_usage)) {
      isNew = true;
    }
  }
  if (isNew) {
    MarkDirty(*source);
  }
  return isNew;
}

std::vector<UsageReport>
Ledger::TakeDue(MonotonicTime aNow)
{
  std::vector<UsageReport> reports;
  if (aNow < m_nextRound) {
    return reports;
  }
  m_nextRound = aNow + m_settings.m_reportInterval;
  std::vector<std::pair<const SourceId, Source>*> dirty;
  for (auto& source : m_sources) {
    if (source.second.m_isDirty) {
      dirty.push_back(&source);
    }
  }
  std::sort(
    dirty.begin(), dirty.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->second.m_dirtySince < aRight->second.m_dirtySince;
    });
  dirty.resize(std::min(dirty.size(), m_settings.m_reportsPerRound));
  for (auto* source : dirty) {
    source->second.m_isDirty = false;
    reports.push_back(ReportOf(source->first, source->second));
  }
  return reports;
}

void
Ledger::WriteFailed(const VmId& aVm, Incarnation aIncarnation)
{
  const auto found = m_sources.find({ aVm, aIncarnation });
  if (found != m_sources.end()) {
    MarkDirty(found->second);
  }
}

std::vector<UsageEntry>
Ledger::Totals() const
{
  std::map<UsageKey, Usage> sums;
  for (const auto& [id, source] : m_sources) {
    for (const auto& [key, usage] : source.m_counts) {
      Usage& sum = sums[key];
      sum.m_calls += usage.m_calls;
      sum.m_slotTime += usage.m_slotTime;
    }
  }
  std::vector<UsageEntry> totals;
  totals.reserve(sums.size());
  for (const auto& [key, usage] : sums) {
    totals.push_back({ key, usage });
  }
  return totals;
}

UsageReport
Ledger::Own() const
{
  return ReportOf(m_own, m_sources.at(m_own));
}

Usage*
Ledger::FindOrAdd(Source& aSource, const UsageKey& aKey)
{
  const auto found = aSource.m_counts.find(aKey);
  if (found != aSource.m_counts.end()) {
    return &found->second;
  }
  return aSource.m_counts.size() < m_settings.m_maxKeys
           ? &aSource.m_counts[aKey]
           : nullptr;
}

Ledger::Source*
Ledger::FindOrAddSource(const SourceId& aId)
{
  const auto found = m_sources.find(aId);
  if (found != m_sources.end()) {
    return &found->second;
  }
  return m_sources.size() < m_settings.m_maxSources ? &m_sources[aId] : nullptr;
}

void
Ledger::MarkDirty(Source& aSource)
{
  if (!aSource.m_isDirty) {
    aSource.m_isDirty = true;
    aSource.m_dirtySince = ++m_changes;
  }
}

UsageReport
Ledger::ReportOf(const SourceId& aId, const Source& aSource)
{
  UsageReport report{ aId.m_vm, aId.m_incarnation, {} };
  report.m_entries.reserve(aSource.m_counts.size());
  for (const auto& [key, usage] : aSource.m_counts) {
    report.m_entries.push_back({ key, usage });
  }
  return report;
}

} // namespace tarragontray
