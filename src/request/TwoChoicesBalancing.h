/// \file
/// Balancing by the power of two random choices on load, near targets first.
///
///     TwoChoicesBalancing policy(TwoChoicesSettings{});
///     std::optional<std::size_t> index =
///       policy.Choose(candidates, 0, dataCentre, constraints, now, random);
///     policy.Started(candidates[*index]->m_vm, now);
///     policy.Finished(candidates[*index]->m_vm, result, now);
///
/// Of two targets chosen at random, the less loaded one gets the call
/// (Mitzenmacher, 2001). The load is the higher of this thread's calls in
/// flight and the target's last report, which decays with its age. It is
/// divided by the target's slots and weighted by its observed latency. Targets
/// of the own data centre are used until they are saturated, then those of the
/// own region, then all others. Outlier ejection: a target with several
/// failures in a row is ejected for a bounded time. When more than half of the
/// candidates are ejected, ejections are ignored.
///
/// Each traffic thread owns one instance. Thread safety: one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "request/BalancingPolicy.h"

namespace tarragontray {

struct TwoChoicesSettings
{
  /// The region of this node. Its targets are used before those of other
  /// regions.
  RegionId m_region;
  /// Load per slot at which a target counts as saturated.
  double m_saturation = 1.0;
  /// A saturated target is still used while the expected wait and service there
  /// take at most this fraction of the time to the call's objective. The rest
  /// allows for calls that take longer than the mean.
  double m_maxWaitFraction = 0.6;
  /// How long a report of fewer slots than announced is used.
  Duration m_slotReportLapse = std::chrono::seconds(3);
  /// Half-life of the weight of a load report.
  Duration m_reportHalfLife = std::chrono::milliseconds(500);
  /// Number of failures in a row after which a target is ejected.
  std::uint32_t m_ejectAfter = 5;
  Duration m_firstEjection = std::chrono::milliseconds(500);
  /// Bounds how long a recovered target stays unused.
  Duration m_maxEjection = std::chrono::seconds(2);
  /// The slots of a starting target, and of one that has not succeeded since
  /// its ejection, are divided by this factor.
  double m_startingPenalty = 8;
  /// How long a target that refused a call is avoided while others have
  /// capacity.
  Duration m_refusalPause = std::chrono::milliseconds(50);
  /// Maximum number of targets tracked; when exceeded, idle ones are removed.
  std::size_t m_maxTargets = 8192;
};

class TwoChoicesBalancing final : public BalancingPolicy
{
public:
  explicit TwoChoicesBalancing(const TwoChoicesSettings& aSettings)
    : m_settings(aSettings)
  {
  }

  /// Returns a target whenever there is a candidate, also when all seem
  /// saturated, unless aConstraints.m_requiresCapacity is set: the guards,
  /// which know the actual load, refuse the excess.
  std::optional<std::size_t> Choose(
    const std::vector<const Target*>& aCandidates,
    std::size_t aTried,
    const DataCentreId& aOwnDataCentre,
    const ChoiceConstraints& aConstraints,
    MonotonicTime aNow,
    Random& aRandom) override;
  void Started(const VmId& aVm, MonotonicTime aNow) override;
  void Finished(const VmId& aVm,
                const AttemptResult& aResult,
                MonotonicTime aNow) override;

  /// True while the target is ejected.
  bool IsEjected(const VmId& aVm, MonotonicTime aNow) const;

private:
  struct Stats
  {
    std::uint32_t m_inFlight = 0;
    /// Calls running and queued at the target in its last report.
    double m_reported = 0;
    /// The slots in the target's last report; 0 until the first one.
    SlotCount m_reportedSlots{ 0 };
    MonotonicTime m_reportTime{};
    /// Mean latency in seconds, exponentially weighted; 0 until the first
    /// answer.
    double m_latency = 0;
    /// As m_latency, of the time in the upstream only.
    double m_serviceTime = 0;
    std::uint32_t m_failuresInRow = 0;
    std::uint32_t m_ejections = 0;
    MonotonicTime m_ejectedUntil{};
    /// The target refused a call and is avoided until this time, whatever load
    /// it reports.
    MonotonicTime m_avoidUntil{};
  };

  /// State of one candidate during a choice.
  struct CandidateState
  {
    bool m_isEjected = false;
    /// The target has not refused a call recently.
    bool m_isAccepting = true;
    /// The target has not refused a call recently, and is not saturated or can
    /// still meet the objective.
    bool m_hasCapacity = true;
    int m_tier = 0;
    /// The value that the two choices compare: load per usable slot, weighted
    /// by latency.
    double m_cost = 0;
  };

  CandidateState Assess(const Target& aTarget,
                        const DataCentreId& aOwnDataCentre,
                        Duration aTimeToObjective,
                        MonotonicTime aNow) const;
  /// True when the call is expected to finish at the saturated target within
  /// its share of the time to the objective.
  bool CanMeetObjective(double aLoad,
                        const Stats& aStats,
                        Duration aTimeToObjective) const;
  /// Ignores all ejections when more than half of the targets are ejected.
  void LimitEjections(std::size_t aTried);
  /// Fills m_eligible with the targets that have capacity, of the nearest tier
  /// that has any; failing that, with those that have not refused a call
  /// recently, again of the nearest tier; failing that, with all that are not
  /// ejected. \param aRequiresCapacity leave m_eligible empty when no target
  /// has capacity.
  void SelectTier(bool aRequiresCapacity);
  /// The slots of the target, reduced while it is starting, has not succeeded
  /// since its ejection or reports fewer.
  double UsableSlots(const Target& aTarget,
                     const Stats& aStats,
                     MonotonicTime aNow) const;
  /// Estimated calls at the target: own calls in flight, or the decayed report
  /// when that is higher.
  double EstimateLoad(const Stats& aStats, MonotonicTime aNow) const;
  int Tier(const Target& aTarget, const DataCentreId& aOwnDataCentre) const;
  void Eject(Stats& aStats, MonotonicTime aNow) const;
  void RemoveIdleTargets();

  TwoChoicesSettings m_settings;
  std::unordered_map<VmId, Stats> m_stats;
  /// Mean latency over all targets in seconds; used for targets that have not
  /// answered yet.
  double m_meanLatency = 0;
  /// Buffers, reused to avoid allocations.
  std::vector<CandidateState> m_candidateStates;
  std::vector<std::size_t> m_eligible;
};

} // namespace tarragontray
