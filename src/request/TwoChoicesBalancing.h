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
/// Where upstreams report an unusual pace, and for calls with a large body, the
/// two targets are compared by the expected completion time instead: the wait
/// and the service time at the target's speed and pace, and the transfer of the
/// body to another VM. A target that would miss the objective then has no
/// capacity, even when a slot is free. Such an entry node hears from each
/// target once in some seconds, so that a report decays to the mean load of its
/// data centre: towards zero, a full data centre would seem idle.
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
  /// The VM of this node. A call to its own upstream crosses no link.
  VmId m_vm;
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
  /// Half-life of the weight of a load report in the mean of its data centre.
  Duration m_meanHalfLife = std::chrono::seconds(1);
  /// Half-life of a reported pace. The pace of a VM changes every 600 ms.
  Duration m_paceHalfLife = std::chrono::milliseconds(200);
  /// How long an unusual pace shows that the upstreams report theirs. Of the
  /// upstreams that do, about one in seven has an unusual pace at any time.
  Duration m_paceLapse = std::chrono::seconds(10);
  /// Bits per second of the links between VMs. A body crosses two: from the
  /// entry node and to the target.
  double m_linkRate = 10e6;
  /// Smaller bodies have no transfer time: the two links take at most 7 ms for
  /// them, less than the spread of service times.
  ByteCount m_minTransfer{ 4096 };
  /// Work at a starting target takes this many times as long.
  double m_startingPace = 2;
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
    /// As m_latency, of the time in the upstream only, at the usual pace.
    double m_serviceTime = 0;
    /// The pace in the last report.
    PacePercent m_pace = kUsualPace;
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
    /// by latency; or the expected completion time in seconds.
    double m_cost = 0;
  };
  /// What the recent reports of a data centre's candidates say together.
  struct DataCentreLoad
  {
    const DataCentreId* m_id = nullptr;
    double m_weight = 0;
    /// Sum of the loads per slot by weight.
    double m_load = 0;

    double Mean() const;
  };

  CandidateState Assess(const Target& aTarget,
                        const DataCentreId& aOwnDataCentre,
                        Duration aTimeToObjective,
                        MonotonicTime aNow) const;
  /// Whether targets are compared by expected completion time.
  bool UsesCompletionTime(const ChoiceConstraints& aConstraints,
                          MonotonicTime aNow) const;
  /// As Assess, by the expected completion time. Precondition: the means are
  /// those of the candidates.
  CandidateState AssessCompletion(const Target& aTarget,
                                  const DataCentreId& aOwnDataCentre,
                                  const ChoiceConstraints& aConstraints,
                                  MonotonicTime aNow) const;
  /// Fills m_dataCentreLoads and m_meanServiceTime.
  void UpdateMeans(const std::vector<const Target*>& aCandidates,
                   MonotonicTime aNow);
  DataCentreLoad& LoadOf(const DataCentreId& aDataCentre);
  /// The mean load per slot of a data centre's candidates.
  double MeanLoad(const DataCentreId& aDataCentre) const;
  /// Seconds that the body takes to the target.
  double TransferTime(const Target& aTarget, ByteCount aBody) const;
  /// The better of two random candidates of m_eligible, or of three when the
  /// own VM's is eligible and the body is large. Precondition: there are two.
  std::size_t ChooseEligible(const std::vector<const Target*>& aCandidates,
                             ByteCount aBody,
                             Random& aRandom) const;
  const Stats& StatsOf(const VmId& aVm) const;
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
  /// The slots of the target, unless it reports fewer.
  double ReportedSlots(const Target& aTarget,
                       const Stats& aStats,
                       MonotonicTime aNow) const;
  /// As ReportedSlots, reduced while the target is starting or has not
  /// succeeded since its ejection.
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
  /// The last report of an unusual pace.
  std::optional<MonotonicTime> m_unusualPace;
  /// Mean service time of the candidates in seconds; 0 when unknown.
  double m_meanServiceTime = 0;
  /// Buffers, reused to avoid allocations.
  std::vector<CandidateState> m_candidateStates;
  std::vector<DataCentreLoad> m_dataCentreLoads;
  std::vector<std::size_t> m_eligible;
};

} // namespace tarragontray
