/// \file
/// An amount that was used recently, for example slot time.
///
///     RecentUse use(std::chrono::seconds(4));
///     use.Add(0.15, now);
///     double rate = use.PerSecond(now);
///
/// Thread safety: one thread for each instance.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>

#include "base/Units.h"

namespace tarragontray {

/// A sum whose parts decay exponentially with their age.
class RecentUse
{
public:
  /// \param aTime time constant of the decay, above 0.
  explicit RecentUse(Duration aTime)
    : m_time(std::chrono::duration<double>(aTime).count())
  {
  }

  void Add(double aAmount, MonotonicTime aNow)
  {
    m_sum = Sum(aNow) + aAmount;
    m_at = std::max(m_at, aNow);
  }
  double Sum(MonotonicTime aNow) const
  {
    const double age = std::chrono::duration<double>(aNow - m_at).count();
    return m_sum * std::exp(-std::max(age, 0.0) / m_time);
  }
  /// The mean amount per second over about the time constant.
  double PerSecond(MonotonicTime aNow) const { return Sum(aNow) / m_time; }

private:
  double m_time;
  double m_sum = 0;
  MonotonicTime m_at{};
};

} // namespace tarragontray
