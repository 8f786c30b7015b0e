/// \file
/// The pace of an upstream's VM, from the upstream's own reports.
///
///     PaceRecord pace;
///     pace.Set(report.m_pace, now);
///     Duration expected = AtPace(mean, pace.At(now));
///
/// Thread safety: one thread for each instance; the functions are pure.
#pragma once

#include <algorithm>
#include <chrono>

#include "base/Units.h"
#include "request/Call.h"

namespace tarragontray {

/// The pace as a factor of durations, above 0: 1 at the usual pace.
inline double
PaceFactor(PacePercent aPace)
{
  return std::max(1.0, static_cast<double>(aPace.Value())) / kUsualPace.Value();
}

/// How long work takes at the pace that usually takes aUsual.
inline Duration
AtPace(Duration aUsual, PacePercent aPace)
{
  return aUsual * aPace.Value() / kUsualPace.Value();
}

/// How long work usually takes that took aTime at the pace. Precondition: aPace
/// is not 0.
inline Duration
AtUsualPace(Duration aTime, PacePercent aPace)
{
  return aTime * kUsualPace.Value() / aPace.Value();
}

/// The last reported pace, for a short time.
class PaceRecord
{
public:
  /// The pace of a VM changes every 600 ms, so that a report of this age is
  /// still right in two of three cases.
  static constexpr Duration kLapse = std::chrono::milliseconds(200);

  void Set(PacePercent aPace, MonotonicTime aNow)
  {
    m_pace = aPace;
    m_until = aNow + kLapse;
  }
  /// The usual pace when there was no report within kLapse.
  PacePercent At(MonotonicTime aNow) const
  {
    return aNow <= m_until ? m_pace : kUsualPace;
  }

private:
  PacePercent m_pace = kUsualPace;
  MonotonicTime m_until{};
};

} // namespace tarragontray
