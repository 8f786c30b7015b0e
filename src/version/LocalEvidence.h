/// \file
/// What this node's traffic threads saw of one move, as cumulative counters.
///
///     evidence.Add(observation);
///     std::optional<EvidenceReport> report = evidence.TakeReport(now);
///
/// Thread safety: one thread.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>

#include "base/Ids.h"
#include "base/Units.h"
#include "version/EvidenceReport.h"

namespace tarragontray {

/// First attempts at one target over one route since the last observation.
/// Refusals by admission ("not run") are not part of it.
struct LocalObservation
{
  ServiceId m_service;
  RouteName m_route;
  UpstreamVersion m_version;
  VmId m_target;
  /// The target had not announced itself as live: nothing of it counts.
  bool m_isStarting = false;
  VersionCounters m_delta;
};

/// This node's evidence of one move.
class LocalEvidence
{
public:
  /// Entries; further ones are turned away.
  static constexpr std::size_t kMaxEntries = 256;
  /// Entries of one report; the others follow in the next.
  static constexpr std::size_t kMaxReportEntries = 64;

  /// \param aEmpty the report's head: move, reporter and data centre.
  explicit LocalEvidence(EvidenceReport aEmpty)
    : m_header(std::move(aEmpty))
  {
  }

  /// Takes an observation of the move's service in.
  void Add(const LocalObservation& aObservation);

  /// The entries that changed lately, at most once in aInterval. An entry is
  /// repeated in the report after the one that it changed in, so that a lost
  /// last report does little harm.
  std::optional<EvidenceReport> TakeReport(MonotonicTime aNow,
                                           Duration aInterval);

  /// All entries.
  EvidenceReport FullReport() const;

  /// Observations that were turned away.
  std::uint64_t RejectedCount() const { return m_rejectedCount; }

private:
  using EntryKey = std::tuple<RouteName, UpstreamVersion, VmId>;
  struct Entry
  {
    VersionCounters m_counters;
    /// Reports that are still to carry the entry.
    int m_sendsLeft = 0;
  };

  static EvidenceEntry MakeEntry(const EntryKey& aKey, const Entry& aEntry);

  EvidenceReport m_header;
  std::map<EntryKey, Entry> m_entries;
  std::optional<MonotonicTime> m_lastReport;
  std::uint64_t m_rejectedCount = 0;
};

} // namespace tarragontray
