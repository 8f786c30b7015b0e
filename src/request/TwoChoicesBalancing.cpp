#include "request/TwoChoicesBalancing.h"

#include <algorithm>
#include <cmath>

namespace tarragontray {

namespace {

/// Weight of a new latency in the smoothed one.
constexpr double kLatencyWeight = 0.2;
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
                            MonotonicTime aNow,
                            Random& aRandom)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  KeepHealthy(aCandidates, aTried, aNow);
  SelectTier(aCandidates, aOwnDataCentre, aNow);
  const std::size_t count = m_tier.size();
  if (count == 1) {
    return m_tier.front();
  }
  const std::size_t first = aRandom.Below(count);
  const std::size_t second = (first + 1 + aRandom.Below(count - 1)) % count;
  const std::size_t left = m_tier[first];
  const std::size_t right = m_tier[second];
  return Cost(*aCandidates[left], aNow) <= Cost(*aCandidates[right], aNow)
           ? left
           : right;
}

void
TwoChoicesBalancing::KeepHealthy(const std::vector<const Target*>& aCandidates,
                                 std::size_t aTried,
                                 MonotonicTime aNow)
{
  m_healthy.clear();
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (!IsEjected(aCandidates[i]->m_vm, aNow)) {
      m_healthy.push_back(i);
    }
  }
  // What this call has tried counts as healthy: a retry must not reach the
  // ejected targets just because it can't use the others again.
  const std::size_t ejected = aCandidates.size() - m_healthy.size();
  if (ejected <= m_healthy.size() + aTried && !m_healthy.empty()) {
    return;
  }
  // Ejecting most of the candidates would only move the overload.
  m_healthy.clear();
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    m_healthy.push_back(i);
  }
}

void
TwoChoicesBalancing::SelectTier(const std::vector<const Target*>& aCandidates,
                                const DataCentreId& aOwnDataCentre,
                                MonotonicTime aNow)
{
  for (int limit = 0; limit < kTiers; ++limit) {
    m_tier.clear();
    for (const std::size_t index : m_healthy) {
      const Target& target = *aCandidates[index];
      if (Tier(target, aOwnDataCentre) <= limit && HasRoom(target, aNow)) {
        m_tier.push_back(index);
      }
    }
    if (!m_tier.empty()) {
      return;
    }
  }
  // All are saturated: any may get the call.
  m_tier = m_healthy;
}

bool
TwoChoicesBalancing::HasRoom(const Target& aTarget, MonotonicTime aNow) const
{
  const Stats* stats = Find(aTarget.m_vm);
  const bool refusedLately = stats != nullptr && aNow < stats->m_fullUntil;
  return !refusedLately && Load(aTarget, aNow) < m_settings.m_saturation;
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
                                 const Stats* aStats) const
{
  const bool isOnTrial = aStats != nullptr && aStats->m_ejections > 0;
  const bool isLimited =
    isOnTrial || aTarget.m_state == UpstreamState::Starting;
  const double slots = std::max<double>(1, aTarget.m_slots.Value());
  return isLimited ? slots / m_settings.m_startingPenalty : slots;
}

double
TwoChoicesBalancing::Load(const Target& aTarget, MonotonicTime aNow) const
{
  const Stats* stats = Find(aTarget.m_vm);
  if (stats == nullptr) {
    return 0;
  }
  const double age = Seconds(aNow - stats->m_reportTime);
  const double faded =
    stats->m_reported * std::exp2(-age / Seconds(m_settings.m_reportHalfLife));
  const double load = std::max<double>(stats->m_inFlight, faded);
  return load / UsableSlots(aTarget, stats);
}

double
TwoChoicesBalancing::Cost(const Target& aTarget, MonotonicTime aNow) const
{
  const Stats* stats = Find(aTarget.m_vm);
  const bool isKnown = stats != nullptr && stats->m_latency > 0;
  const double latency = isKnown ? stats->m_latency : m_usualLatency;
  const double own = 1 / UsableSlots(aTarget, stats);
  return (Load(aTarget, aNow) + own) * latency;
}

void
TwoChoicesBalancing::Started(const VmId& aVm, MonotonicTime /*aNow*/)
{
  if (m_stats.size() >= m_settings.m_maxTargets) {
    ForgetIdle();
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
    stats.m_reportTime = aNow;
  }
  if (aResult.m_isRefused) {
    // Quick, but no sign of speed: whatever it reports, it has no room.
    stats.m_fullUntil = aNow + m_settings.m_refusalPause;
    return;
  }
  const double latency = Seconds(aResult.m_latency);
  Smooth(stats.m_latency, latency);
  Smooth(m_usualLatency, latency);
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
  // After the ejection one more failure ejects again.
  aStats.m_failuresInRow = m_settings.m_ejectAfter - 1;
}

bool
TwoChoicesBalancing::IsEjected(const VmId& aVm, MonotonicTime aNow) const
{
  const Stats* stats = Find(aVm);
  return stats != nullptr && aNow < stats->m_ejectedUntil;
}

const TwoChoicesBalancing::Stats*
TwoChoicesBalancing::Find(const VmId& aVm) const
{
  const auto found = m_stats.find(aVm);
  return found == m_stats.end() ? nullptr : &found->second;
}

void
TwoChoicesBalancing::ForgetIdle()
{
  std::erase_if(
    m_stats, [](const auto& aEntry) { return aEntry.second.m_inFlight == 0; });
}

} // namespace tarragontray
