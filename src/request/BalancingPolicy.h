/// \file
/// Interface for choosing the target of one attempt.
///
///     std::optional<std::size_t> index = policy->Choose(candidates, 0,
///     dataCentre, constraints, now, random);
///     policy->Started(candidates[*index].m_vm, now);
///     ...
///     policy->Finished(candidates[*index].m_vm, result, now);
///
/// Each traffic thread owns one instance. Thread safety: one thread.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/Random.h"
#include "process/View.h"
#include "request/Call.h"

namespace tarragontray {

/// How an attempt ended, as input to balancing and outlier ejection.
struct AttemptResult
{
  bool m_failed = false;
  /// The target refused the call; m_latency is the time to the refusal.
  bool m_isRefused = false;
  /// The caller disconnected first; the latency says nothing about the target.
  bool m_isAbandoned = false;
  Duration m_latency{ 0 };
  /// The time spent in the upstream; zero when unknown.
  Duration m_serviceTime{ 0 };
  /// Set when the answer carried a load report.
  std::optional<LoadReport> m_load = std::nullopt;
};

/// Constraints on the target of the next attempt.
struct ChoiceConstraints
{
  /// Time to the call's latency objective; zero when it has passed or is not
  /// set.
  Duration m_timeToObjective{ 0 };
  /// Choose no target rather than one that seems saturated.
  bool m_requiresCapacity = false;
  /// Size of the call's body.
  ByteCount m_bodyBytes{ 0 };
};

/// Chooses targets, using the results of earlier attempts.
class BalancingPolicy
{
public:
  virtual ~BalancingPolicy() = default;

  /// Returns the index of a candidate, or nothing when no candidate should
  /// receive the call.
  /// \param aCandidates targets of the service and version that this call has
  /// not tried.
  /// \param aTried number of targets that this call has already tried.
  virtual std::optional<std::size_t> Choose(
    const std::vector<const Target*>& aCandidates,
    std::size_t aTried,
    const DataCentreId& aOwnDataCentre,
    const ChoiceConstraints& aConstraints,
    MonotonicTime aNow,
    Random& aRandom) = 0;

  /// An attempt was sent to the target.
  virtual void Started(const VmId& aVm, MonotonicTime aNow) = 0;

  /// An attempt ended. Precondition: Started was called for it.
  virtual void Finished(const VmId& aVm,
                        const AttemptResult& aResult,
                        MonotonicTime aNow) = 0;
};

} // namespace tarragontray
