/// \file
/// A token bucket rate limiter.
///
///     TokenBucket reads(2.0, 5.0); // 2 per second, burst of 5
///     if (reads.Take(1.0, now)) { ... }
///
/// Thread safety: one thread for each instance.
#pragma once

#include <algorithm>
#include <chrono>

#include "base/Units.h"

namespace tarragontray {

/// Tokens refill at a constant rate up to the burst; the bucket starts full.
class TokenBucket
{
public:
  /// \param aRate tokens per second, above 0. \param aBurst the capacity.
  TokenBucket(double aRate, double aBurst)
    : m_rate(aRate)
    , m_burst(aBurst)
    , m_tokens(aBurst)
  {
  }

  /// Changes the rate and the burst; tokens beyond the burst are lost.
  void SetRate(double aRate, double aBurst, MonotonicTime aNow)
  {
    Refill(aNow);
    m_rate = aRate;
    m_burst = aBurst;
    m_tokens = std::min(m_tokens, aBurst);
  }

  /// Takes aCost tokens and returns true, or takes none and returns false when
  /// fewer are available.
  bool Take(double aCost, MonotonicTime aNow)
  {
    Refill(aNow);
    if (m_tokens < aCost) {
      return false;
    }
    m_tokens -= aCost;
    return true;
  }
  /// True when any token is available. For costs that are known only
  /// afterwards: Charge() may make the balance negative.
  bool HasAny(MonotonicTime aNow)
  {
    Refill(aNow);
    return m_tokens > 0;
  }
  void Charge(double aCost) { m_tokens -= aCost; }
  /// When aCost tokens will be available. Precondition: aCost is at most the
  /// burst.
  MonotonicTime ReadyAt(double aCost, MonotonicTime aNow)
  {
    Refill(aNow);
    const double missing = std::max(0.0, aCost - m_tokens);
    return aNow + std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(missing / m_rate));
  }

private:
  void Refill(MonotonicTime aNow)
  {
    if (aNow <= m_refilledAt) {
      return;
    }
    const double seconds =
      std::chrono::duration<double>(aNow - m_refilledAt).count();
    m_tokens = std::min(m_burst, m_tokens + seconds * m_rate);
    m_refilledAt = aNow;
  }

  double m_rate;
  double m_burst;
  double m_tokens;
  MonotonicTime m_refilledAt{};
};

} // namespace tarragontray
