/// \file
/// How long a caller whose call was refused should wait before it tries again.
///
///     Duration wait = RetryAfter(reason, times, random);
///
/// Thread safety: any thread that owns the random numbers.
#pragma once

#include <optional>

#include "base/Random.h"
#include "base/Units.h"
#include "request/Call.h"

namespace tarragontray {

/// What is known about a refused call.
struct RefusedCallTimes
{
  /// The shortest wait that a guard has stated; zero when none did.
  Duration m_stated{ 0 };
  /// Time to the call's deadline. Not set on a route without a latency
  /// objective, whose callers get the stated wait or a fixed one.
  std::optional<Duration> m_timeLeft = std::nullopt;
  /// Time to the call's latency objective; zero when it has passed.
  Duration m_timeToObjective{ 0 };
};

/// The time after which the caller should try again; zero when a repeat is of
/// no use. With m_timeLeft set, at most a third of it, and a third of the time
/// to the objective while that lies ahead, so that another attempt can meet it.
/// Spread by chance, so that callers that were refused together don't return
/// together. When too little time is left for another attempt, the full wait,
/// which exceeds a third of it.
Duration
RetryAfter(RefusalReason aReason,
           const RefusedCallTimes& aTimes,
           Random& aRandom);

} // namespace tarragontray
