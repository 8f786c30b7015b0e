/// \file
/// What nodes saw of the two versions of a moving service.
///
/// Counters are cumulative for one (VM, incarnation), so that resent, lost and
/// reordered reports change nothing: a receiver keeps the largest.
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

/// Latency buckets: bucket 0 is below 250 us, each next one sqrt(2) wider
/// limits; the last has no upper limit (about 2.9 s and more).
inline constexpr std::size_t kLatencyBuckets = 28;

/// The bucket of a latency. Thread safety: pure function.
std::size_t
LatencyBucket(Duration aLatency);
/// The upper limit of a bucket.
Duration
LatencyBucketLimit(std::size_t aBucket);

/// Counts of first attempts at one version over one route.
struct VersionCounters
{
  std::uint64_t m_calls = 0;
  /// Failures that speak against the upstream: 5xx, late, short, cut.
  std::uint64_t m_failures = 0;
  /// Answers that blame the caller (4xx).
  std::uint64_t m_callerErrors = 0;
  std::array<std::uint32_t, kLatencyBuckets> m_latency{};

  bool operator==(const VersionCounters&) const = default;
};

/// One route's counters for one target VM of one version.
struct EvidenceEntry
{
  RouteName m_route;
  UpstreamVersion m_version;
  /// The VM whose upstream answered.
  VmId m_target;
  VersionCounters m_counters;
};

/// All that one node saw of one move.
struct EvidenceReport
{
  MoveId m_move;
  VmId m_reporter;
  Incarnation m_incarnation;
  DataCentreId m_dataCentre;
  std::vector<EvidenceEntry> m_entries;
};

} // namespace tarragontray
