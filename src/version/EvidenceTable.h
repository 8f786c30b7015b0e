/// \file
/// Cumulative evidence of one move by reporter, from which windows are taken.
///
///     EvidenceTable table(plan);
///     table.AddReport(report);
///     EvidenceWindow window = table.TakeWindow(now);
///
/// Lost, duplicate and reordered reports do no harm: the table keeps the
/// maximum of each counter, and a window holds the increase since the previous
/// window.
///
/// Thread safety: one thread.
#pragma once

#include <cstdint>
#include <map>
#include <tuple>

#include "base/Ids.h"
#include "base/Units.h"
#include "version/EvidenceReport.h"
#include "version/EvidenceWindow.h"
#include "version/MovePlan.h"

namespace tarragontray {

/// Sets each counter of aInto to the maximum of both. Thread safety: pure
/// function.
void
MergeMax(VersionCounters& aInto, const VersionCounters& aFrom);
/// Adds the counters of aFrom to those of aInto. Thread safety: pure function.
void
AddCounters(VersionCounters& aInto, const VersionCounters& aFrom);

/// The evidence of one move from all reporters; see the file comment.
class EvidenceTable
{
public:
  /// The maximum number of reporters; further ones are rejected.
  static constexpr std::size_t kMaxReporters = 1024;
  /// The maximum number of entries per reporter; further ones are rejected.
  static constexpr std::size_t kMaxEntries = 256;

  explicit EvidenceTable(MovePlan aPlan)
    : m_plan(std::move(aPlan))
  {
  }

  /// Adds a report. Ignores a report with a lower incarnation than the
  /// reporter's last known one; a higher one resets the reporter's counters.
  /// Precondition: the report belongs to this table's move.
  void AddReport(const EvidenceReport& aReport);

  /// Sets whether the first report of each reporter becomes its baseline, which
  /// no window includes. For an observer that joins while a move is in
  /// progress.
  void SetFirstReportsAsBaseline(bool aEnabled)
  {
    m_isFirstReportBaseline = aEnabled;
  }

  /// Returns the increase of all counters since the previous window.
  EvidenceWindow TakeWindow(MonotonicTime aNow);

  /// The number of reports and entries rejected because kMaxReporters or
  /// kMaxEntries was reached.
  std::uint64_t RejectedCount() const { return m_rejectedCount; }

private:
  using EntryKey = std::tuple<RouteName, UpstreamVersion, VmId>;
  struct Entry
  {
    /// The maximum of the reported counters.
    VersionCounters m_latest;
    /// The counters already returned in windows.
    VersionCounters m_taken;
  };
  struct Reporter
  {
    Incarnation m_incarnation;
    std::map<EntryKey, Entry> m_entries;
  };
  struct TargetHistory
  {
    std::uint64_t m_calls = 0;
    MonotonicTime m_firstSeen{};
  };

  Reporter* FindReporter(const EvidenceReport& aReport, bool& aIsFirst);
  void AddEntry(Reporter& aReporter,
                const EvidenceEntry& aEntry,
                bool aIsBaseline);
  std::map<EntryKey, VersionCounters> TakeDeltas();
  WindowEntry MakeEntry(const EntryKey& aKey,
                        const VersionCounters& aDelta,
                        MonotonicTime aNow);

  MovePlan m_plan;
  std::map<VmId, Reporter> m_reporters;
  std::map<std::tuple<UpstreamVersion, VmId>, TargetHistory> m_targets;
  MonotonicTime m_lastTaken{};
  bool m_isFirstReportBaseline = false;
  std::uint64_t m_rejectedCount = 0;
};

} // namespace tarragontray
