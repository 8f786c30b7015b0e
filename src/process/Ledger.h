/// \file
/// Counts how much of each account's capacity every other account used.
///
/// Counts are cumulative and merge by maximum, so that duplicate, lost and
/// reordered reports do not falsify the totals.
///
///     Result<Ledger> ledger = Ledger::Create({ vm, incarnation });
///     ledger.value().Add({ caller, owner }, { CallCount(1), slotTime });
///     for (const UsageReport& report : ledger.value().TakeDue(now)) {
///       // send it to the node that writes for this data centre, or write it
///     }
///
/// Each (VM, incarnation) is a source of a grow-only counter (Shapiro et al.,
/// 2011). A node that is killed loses the usage that it added after its last
/// report to reach another node or the platform: at most the usage of one
/// m_reportInterval plus the time for which the platform and all peers are
/// unreachable.
///
/// Thread safety: not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Units.h"
#include "process/UsageReport.h"

namespace tarragontray {

struct LedgerSettings
{
  VmId m_vm;
  Incarnation m_incarnation;
  /// Time between two rounds of reports.
  Duration m_reportInterval = std::chrono::seconds(10);
  /// Maximum number of reports in one round: those of a large data centre.
  std::size_t m_reportsPerRound = 512;
  /// Maximum number of account pairs for each source; usage of further pairs is
  /// dropped and counted by TurnedAway().
  std::size_t m_maxKeys = 1024;
  /// Maximum number of sources, including this node.
  std::size_t m_maxSources = 8192;
};

class Ledger
{
public:
  /// Errors: InvalidArgument when a bound is 0.
  static Result<Ledger> Create(LedgerSettings aSettings);

  /// Adds to this node's own counts.
  void Add(const UsageKey& aKey, const Usage& aUsage);
  /// Merges another node's report, or this node's own report read back from the
  /// platform. Returns whether any count rose.
  bool Merge(const UsageReport& aReport);
  /// Returns the reports that are due to be written, those that changed longest
  /// ago first. They count as written unless WriteFailed() is called.
  std::vector<UsageReport> TakeDue(MonotonicTime aNow);
  /// Makes the next reports due at once.
  void ReportNow() { m_nextRound = {}; }
  /// The earliest time at which TakeDue can return reports.
  MonotonicTime NextDue() const { return m_nextRound; }
  /// Schedules a report from TakeDue() again because its write failed or its
  /// outcome is unknown.
  void WriteFailed(const VmId& aVm, Incarnation aIncarnation);

  /// The sums over all sources, sorted by key.
  std::vector<UsageEntry> Totals() const;
  /// This node's own report, written or not.
  UsageReport Own() const;
  /// The number of entries and reports dropped because a bound was reached.
  std::uint64_t TurnedAway() const { return m_turnedAway; }

private:
  struct SourceId
  {
    VmId m_vm;
    Incarnation m_incarnation;

    auto operator<=>(const SourceId&) const = default;
  };
  struct Source
  {
    std::map<UsageKey, Usage> m_counts;
    bool m_isDirty = false;
    /// Orders the sources by the time they became dirty.
    std::uint64_t m_dirtySince = 0;
  };

  explicit Ledger(LedgerSettings aSettings);

  /// Finds or adds the counts of a key; null when m_maxKeys is reached.
  Usage* FindOrAdd(Source& aSource, const UsageKey& aKey);
  /// Finds or adds a source; null when m_maxSources is reached.
  Source* FindOrAddSource(const SourceId& aId);
  void MarkDirty(Source& aSource);
  static UsageReport ReportOf(const SourceId& aId, const Source& aSource);

  LedgerSettings m_settings;
  SourceId m_own;
  std::map<SourceId, Source> m_sources;
  std::uint64_t m_changes = 0;
  MonotonicTime m_nextRound{};
  std::uint64_t m_turnedAway = 0;
};

} // namespace tarragontray
