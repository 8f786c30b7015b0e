/// \file
/// Evidence reports: the counters that a node collects for the two versions of
/// a service during a move.
///
/// Counters are cumulative per (VM, incarnation) and a receiver keeps the
/// maximum, so that duplicate, lost and reordered reports do no harm.
///
/// Thread safety: values.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"

namespace tarragontray {

/// The number of latency buckets. Bucket 0 holds latencies below 250 us; each
/// further upper limit is sqrt(2) times the one before. The last bucket has no
/// upper limit (about 2 s and more).
inline constexpr std::size_t kLatencyBuckets = 28;

/// The bucket of a latency. Thread safety: pure function.
std::size_t
LatencyBucket(Duration aLatency);
/// The upper limit of a bucket. Thread safety: pure function.
Duration
LatencyBucketLimit(std::size_t aBucket);

/// Counters of first attempts at one version over one route.
struct VersionCounters
{
  std::uint64_t m_calls = 0;
  /// Failures attributed to the upstream: 5xx answers, timeouts, truncated
  /// answers and broken connections.
  std::uint64_t m_failures = 0;
  /// Answers that report a caller error (4xx).
  std::uint64_t m_callerErrors = 0;
  std::array<std::uint32_t, kLatencyBuckets> m_latency{};

  bool operator==(const VersionCounters&) const = default;
};

/// The counters of one route for one target VM of one version.
struct EvidenceEntry
{
  RouteName m_route;
  UpstreamVersion m_version;
  /// The VM whose upstream answered.
  VmId m_target;
  VersionCounters m_counters;
};

/// One node's evidence of one move, or the part of it that changed.
struct EvidenceReport
{
  MoveId m_move;
  VmId m_reporter;
  Incarnation m_incarnation;
  DataCentreId m_dataCentre;
  std::vector<EvidenceEntry> m_entries;
};

} // namespace tarragontray
