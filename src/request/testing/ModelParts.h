/// \file
/// The targets and entry nodes of the request model.
///
///     ModelUpstream upstream = MakeUpstream(settings, index, now);
///     ModelEntry entry(settings, seed);
///
/// Thread safety: one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "base/Random.h"
#include "request/CallPlan.h"
#include "request/Guard.h"
#include "request/testing/RequestModel.h"

namespace tarragontray::testing {

inline const ServiceId kService{ ClientAccountId("steady-0"),
                                 ServiceName("service") };
inline const UpstreamVersion kVersion("v1");

/// One target: its guard and the behaviour of its upstream.
struct ModelUpstream
{
  std::unique_ptr<Guard> m_guard;
  std::uint32_t m_trueSlots = 0;
  double m_speed = 1;
  bool m_isMisleading = false;
  /// Part of the calls that fails.
  double m_failures = 0;
  std::uint32_t m_running = 0;
};

/// The policies of one entry node.
struct ModelEntry
{
  ModelEntry(const ModelSettings& aSettings, std::uint64_t aSeed);

  SeededRandom m_random;
  VersionSplitter m_splitter;
  std::unique_ptr<BalancingPolicy> m_balancing;
  std::unique_ptr<RetryPolicy> m_retries;
  std::unique_ptr<TrafficPolicies> m_policies;
};

/// The target of an index: the last is slow and the one before misleads, when
/// the settings say so.
ModelUpstream
MakeUpstream(const ModelSettings& aSettings,
             std::size_t aIndex,
             MonotonicTime aNow);

/// The same target as entry nodes see it.
Target
MakeTarget(const ModelSettings& aSettings, std::size_t aIndex);

} // namespace tarragontray::testing
