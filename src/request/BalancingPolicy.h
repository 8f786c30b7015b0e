/// \file
/// Choice of a target for one attempt.
///
///     std::optional<std::size_t> index = policy->Choose(candidates, 0,
///     dataCentre, needs, now, random);
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

/// How an attempt at a target ended, for balancing and ejection.
struct AttemptResult
{
  bool m_failed = false;
  /// Not run: the latency is that of the refusal.
  bool m_isRefused = false;
  /// The caller left first: the latency says nothing about the target.
  bool m_isAbandoned = false;
  Duration m_latency{ 0 };
  /// The part of it in the upstream itself; zero while unknown.
  Duration m_serviceTime{ 0 };
  /// Set when the answer carried one.
  std::optional<LoadReport> m_load = std::nullopt;
};

/// What a call needs of its next target.
struct ChoiceConstraints
{
  /// Until the call's objective; zero when it has none.
  Duration m_timeToObjective{ 0 };
  /// Rather none than one that seems saturated.
  bool m_requiresCapacity = false;
};

/// Chooses targets and learns from results.
class BalancingPolicy
{
public:
  virtual ~BalancingPolicy() = default;

  /// Picks one of the candidates, or nothing when none should get work now.
  /// \param aCandidates targets of the service and version, not tried yet.
  /// \param aTried targets that this call has tried already.
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
