/// \file
/// Cumulative evidence of one move by reporter, and windows cut out of it.
///
///     EvidenceTable table(plan);
///     table.AddReport(report, now);
///     EvidenceWindow window = table.TakeWindow(now);
///
/// A report that is lost, resent or late changes nothing: of each counter the
/// largest is kept, and a window holds what rose since the last one.
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

/// aInto takes the larger of each counter. Thread safety: pure function.
void
MergeMax(VersionCounters& aInto, const VersionCounters& aFrom);
/// aInto gains what aFrom counts. Thread safety: pure function.
void
AddCounters(VersionCounters& aInto, const VersionCounters& aFrom);

/// The evidence that one observer holds of one move.
class EvidenceTable
{
public:
  /// Reporters of one move; further ones are turned away.
  static constexpr std::size_t kMaxReporters = 1024;
  /// Entries of one reporter; further ones are turned away.
  static constexpr std::size_t kMaxEntries = 256;

  explicit EvidenceTable(MovePlan aPlan)
    : m_plan(std::move(aPlan))
  {
  }

  /// Takes a report in. A lower incarnation than the reporter's known one is
  /// ignored; a higher one starts from zero.
  /// Precondition: the report is of this table's move.
  void AddReport(const EvidenceReport& aReport);

  /// What reporters say for the first time before the next window is kept as
  /// their starting point and is in no window. For an observer that joins
  /// while the move runs.
  void SetFirstReportsAsBaseline(bool aOn) { m_isFirstReportBaseline = aOn; }

  /// What rose since the last window.
  EvidenceWindow TakeWindow(MonotonicTime aNow);

  /// Entries that were turned away because a bound was reached.
  std::uint64_t RejectedCount() const { return m_rejectedCount; }

private:
  using EntryKey = std::tuple<RouteName, UpstreamVersion, VmId>;
  struct Entry
  {
    VersionCounters m_latest;
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
