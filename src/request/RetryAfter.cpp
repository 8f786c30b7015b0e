#include "request/RetryAfter.h"

#include <algorithm>

namespace tarragontray {

namespace {

/// For calls refused because of load: by then many of the calls that are
/// running have completed.
constexpr Duration kLoadRetryAfter = std::chrono::milliseconds(200);
/// While there is no configuration or no target: one may have been received by
/// then.
constexpr Duration kAbsenceRetryAfter = std::chrono::milliseconds(400);
/// The largest part of the time left that a wait may take.
constexpr double kMaxFraction = 1.0 / 3;
/// When a third of the time left is less than this, another attempt would start
/// so late that it mostly ends after the deadline. Without this bound, a
/// caller's attempts would also follow each other ever faster.
constexpr Duration kMinWait = std::chrono::milliseconds(150);
/// As kMinWait, for a third of the time to the objective. An objective of 250
/// ms allows one more attempt.
constexpr Duration kMinWaitForObjective = std::chrono::milliseconds(60);
/// The wait is drawn between this fraction of the longest one and all of it.
constexpr double kMinSpread = 0.6;

Duration
ShortestWait(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::NoConfiguration:
    case RefusalReason::NoTarget:
    case RefusalReason::UpstreamGone:
      return kAbsenceRetryAfter;
    case RefusalReason::NoRoute:
    case RefusalReason::UnknownCaller:
      return Duration(0);
    default:
      return kLoadRetryAfter;
  }
}

Duration
Scaled(Duration aTime, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aTime * aFactor);
}

} // namespace

Duration
RetryAfter(RefusalReason aReason,
           const RefusedCallTimes& aTimes,
           Random& aRandom)
{
  const Duration shortest = ShortestWait(aReason);
  const Duration wait = std::max(aTimes.m_stated, shortest);
  const bool isUseless = shortest == Duration::zero();
  if (isUseless || !aTimes.m_timeLeft ||
      *aTimes.m_timeLeft <= Duration::zero()) {
    return isUseless ? Duration(0) : wait;
  }
  Duration longest = Scaled(*aTimes.m_timeLeft, kMaxFraction);
  if (longest < kMinWait) {
    return wait;
  }
  const Duration forObjective = Scaled(aTimes.m_timeToObjective, kMaxFraction);
  if (forObjective >= kMinWaitForObjective) {
    longest = std::min(longest, forObjective);
  }
  const double spread = kMinSpread + (1 - kMinSpread) * aRandom.Fraction();
  // The mean of the spread is 0.8, so that few return before their wait.
  return Scaled(std::min(wait + wait / 2, longest), spread);
}

} // namespace tarragontray
