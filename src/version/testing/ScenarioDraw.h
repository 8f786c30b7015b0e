/// \file
/// Helpers that the randomized scenarios of moves share.
///
///     Draw draw(random);
///     fault.m_failureRate = draw.Between(0.05, 1.0);
///
/// For tests and experiments. Thread safety: one thread for each instance.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>

#include "base/Random.h"
#include "version/testing/MoveSession.h"

namespace tarragontray::testing {

/// Draws values from ranges.
class Draw
{
public:
  explicit Draw(Random& aRandom)
    : m_random(aRandom)
  {
  }

  double Between(double aLow, double aHigh)
  {
    return aLow + (aHigh - aLow) * m_random.Fraction();
  }
  Duration Between(Duration aLow, Duration aHigh)
  {
    return aLow + std::chrono::duration_cast<Duration>((aHigh - aLow) *
                                                       m_random.Fraction());
  }
  std::size_t Below(std::size_t aBound) { return m_random.Below(aBound); }

private:
  Random& m_random;
};

/// The values of an enumeration of kCount kinds, in order.
template<typename Kind, std::size_t kCount>
std::array<Kind, kCount>
AllKinds()
{
  std::array<Kind, kCount> all{};
  for (std::size_t i = 0; i < kCount; ++i) {
    all[i] = static_cast<Kind>(i);
  }
  return all;
}

/// The fraction of one version's slots that all calls together occupy.
inline double
Load(const SessionSettings& aSettings)
{
  const ModelSettings& model = aSettings.m_model;
  return aSettings.m_callsPerSecond *
         std::chrono::duration<double>(model.m_serviceTime).count() /
         static_cast<double>(model.m_targets * model.m_slots);
}

} // namespace tarragontray::testing
