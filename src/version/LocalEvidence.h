/// \file
/// This node's own evidence of one move, as cumulative counters.
///
///     evidence.Add(observation);
///     std::optional<EvidenceReport> report = evidence.TakeReport(now, 1s);
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

/// First attempts at one target over one route since the previous observation.
/// Calls refused by admission control ("not run") are excluded.
struct LocalObservation
{
  ServiceId m_service;
  RouteName m_route;
  UpstreamVersion m_version;
  VmId m_target;
  /// The target had not announced itself as live; the observation is ignored.
  bool m_isStarting = false;
  VersionCounters m_delta;
};

/// This node's own evidence of one move; see the file comment.
class LocalEvidence
{
public:
  /// The maximum number of entries; further ones are rejected.
  static constexpr std::size_t kMaxEntries = 256;
  /// The maximum number of entries in a report; the remaining ones follow in
  /// the next report.
  static constexpr std::size_t kMaxReportEntries = 64;

  /// \param aHeader the report header: move, reporter and data centre.
  explicit LocalEvidence(EvidenceReport aHeader)
    : m_header(std::move(aHeader))
  {
  }

  /// Adds an observation of the move's service.
  void Add(const LocalObservation& aObservation);

  /// Returns the entries that changed, at most once per aInterval; empty if
  /// there are none. Each change is sent in two reports, so that the loss of a
  /// single report does not lose the last changes.
  std::optional<EvidenceReport> TakeReport(MonotonicTime aNow,
                                           Duration aInterval);

  /// Returns all entries.
  EvidenceReport FullReport() const;

  /// The number of observations rejected because kMaxEntries was reached.
  std::uint64_t RejectedCount() const { return m_rejectedCount; }

private:
  using EntryKey = std::tuple<RouteName, UpstreamVersion, VmId>;
  struct Entry
  {
    VersionCounters m_counters;
    /// The number of further reports that include the entry.
    int m_sendsLeft = 0;
  };

  static EvidenceEntry MakeEntry(const EntryKey& aKey, const Entry& aEntry);

  EvidenceReport m_header;
  std::map<EntryKey, Entry> m_entries;
  std::optional<MonotonicTime> m_lastReport;
  std::uint64_t m_rejectedCount = 0;
};

} // namespace tarragontray
