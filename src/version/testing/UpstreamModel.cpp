#include "version/testing/UpstreamModel.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace tarragontray::testing {

namespace {

/// The slowdown factor of a target whose slots are all in use.
constexpr double kOverloadSlowdown = 4.0;
/// Above this mean a Poisson draw is approximated by a normal one.
constexpr double kLargeMean = 50.0;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// The slowdown factor from queueing for one of several slots.
double
QueueSlowdown(double aLoad)
{
  if (aLoad >= 1.0) {
    return kOverloadSlowdown;
  }
  return std::min(kOverloadSlowdown,
                  1.0 + 0.2 * std::pow(aLoad, 6.0) / (1.0 - aLoad));
}

template<typename T>
bool
Matches(const std::optional<T>& aWanted, const T& aValue)
{
  return !aWanted || *aWanted == aValue;
}

} // namespace

double
DrawNormal(Random& aRandom)
{
  const double radius = std::sqrt(-2.0 * std::log(1.0 - aRandom.Fraction()));
  return radius * std::cos(2.0 * std::numbers::pi * aRandom.Fraction());
}

std::size_t
DrawPoisson(double aMean, Random& aRandom)
{
  if (aMean > kLargeMean) {
    const double draw = aMean + std::sqrt(aMean) * DrawNormal(aRandom);
    return static_cast<std::size_t>(std::max(0.0, std::round(draw)));
  }
  const double limit = std::exp(-aMean);
  std::size_t count = 0;
  for (double product = aRandom.Fraction(); product > limit;
       product *= aRandom.Fraction()) {
    ++count;
  }
  return count;
}

double
UpstreamModel::UpdateLoad(TargetState& aState, SessionTime aNow) const
{
  const double gap = Seconds(aNow - aState.m_lastCall);
  const double smoothing = Seconds(m_settings.m_loadTime);
  aState.m_lastCall = aNow;
  aState.m_callsPerSecond =
    aState.m_callsPerSecond * std::exp(-gap / smoothing) + 1.0 / smoothing;
  return aState.m_callsPerSecond * Seconds(m_settings.m_serviceTime) /
         static_cast<double>(m_settings.m_slots);
}

bool
UpstreamModel::IsActive(const ModelFault& aFault,
                        const ModelCall& aCall,
                        SessionTime aNow,
                        double aLoad) const
{
  return Matches(aFault.m_side, aCall.m_side) &&
         Matches(aFault.m_dataCentre, aCall.m_dataCentre) &&
         Matches(aFault.m_target, aCall.m_target) &&
         Matches(aFault.m_route, aCall.m_route) && aNow >= aFault.m_begin &&
         aNow < aFault.m_end && aLoad >= aFault.m_aboveLoad;
}

ModelAnswer
UpstreamModel::Answer(const ModelCall& aCall, SessionTime aNow, Random& aRandom)
{
  TargetState& state =
    m_states[{ aCall.m_side, aCall.m_dataCentre, aCall.m_target }];
  if (!state.m_firstCall) {
    state.m_firstCall = aNow;
  }
  const double load = UpdateLoad(state, aNow);
  double failureRate = m_settings.m_baseFailureRate;
  double callerErrorRate = m_settings.m_baseCallerErrorRate;
  double slowdown =
    QueueSlowdown(load) *
    m_settings
      .m_targetSlowdowns[aCall.m_target % m_settings.m_targetSlowdowns.size()];
  if (load > 1.0) {
    failureRate += 1.0 - 1.0 / load;
  }
  if (aCall.m_side == VersionSide::New &&
      aNow - *state.m_firstCall < m_settings.m_coldTime) {
    slowdown *= m_settings.m_coldSlowdown;
  }
  ModelAnswer answer;
  for (const ModelFault& fault : m_settings.m_faults) {
    if (!IsActive(fault, aCall, aNow, load)) {
      continue;
    }
    failureRate += fault.m_failureRate;
    callerErrorRate += fault.m_callerErrorRate;
    const bool isSlow =
      fault.m_slowdownRate >= 1.0 || aRandom.Fraction() < fault.m_slowdownRate;
    slowdown *= isSlow ? fault.m_slowdown : 1.0;
    answer.m_isVersionFault |= fault.m_side == VersionSide::New;
  }
  const double draw = aRandom.Fraction();
  answer.m_failed = draw < failureRate;
  answer.m_isCallerError =
    !answer.m_failed && draw < failureRate + callerErrorRate;
  const double seconds = Seconds(m_settings.m_serviceTime) * slowdown *
                         std::exp(m_settings.m_spread * DrawNormal(aRandom));
  answer.m_latency = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(seconds));
  return answer;
}

} // namespace tarragontray::testing
