#include "request/TwoChoicesBalancing.h"

#include <algorithm>
#include <cmath>

namespace tarragontray {

namespace {

/// Weight of a new value in an exponentially weighted mean.
constexpr double kLatencyWeight = 0.2;
/// Own data centre, own region, all others.
constexpr int kTiers = 3;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

void
Smooth(double& aMean, double aValue)
{
  aMean = aMean > 0 ? aMean + kLatencyWeight * (aValue - aMean) : aValue;
}

} // namespace

std::optional<std::size_t>
TwoChoicesBalancing::Choose(const std::vector<const Target*>& aCandidates,
                            std::size_t aTried,
                            const DataCentreId& aOwnDataCentre,
                            const ChoiceConstraints& aConstraints,
                            MonotonicTime aNow,
                            Random& aRandom)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  m_candidateStates.clear();
  for (const Target* target : aCandidates) {
    m_candidateStates.push_back(
      Assess(*target, aOwnDataCentre, aConstraints.m_timeToObjective, aNow));
  }
  LimitEjections(aTried);
  SelectTier(aConstraints.m_requiresCapacity);
  const std::size_t count = m_eligible.size();
  if (count == 0) {
    return std::nullopt;
  }
  if (count == 1) {
    return m_eligible.front();
  }
  const std::size_t first = aRandom.Below(count);
  const std::size_t second = (first + 1 + aRandom.Below(count - 1)) % count;
  const std::size_t left = m_eligible[first];
  const std::size_t right = m_eligible[second];
  return m_candidateStates[left].m_cost <= m_candidateStates[right].m_cost
           ? left
           : right;
}

TwoChoicesBalancing::CandidateState
TwoChoicesBalancing::Assess(const Target& aTarget,
                            const DataCentreId& aOwnDataCentre,
                            Duration aTimeToObjective,
                            MonotonicTime aNow) const
{
  static const Stats kNoStats;
  const auto found = m_stats.find(aTarget.m_vm);
  const Stats& stats = found == m_stats.end() ? kNoStats : found->second;
  const double slots = UsableSlots(aTarget, stats, aNow);
  const double load = EstimateLoad(stats, aNow) / slots;
  const double latency = stats.m_latency > 0 ? stats.m_latency : m_meanLatency;
  CandidateState state;
  state.m_isEjected = aNow < stats.m_ejectedUntil;
  state.m_isAccepting = aNow >= stats.m_avoidUntil;
  state.m_hasCapacity =
    state.m_isAccepting && (load < m_settings.m_saturation ||
                            CanMeetObjective(load, stats, aTimeToObjective));
  state.m_tier = Tier(aTarget, aOwnDataCentre);
  state.m_cost = (load + 1 / slots) * latency;
  return state;
}

bool
TwoChoicesBalancing::CanMeetObjective(double aLoad,
                                      const Stats& aStats,
                                      Duration aTimeToObjective) const
{
  // At a load of 1 all slots are busy; each further unit of load adds one
  // service time.
  const double end = std::max(aLoad, 1.0) * aStats.m_serviceTime;
  return aStats.m_serviceTime > 0 &&
         end <= m_settings.m_maxWaitFraction * Seconds(aTimeToObjective);
}

void
TwoChoicesBalancing::LimitEjections(std::size_t aTried)
{
  const auto ejected = static_cast<std::size_t>(std::count_if(
    m_candidateStates.begin(),
    m_candidateStates.end(),
    [](const CandidateState& aState) { return aState.m_isEjected; }));
  const std::size_t healthy = m_candidateStates.size() - ejected;
  // Targets that this call has tried count as healthy: a retry must not use
  // ejected targets just because it excludes the tried ones.
  if (healthy > 0 && ejected <= healthy + aTried) {
    return;
  }
  // Ejecting most of the candidates would overload the rest.
  for (CandidateState& state : m_candidateStates) {
    state.m_isEjected = false;
  }
}

void
TwoChoicesBalancing::SelectTier(bool aRequiresCapacity)
{
  const auto select = [&](auto aFits) {
    int nearest = kTiers;
    for (const CandidateState& state : m_candidateStates) {
      if (!state.m_isEjected && aFits(state)) {
        nearest = std::min(nearest, state.m_tier);
      }
    }
    m_eligible.clear();
    for (std::size_t i = 0; i < m_candidateStates.size(); ++i) {
      const CandidateState& state = m_candidateStates[i];
      if (!state.m_isEjected && aFits(state) && state.m_tier <= nearest) {
        m_eligible.push_back(i);
      }
    }
    return !m_eligible.empty();
  };
  const bool hasCapacity =
    select([](const CandidateState& aState) { return aState.m_hasCapacity; });
  if (hasCapacity || aRequiresCapacity) {
    return;
  }
  // All targets are saturated, so a target further away is no better.
  if (select(
        [](const CandidateState& aState) { return aState.m_isAccepting; })) {
    return;
  }
  m_eligible.clear();
  for (std::size_t i = 0; i < m_candidateStates.size(); ++i) {
    if (!m_candidateStates[i].m_isEjected) {
      m_eligible.push_back(i);
    }
  }
}

int
TwoChoicesBalancing::Tier(const Target& aTarget,
                          const DataCentreId& aOwnDataCentre) const
{
  if (aTarget.m_dataCentre == aOwnDataCentre) {
    return 0;
  }
  return aTarget.m_region == m_settings.m_region ? 1 : 2;
}

double
TwoChoicesBalancing::UsableSlots(const Target& aTarget,
                                 const Stats& aStats,
                                 MonotonicTime aNow) const
{
  const bool isRecovering = aStats.m_ejections > 0;
  const bool isLimited =
    isRecovering || aTarget.m_state == UpstreamState::Starting;
  const bool isReported =
    aStats.m_reportedSlots > SlotCount(0) &&
    aNow - aStats.m_reportTime < m_settings.m_slotReportLapse;
  const SlotCount usable = isReported
                             ? std::min(aTarget.m_slots, aStats.m_reportedSlots)
                             : aTarget.m_slots;
  const double slots = std::max<double>(1, usable.Value());
  return isLimited ? slots / m_settings.m_startingPenalty : slots;
}

double
TwoChoicesBalancing::EstimateLoad(const Stats& aStats, MonotonicTime aNow) const
{
  if (aStats.m_reported == 0) {
    return aStats.m_inFlight;
  }
  const double age = Seconds(aNow - aStats.m_reportTime);
  const double faded =
    aStats.m_reported * std::exp2(-age / Seconds(m_settings.m_reportHalfLife));
  return std::max<double>(aStats.m_inFlight, faded);
}

void
TwoChoicesBalancing::Started(const VmId& aVm, MonotonicTime /*aNow*/)
{
  if (m_stats.size() >= m_settings.m_maxTargets) {
    RemoveIdleTargets();
  }
  ++m_stats[aVm].m_inFlight;
}

void
TwoChoicesBalancing::Finished(const VmId& aVm,
                              const AttemptResult& aResult,
                              MonotonicTime aNow)
{
  Stats& stats = m_stats[aVm];
  stats.m_inFlight -= stats.m_inFlight > 0 ? 1 : 0;
  if (aResult.m_load) {
    stats.m_reported = aResult.m_load->m_running + aResult.m_load->m_queued;
    stats.m_reportedSlots = aResult.m_load->m_slots;
    stats.m_reportTime = aNow;
  }
  if (aResult.m_isAbandoned) {
    return;
  }
  if (aResult.m_isRefused) {
    // A refusal is quick, but its latency says nothing about the target's
    // speed. The target has no capacity, whatever load it reports.
    stats.m_avoidUntil = aNow + m_settings.m_refusalPause;
    return;
  }
  if (aResult.m_serviceTime > Duration::zero()) {
    Smooth(stats.m_serviceTime, Seconds(aResult.m_serviceTime));
  }
  const double latency = Seconds(aResult.m_latency);
  Smooth(stats.m_latency, latency);
  Smooth(m_meanLatency, latency);
  if (!aResult.m_failed) {
    stats.m_failuresInRow = 0;
    stats.m_ejections = 0;
    return;
  }
  ++stats.m_failuresInRow;
  if (stats.m_failuresInRow >= m_settings.m_ejectAfter) {
    Eject(stats, aNow);
  }
}

void
TwoChoicesBalancing::Eject(Stats& aStats, MonotonicTime aNow) const
{
  constexpr std::uint32_t kMaxDoublings = 10;
  const std::uint32_t doublings = std::min(aStats.m_ejections, kMaxDoublings);
  const Duration span = m_settings.m_firstEjection * (1U << doublings);
  aStats.m_ejectedUntil = aNow + std::min(span, m_settings.m_maxEjection);
  ++aStats.m_ejections;
  // After the ejection, one more failure ejects the target again.
  aStats.m_failuresInRow = m_settings.m_ejectAfter - 1;
}

bool
TwoChoicesBalancing::IsEjected(const VmId& aVm, MonotonicTime aNow) const
{
  const auto found = m_stats.find(aVm);
  return found != m_stats.end() && aNow < found->second.m_ejectedUntil;
}

void
TwoChoicesBalancing::RemoveIdleTargets()
{
  std::erase_if(
    m_stats, [](const auto& aEntry) { return aEntry.second.m_inFlight == 0; });
}

} // namespace tarragontray
