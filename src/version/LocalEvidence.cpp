#include "version/LocalEvidence.h"

#include "version/EvidenceTable.h"

namespace tarragontray {

namespace {

constexpr int kSendsPerChange = 2;

} // namespace

void
LocalEvidence::Add(const LocalObservation& aObservation)
{
  if (aObservation.m_isStarting) {
    return;
  }
  const EntryKey key{ aObservation.m_route,
                      aObservation.m_version,
                      aObservation.m_target };
  if (m_entries.size() >= kMaxEntries && !m_entries.contains(key)) {
    ++m_rejectedCount;
    return;
  }
  Entry& entry = m_entries[key];
  AddCounters(entry.m_counters, aObservation.m_delta);
  entry.m_sendsLeft = kSendsPerChange;
}

EvidenceEntry
LocalEvidence::MakeEntry(const EntryKey& aKey, const Entry& aEntry)
{
  const auto& [route, version, target] = aKey;
  return EvidenceEntry{ route, version, target, aEntry.m_counters };
}

std::optional<EvidenceReport>
LocalEvidence::TakeReport(MonotonicTime aNow, Duration aInterval)
{
  if (m_lastReport && aNow - *m_lastReport < aInterval) {
    return std::nullopt;
  }
  EvidenceReport report = m_header;
  for (auto& [key, entry] : m_entries) {
    if (entry.m_sendsLeft > 0 && report.m_entries.size() < kMaxReportEntries) {
      --entry.m_sendsLeft;
      report.m_entries.push_back(MakeEntry(key, entry));
    }
  }
  if (report.m_entries.empty()) {
    return std::nullopt;
  }
  m_lastReport = aNow;
  return report;
}

EvidenceReport
LocalEvidence::FullReport() const
{
  EvidenceReport report = m_header;
  for (const auto& [key, entry] : m_entries) {
    report.m_entries.push_back(MakeEntry(key, entry));
  }
  return report;
}

} // namespace tarragontray
