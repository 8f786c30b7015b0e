/// \file
/// Forecasts how many late calls an upstream will start, so that a queue holds
/// no more of them than can be served.
///
///     backlog.Advance(!late.empty(), now); // at each event
///     backlog.OnStart();                   // a late call has started
///     double starts = backlog.StartsWithin(timeLeft, capacity);
///
/// Late calls start only when no timely call waits, so that the length of the
/// queue says little about their wait. The forecast is the rate of their starts
/// in the last seconds, counted only while some were waiting. Without recent
/// observations, it is the rate at which the upstream ends calls.
///
/// Thread safety: one thread for each instance.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>

#include "base/Units.h"
#include "request/AdmissionPolicy.h"

namespace tarragontray {

/// See the file comment.
class LateBacklog
{
public:
  /// \param aIsWaiting whether late calls wait from now on.
  void Advance(bool aIsWaiting, MonotonicTime aNow)
  {
    const double elapsed = std::max(0.0, Seconds(aNow - m_updated));
    const double kept = std::exp(-elapsed / kMemory);
    m_starts *= kept;
    m_waiting = m_waiting * kept + (m_isWaiting ? kMemory * (1 - kept) : 0.0);
    m_isWaiting = aIsWaiting;
    m_updated = aNow;
  }
  /// A late call has started.
  void OnStart() { m_starts += 1; }

  /// How many late calls are expected to start within aTime; at least the
  /// number of slots, which may all become free together.
  double StartsWithin(Duration aTime, const UpstreamCapacity& aCapacity) const
  {
    const double slots = std::max(1U, aCapacity.m_slots.Value());
    const double fullRate =
      slots / std::max(kMinServiceTime, Seconds(aCapacity.m_serviceTime));
    const double rate =
      (m_starts + kPriorTime * fullRate) / (m_waiting + kPriorTime);
    return std::max(slots, rate * Seconds(aTime));
  }

private:
  /// Time constant of the observations, in seconds. Demand moves between data
  /// centres within 11 to 15 s.
  static constexpr double kMemory = 2.0;
  /// Weight of the full rate, in seconds of observation.
  static constexpr double kPriorTime = 0.25;
  static constexpr double kMinServiceTime = 0.001;

  static double Seconds(Duration aTime)
  {
    return std::chrono::duration<double>(aTime).count();
  }

  /// Starts, and seconds in which late calls waited; both fade.
  double m_starts = 0;
  double m_waiting = 0;
  bool m_isWaiting = false;
  MonotonicTime m_updated{};
};

} // namespace tarragontray
