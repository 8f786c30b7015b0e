#include "request/TwoChoicesBalancing.h"

#include <algorithm>
#include <cmath>

#include "request/Pace.h"

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

/// The weight of a value of this age in seconds.
double
Faded(double aAge, Duration aHalfLife)
{
  return std::exp2(-aAge / Seconds(aHalfLife));
}

/// The expected wait for a slot, in service times. \param aLoad calls per slot,
/// with the new one. Below 1 the wait isn't 0, because the load is an estimate
/// and calls come in bursts.
double
ExpectedQueue(double aLoad)
{
  return aLoad < 1 ? aLoad * aLoad / 2 : aLoad - 0.5;
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
  if (UsesCompletionTime(aConstraints, aNow)) {
    UpdateMeans(aCandidates, aNow);
    for (const Target* target : aCandidates) {
      m_candidateStates.push_back(
        AssessCompletion(*target, aOwnDataCentre, aConstraints, aNow));
    }
  } else {
    for (const Target* target : aCandidates) {
      m_candidateStates.push_back(
        Assess(*target, aOwnDataCentre, aConstraints.m_timeToObjective, aNow));
    }
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
  return ChooseEligible(aCandidates, aConstraints.m_bodyBytes, aRandom);
}

std::size_t
TwoChoicesBalancing::ChooseEligible(
  const std::vector<const Target*>& aCandidates,
  ByteCount aBody,
  Random& aRandom) const
{
  const std::size_t count = m_eligible.size();
  const std::size_t first = aRandom.Below(count);
  const std::size_t second = (first + 1 + aRandom.Below(count - 1)) % count;
  const auto better = [&](std::size_t aLeft, std::size_t aRight) {
    return m_candidateStates[aLeft].m_cost <= m_candidateStates[aRight].m_cost
             ? aLeft
             : aRight;
  };
  const std::size_t best = better(m_eligible[first], m_eligible[second]);
  if (aBody < m_settings.m_minTransfer) {
    return best;
  }
  const auto own =
    std::find_if(m_eligible.begin(), m_eligible.end(), [&](std::size_t aIndex) {
      return aCandidates[aIndex]->m_vm == m_settings.m_vm;
    });
  return own == m_eligible.end() ? best : better(best, *own);
}

const TwoChoicesBalancing::Stats&
TwoChoicesBalancing::StatsOf(const VmId& aVm) const
{
  static const Stats kNoStats;
  const auto found = m_stats.find(aVm);
  return found == m_stats.end() ? kNoStats : found->second;
}

TwoChoicesBalancing::CandidateState
TwoChoicesBalancing::Assess(const Target& aTarget,
                            const DataCentreId& aOwnDataCentre,
                            Duration aTimeToObjective,
                            MonotonicTime aNow) const
{
  const Stats& stats = StatsOf(aTarget.m_vm);
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
TwoChoicesBalancing::UsesCompletionTime(const ChoiceConstraints& aConstraints,
                                        MonotonicTime aNow) const
{
  const bool isPaced =
    m_unusualPace && aNow < *m_unusualPace + m_settings.m_paceLapse;
  return isPaced || aConstraints.m_bodyBytes >= m_settings.m_minTransfer;
}

TwoChoicesBalancing::CandidateState
TwoChoicesBalancing::AssessCompletion(const Target& aTarget,
                                      const DataCentreId& aOwnDataCentre,
                                      const ChoiceConstraints& aConstraints,
                                      MonotonicTime aNow) const
{
  const Stats& stats = StatsOf(aTarget.m_vm);
  const double age = Seconds(aNow - stats.m_reportTime);
  const double pace =
    1 + (PaceFactor(stats.m_pace) - 1) * Faded(age, m_settings.m_paceHalfLife);
  const bool isStarting = aTarget.m_state == UpstreamState::Starting;
  const double usual =
    stats.m_serviceTime > 0 ? stats.m_serviceTime : m_meanServiceTime;
  const double service =
    usual * pace * (isStarting ? m_settings.m_startingPace : 1.0);
  const double transfer = TransferTime(aTarget, aConstraints.m_bodyBytes);
  const double toObjective = Seconds(aConstraints.m_timeToObjective);
  const double budget = m_settings.m_maxWaitFraction * toObjective;
  // A starting target gets a full share of the calls that tolerate the delay.
  const bool toleratesStart =
    isStarting && stats.m_ejections == 0 && service + transfer <= budget;
  const double slots = toleratesStart ? ReportedSlots(aTarget, stats, aNow)
                                      : UsableSlots(aTarget, stats, aNow);
  const double mean = MeanLoad(aTarget.m_dataCentre);
  const double reported =
    mean + (stats.m_reported / ReportedSlots(aTarget, stats, aNow) - mean) *
             Faded(age, m_settings.m_reportHalfLife);
  const double load = std::max(stats.m_inFlight / slots, reported);
  const double end = service * (1 + ExpectedQueue(load + 1 / slots)) + transfer;
  const bool hasObjective = toObjective > 0;
  const bool isFree =
    load < m_settings.m_saturation && (!hasObjective || end <= toObjective);
  CandidateState state;
  state.m_isEjected = aNow < stats.m_ejectedUntil;
  state.m_isAccepting = aNow >= stats.m_avoidUntil;
  state.m_hasCapacity =
    state.m_isAccepting && (isFree || (service > 0 && end <= budget));
  state.m_tier = Tier(aTarget, aOwnDataCentre);
  state.m_cost = end;
  return state;
}

void
TwoChoicesBalancing::UpdateMeans(const std::vector<const Target*>& aCandidates,
                                 MonotonicTime aNow)
{
  m_dataCentreLoads.clear();
  double serviceTimes = 0;
  int measured = 0;
  for (const Target* target : aCandidates) {
    const Stats& stats = StatsOf(target->m_vm);
    if (stats.m_reportedSlots > SlotCount(0)) {
      DataCentreLoad& dataCentre = LoadOf(target->m_dataCentre);
      const double weight =
        Faded(Seconds(aNow - stats.m_reportTime), m_settings.m_meanHalfLife);
      dataCentre.m_weight += weight;
      dataCentre.m_load +=
        weight * stats.m_reported / ReportedSlots(*target, stats, aNow);
    }
    serviceTimes += stats.m_serviceTime;
    measured += stats.m_serviceTime > 0 ? 1 : 0;
  }
  m_meanServiceTime = measured > 0 ? serviceTimes / measured : m_meanLatency;
}

TwoChoicesBalancing::DataCentreLoad&
TwoChoicesBalancing::LoadOf(const DataCentreId& aDataCentre)
{
  for (DataCentreLoad& load : m_dataCentreLoads) {
    if (*load.m_id == aDataCentre) {
      return load;
    }
  }
  m_dataCentreLoads.push_back({ &aDataCentre });
  return m_dataCentreLoads.back();
}

double
TwoChoicesBalancing::MeanLoad(const DataCentreId& aDataCentre) const
{
  for (const DataCentreLoad& load : m_dataCentreLoads) {
    if (*load.m_id == aDataCentre) {
      return load.Mean();
    }
  }
  return 0;
}

double
TwoChoicesBalancing::DataCentreLoad::Mean() const
{
  // With less evidence than half a fresh report, the mean decays to zero, so
  // that a data centre that gets no calls is tried again.
  return m_load / std::max(m_weight, 0.5);
}

double
TwoChoicesBalancing::TransferTime(const Target& aTarget, ByteCount aBody) const
{
  constexpr double kLinks = 2;
  constexpr double kBitsPerByte = 8;
  const bool isTransferred =
    aBody >= m_settings.m_minTransfer && aTarget.m_vm != m_settings.m_vm;
  return isTransferred
           ? kLinks * kBitsPerByte * static_cast<double>(aBody.Value()) /
               m_settings.m_linkRate
           : 0.0;
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
TwoChoicesBalancing::ReportedSlots(const Target& aTarget,
                                   const Stats& aStats,
                                   MonotonicTime aNow) const
{
  const bool isReported =
    aStats.m_reportedSlots > SlotCount(0) &&
    aNow - aStats.m_reportTime < m_settings.m_slotReportLapse;
  const SlotCount usable = isReported
                             ? std::min(aTarget.m_slots, aStats.m_reportedSlots)
                             : aTarget.m_slots;
  return std::max<double>(1, usable.Value());
}

double
TwoChoicesBalancing::UsableSlots(const Target& aTarget,
                                 const Stats& aStats,
                                 MonotonicTime aNow) const
{
  const bool isRecovering = aStats.m_ejections > 0;
  const bool isLimited =
    isRecovering || aTarget.m_state == UpstreamState::Starting;
  const double slots = ReportedSlots(aTarget, aStats, aNow);
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
    stats.m_pace = aResult.m_load->m_pace;
    if (stats.m_pace != kUsualPace) {
      m_unusualPace = aNow;
    }
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
    const double factor =
      aResult.m_load ? PaceFactor(aResult.m_load->m_pace) : 1.0;
    Smooth(stats.m_serviceTime, Seconds(aResult.m_serviceTime) / factor);
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
