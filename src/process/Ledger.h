/// \file
/// What each account used of each other's capacity: cumulative counts that
/// merge by maximum, so that resent, lost and reordered reports change nothing.
///
///     Result<Ledger> ledger = Ledger::Create({ vm, incarnation });
///     ledger.value().Add({ caller, owner }, { CallCount(1), slotTime });
///     for (const UsageReport& report : ledger.value().TakeDue(now)) {
///       // write it as the object of (report.m_vm, report.m_incarnation)
///     }
///
/// Each (VM, incarnation) is one source with counts that only rise (a grow-only
/// counter; Shapiro et al., 2011). What a node added since its last report that
/// reached another node or the platform is lost when the node is killed: at
/// the most the usage of one m_reportInterval plus the time that the platform
/// and all peers are out of reach.
///
/// Thread safety: one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Units.h"

namespace tarragontray {

/// Who used whose capacity.
struct UsageKey
{
  ClientAccountId m_using;
  ClientAccountId m_owning;

  auto operator<=>(const UsageKey&) const = default;
};

/// How much was used. Both only rise.
struct Usage
{
  CallCount m_calls;
  /// Time that slots were held.
  Duration m_slotTime{ 0 };

  bool operator==(const Usage&) const = default;
};

struct UsageEntry
{
  UsageKey m_key;
  Usage m_usage;

  bool operator==(const UsageEntry&) const = default;
};

/// All counts of one life of one node.
struct UsageReport
{
  VmId m_vm;
  Incarnation m_incarnation;
  /// Sorted by key.
  std::vector<UsageEntry> m_entries;

  bool operator==(const UsageReport&) const = default;
};

struct LedgerSettings
{
  VmId m_vm;
  Incarnation m_incarnation;
  /// Time between two rounds of reports.
  Duration m_reportInterval = std::chrono::seconds(10);
  /// Reports that one round gives at the most.
  std::size_t m_reportsPerRound = 16;
  /// Pairs of accounts counted for each source; usage of further pairs is
  /// counted as turned away.
  std::size_t m_maxKeys = 1024;
  /// Sources held, this node's own among them.
  std::size_t m_maxSources = 8192;
};

class Ledger
{
public:
  /// Errors: InvalidArgument when a bound is 0.
  static Result<Ledger> Create(LedgerSettings aSettings);

  /// Adds to this node's own counts.
  void Add(const UsageKey& aKey, const Usage& aUsage);
  /// Takes in another node's report, or this node's own read back.
  /// True when it told something new.
  bool Merge(const UsageReport& aReport);
  /// The reports to write now, the longest unwritten first. They count as
  /// written until WriteFailed.
  std::vector<UsageReport> TakeDue(MonotonicTime aNow);
  /// When TakeDue may give something.
  MonotonicTime NextDue() const { return m_nextRound; }
  /// A report that TakeDue gave was not written, or may not have been.
  void WriteFailed(const VmId& aVm, Incarnation aIncarnation);

  /// The sums over all sources, sorted by key.
  std::vector<UsageEntry> Totals() const;
  /// This node's own report, written or not.
  UsageReport Own() const;
  /// Entries and reports that the bounds turned away.
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
    /// Order of becoming dirty.
    std::uint64_t m_dirtySince = 0;
  };

  explicit Ledger(LedgerSettings aSettings);

  /// Null when the bound is reached.
  Usage* FindOrAdd(Source& aSource, const UsageKey& aKey);
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
