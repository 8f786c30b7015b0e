/// \file
/// Balancing by two random choices on load, near targets first.
///
///     TwoChoicesBalancing policy(TwoChoicesSettings{});
///     std::optional<std::size_t> index =
///       policy.Choose(candidates, 0, dataCentre, needs, now, random);
///     policy.Started(candidates[*index]->m_vm, now);
///     policy.Finished(candidates[*index]->m_vm, result, now);
///
/// Of two targets drawn at random the less loaded one gets the call
/// (Mitzenmacher, 2001). Load is what this thread has in flight plus what the
/// target last reported, the report fading with its age, relative to slots and
/// weighted by the latency seen. Targets of the own data centre are used until
/// they are saturated, then those of the own region, then all. A target whose
/// attempts fail in a row is ejected for a bounded time, and never more than
/// half of the candidates are.
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
  /// The region of this node; spilling goes there before other regions.
  RegionId m_region;
  /// Load over slots at which a target counts as saturated.
  double m_saturation = 1.0;
  /// Part of the time to a call's objective that waiting and service at a
  /// saturated target may take before one further away is asked. The rest is
  /// for calls that take longer than the mean.
  double m_maxWaitFraction = 0.6;
  /// Time in which a report loses half of its weight.
  Duration m_reportHalfLife = std::chrono::milliseconds(500);
  /// Failures in a row that eject a target.
  std::uint32_t m_ejectAfter = 5;
  Duration m_firstEjection = std::chrono::milliseconds(500);
  /// Bounds the time for which the service lacks targets that are well again.
  Duration m_maxEjection = std::chrono::seconds(2);
  /// The load of a starting target, and of one that has not succeeded since
  /// its ejection, counts this many times.
  double m_startingPenalty = 8;
  /// Time for which a target that refused gets no call while others have room.
  Duration m_refusalPause = std::chrono::milliseconds(50);
  /// Targets tracked; on more, idle ones are forgotten.
  std::size_t m_maxTargets = 8192;
};

class TwoChoicesBalancing final : public BalancingPolicy
{
public:
  explicit TwoChoicesBalancing(const TwoChoicesSettings& aSettings)
    : m_settings(aSettings)
  {
  }

  /// Gives a target whenever there is a candidate, unless the call needs one
  /// with room: guards refuse what is too much, and only they know it.
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

  /// True while the target is ejected. Thread safety: as the class.
  bool IsEjected(const VmId& aVm, MonotonicTime aNow) const;

private:
  struct Stats
  {
    std::uint32_t m_inFlight = 0;
    /// Running and queued at the target, by its last report.
    double m_reported = 0;
    MonotonicTime m_reportTime{};
    /// Smoothed latency in seconds; 0 until the first answer.
    double m_latency = 0;
    /// The same of the time in the upstream alone.
    double m_serviceTime = 0;
    std::uint32_t m_failuresInRow = 0;
    std::uint32_t m_ejections = 0;
    MonotonicTime m_ejectedUntil{};
    /// It refused for load lately, whatever its reports say.
    MonotonicTime m_avoidUntil{};
  };

  /// What one choice knows of one candidate.
  struct CandidateState
  {
    bool m_isEjected = false;
    /// Has not refused for load lately.
    bool m_isOpen = true;
    /// Open, and not saturated or worth the wait.
    bool m_hasCapacity = true;
    int m_tier = 0;
    /// What two choices compare: load over usable slots, weighted by latency.
    double m_cost = 0;
  };

  CandidateState Consider(const Target& aTarget,
                          const DataCentreId& aOwnDataCentre,
                          Duration aTimeLeft,
                          MonotonicTime aNow) const;
  /// Whether a call may wait there rather than go further away.
  bool CanMeetObjective(double aLoad,
                        const Stats& aStats,
                        Duration aTimeLeft) const;
  /// Ignores all ejections when they take more than half of the targets.
  void LimitEjections(std::size_t aTried);
  /// Fills m_tier with the targets that have room, from no further away than
  /// needed; \param aRequiresCapacity with none when there is no such target.
  void SelectTier(bool aRequiresCapacity);
  /// Slots, or the few of a target that is starting or on trial.
  double UsableSlots(const Target& aTarget, const Stats& aStats) const;
  /// Calls at the target: own ones in flight, or the faded report if higher.
  double Running(const Stats& aStats, MonotonicTime aNow) const;
  int Tier(const Target& aTarget, const DataCentreId& aOwnDataCentre) const;
  void Eject(Stats& aStats, MonotonicTime aNow) const;
  void RemoveIdleTargets();

  TwoChoicesSettings m_settings;
  std::unordered_map<VmId, Stats> m_stats;
  /// Smoothed over all targets, for those that have not answered yet; seconds.
  double m_meanLatency = 0;
  /// Kept between calls, so that a choice allocates nothing.
  std::vector<CandidateState> m_candidateStates;
  std::vector<std::size_t> m_tier;
};

} // namespace tarragontray
