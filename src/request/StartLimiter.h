/// \file
/// Limits the rate at which a guard starts calls, while its upstream states a
/// limit.
///
///     limiter.SetLimit(notice.m_rateLimit, now);
///     if (limiter.Delay(now) == Duration::zero()) {
///       limiter.OnStart();
///     }
///
/// Thread safety: one thread for each instance.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/TokenBucket.h"
#include "base/Units.h"

namespace tarragontray {

/// See the file comment.
class StartLimiter
{
public:
  /// \param aLimit not set: no limit.
  /// \param aBurst calls that may start at once, at least 1; not set: those of
  /// one second.
  void SetLimit(std::optional<CallRate> aLimit,
                MonotonicTime aNow,
                std::optional<double> aBurst = std::nullopt)
  {
    m_rate = aLimit ? std::optional(std::max(*aLimit, kMinRate)) : std::nullopt;
    if (m_rate) {
      m_tokens.SetRate(m_rate->Value(), aBurst.value_or(Burst(*m_rate)), aNow);
    }
  }

  /// The time between two starts; zero without a limit.
  Duration Interval() const
  {
    return m_rate ? Seconds(1.0 / m_rate->Value()) : Duration(0);
  }
  /// The time until a call may start.
  Duration Delay(MonotonicTime aNow)
  {
    return m_rate ? m_tokens.ReadyAt(1.0, aNow) - aNow : Duration(0);
  }
  /// A call has started.
  void OnStart()
  {
    if (m_rate) {
      m_tokens.Charge(1.0);
    }
  }

  /// How many of the slots calls can keep busy at the limit, at least one.
  /// \param aServiceTime the mean time of a call in the upstream.
  SlotCount UsableSlots(SlotCount aSlots, Duration aServiceTime) const
  {
    if (!m_rate) {
      return aSlots;
    }
    const double busy =
      m_rate->Value() * std::chrono::duration<double>(aServiceTime).count();
    return std::min(
      aSlots,
      SlotCount(std::max(1U, static_cast<std::uint32_t>(std::lround(busy)))));
  }
  /// How long a refused caller should wait while aWaiting calls wait; zero
  /// without a limit.
  Duration RetryAfter(std::size_t aWaiting) const
  {
    return std::min(kMaxRetryAfter,
                    static_cast<std::int64_t>(aWaiting + 1) * Interval());
  }

private:
  /// Calls that may start at once, in seconds of the rate.
  static constexpr double kBurstSeconds = 1.0;
  /// The rate for a lower limit, since only an upstream's answers show that its
  /// limit has changed.
  static constexpr CallRate kMinRate{ 1.0 };
  static constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);

  static double Burst(CallRate aRate)
  {
    return std::max(1.0, kBurstSeconds * aRate.Value());
  }
  static Duration Seconds(double aSeconds)
  {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(aSeconds));
  }

  std::optional<CallRate> m_rate;
  TokenBucket m_tokens{ kMinRate.Value(), Burst(kMinRate) };
};

} // namespace tarragontray
